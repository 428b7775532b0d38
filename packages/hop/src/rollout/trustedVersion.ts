import type { StoreRevision } from '../store/storeRevision.js'

/**
 * The version of a service that may have all of its requests: the one that ran before the first order, or to which the last
 * completed move led. Any other version only gets what the move to it gives it.
 */
export interface TrustedVersion {
  service: string
  version: string
  /** Revision of the order whose completion made it the trusted one; `BEFORE_ORDERS` if there had been none. */
  since: StoreRevision
}

/** Earlier than the revision of any order. */
export const BEFORE_ORDERS: StoreRevision = { epoch: 0, number: 0 }
