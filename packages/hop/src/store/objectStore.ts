import type { EpochTracker } from './epochTracker.js'
import type { StoreRevision } from './storeRevision.js'

/** An object in the platform's store. */
export interface StoredObject {
  readonly name: string
  /** Store revision of the object's last change. */
  readonly revision: StoreRevision
  readonly spec: unknown
  readonly status: unknown
}

/** All objects of one kind. */
export interface Listing {
  readonly objects: readonly StoredObject[]
  /** Revision of the whole store at the time of the list; a watch continues from it. */
  readonly revision: StoreRevision
}

/** A change of one object, or its deletion. */
export interface StoreEvent {
  readonly object: StoredObject
  readonly deleted: boolean
}

/** What one watch request brought. */
export interface EventBatch {
  readonly events: readonly StoreEvent[]
  /** Revision from which the next watch continues. */
  readonly revision: StoreRevision
}

/**
 * Client of the platform's object store, which keys objects by kind and name. Calls fail with StoreUnavailable (nothing
 * was done), WriteOutcomeUnknown (the response to a write was lost), RevisionConflict or HistoryGone. A revision of an epoch
 * before the store's own one fails as a conflict or as missing history; only a write that is itself the first call to
 * reach the restored store may take effect, and returns what the object then holds.
 */
export interface ObjectStore {
  /** Epoch of the store as its responses and peers have named it. */
  readonly epochs: EpochTracker
  /** `mayBeOld`: accepts a response that is some seconds stale, which costs the store less. */
  list (kind: string, opts?: { mayBeOld: boolean }): Promise<Listing>
  get (kind: string, name: string): Promise<StoredObject | undefined>
  /** Waits up to `waitMs` for events after a revision; resolves to an empty batch if there were none. */
  watch (kind: string, revision: StoreRevision, waitMs: number, signal: AbortSignal): Promise<EventBatch>
  create (kind: string, name: string, spec: unknown): Promise<StoredObject>
  /** Replaces the spec if the object is still at the given revision. */
  replace (kind: string, name: string, spec: unknown, revision: StoreRevision): Promise<StoredObject>
  /** Sets the status if the object is still at the given revision. */
  setStatus (kind: string, name: string, status: unknown, revision: StoreRevision): Promise<StoredObject>
  /** Deletes the object if it is still at the given revision. */
  remove (kind: string, name: string, revision: StoreRevision): Promise<void>
}
