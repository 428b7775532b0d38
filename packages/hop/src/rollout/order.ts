export const MOVE_STATES = ['ordered', 'running', 'completed', 'rolledBack'] as const
export type MoveState = typeof MOVE_STATES[number]

/** An operator's order to move the traffic of a service to targets of another version, as the store holds it. */
export interface MoveOrder {
  /** Identifies the order; another order for the service has another id. */
  id: string
  service: string
  to: string
  durationMs: number
  state: MoveState
  revision: number
}
