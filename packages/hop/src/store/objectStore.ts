/** An object of the store. */
export interface StoredObject {
  readonly name: string
  /** Revision of its last change. */
  readonly revision: number
  readonly spec: unknown
  readonly status: unknown
}

export interface Listing {
  readonly objects: readonly StoredObject[]
  /** Revision of the store as a whole, from which a watch goes on. */
  readonly revision: number
}

export interface StoreEvent {
  readonly object: StoredObject
  readonly deleted: boolean
}

export interface EventBatch {
  readonly events: readonly StoreEvent[]
  readonly revision: number
}

/**
 * The platform's store of objects by kind and name. Calls fail with StoreAway (nothing was done), WriteUnknown (a write
 * whose answer was lost), RevisionConflict or HistoryGone.
 */
export interface ObjectStore {
  /** `mayBeOld`: an answer that is some seconds old will do; it costs the store less. */
  list (kind: string, opts?: { mayBeOld: boolean }): Promise<Listing>
  get (kind: string, name: string): Promise<StoredObject | undefined>
  /** Waits for events after a revision; an empty batch when there were none in time. */
  watch (kind: string, revision: number, waitMs: number, signal: AbortSignal): Promise<EventBatch>
  create (kind: string, name: string, spec: unknown): Promise<StoredObject>
  replace (kind: string, name: string, spec: unknown, revision: number): Promise<StoredObject>
  setStatus (kind: string, name: string, status: unknown, revision: number): Promise<StoredObject>
  remove (kind: string, name: string, revision: number): Promise<void>
}
