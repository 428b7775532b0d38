import { isLater, type StoreRevision } from '../store/storeRevision.js'

/** Newest state of one data centre that a daemon knows, as read from the store. */
export interface EvacuationRecord {
  dataCentre: string
  /** Whether an operator has ordered the evacuation; false once the order has been removed. */
  isOrdered: boolean
  /** Store revision of the order, of its removal, or of a list without it. */
  revision: StoreRevision
}

/** Tells which data centres are evacuated. */
export interface EvacuationView {
  /** Whether targets of the data centre get no requests now. */
  isEvacuated (dataCentre: string): boolean
}

/**
 * Whether record `a` replaces record `b`. The event of a removal may carry the revision of the removed order, so of two at the same
 * revision the removal counts.
 */
export function replaces (a: EvacuationRecord, b: EvacuationRecord): boolean {
  if (isLater(a.revision, b.revision)) return true
  return !isLater(b.revision, a.revision) && b.isOrdered && !a.isOrdered
}
