import type { StoreRevision } from '../store/storeRevision.js'

/** `withdrawn`: the operator has removed the order. */
export const MOVE_STATES = ['ordered', 'running', 'completed', 'rolledBack', 'withdrawn'] as const
export type MoveState = typeof MOVE_STATES[number]

/** An operator's order to move the traffic of a service to targets of another version, as read from the store. */
export interface MoveOrder {
  /** Unique per order; a new order for the same service has a new id, also for a version that an earlier order named. */
  id: string
  /** Number of the store revision at which the operator gave the order; absent where its state in the store doesn't tell. */
  givenAt?: number
  service: string
  /** Version that gets the traffic. */
  to: string
  durationMs: number
  state: MoveState
  /** Store revision of the object that holds the order; a later one replaces an earlier one. */
  revision: StoreRevision
}
