/**
 * Revision of the store or of an object in it. A store that is restored from a copy starts a new epoch and gives numbers
 * out again, so numbers of different epochs say nothing about each other.
 */
export interface StoreRevision {
  readonly epoch: number
  readonly number: number
}

/** Whether revision `a` is later than `b`; every revision of an epoch is later than those of earlier epochs. */
export function isLater (a: StoreRevision, b: StoreRevision): boolean {
  return a.epoch !== b.epoch ? a.epoch > b.epoch : a.number > b.number
}

/** Whether a value from a peer is a revision. */
export function isStoreRevision (value: unknown): value is StoreRevision {
  if (typeof value !== 'object' || value === null) return false
  const { epoch, number } = value as Partial<StoreRevision>
  return Number.isSafeInteger(epoch) && Number.isSafeInteger(number)
}

/** Revision as it stands in logs and digests. */
export function formatRevision ({ epoch, number }: StoreRevision): string {
  return `${epoch}.${number}`
}
