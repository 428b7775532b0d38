import type { MeshConfig } from '../routing/meshConfig.js'
import type { MoveOrder } from '../rollout/order.js'

/** Reads what operators keep in the store, and writes what they read there. */
export interface StoreCodec {
  /** Kind and name of the object that holds the configuration. */
  readonly config: { kind: string, name: string }
  /** Kind of the objects that order moves. */
  readonly moves: { kind: string }
  /** The configuration; undefined when it isn't one. */
  decodeConfig (spec: unknown): MeshConfig | undefined
  /** An order to move a service's traffic; undefined when it isn't one. */
  decodeMove (name: string, spec: unknown, status: unknown, revision: number): MoveOrder | undefined
  encodeMoveStatus (order: MoveOrder, state: MoveOrder['state']): unknown
}
