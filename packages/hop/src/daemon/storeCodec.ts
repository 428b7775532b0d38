import type { MeshConfig } from '../routing/meshConfig.js'
import type { StoredObject } from '../store/objectStore.js'
import type { MoveOrder } from '../rollout/moveOrder.js'

/** Translates between the objects that operators keep in the store and the types used here. */
export interface StoreCodec {
  /** Kind and name of the object that holds the configuration. */
  readonly config: { kind: string, name: string }
  /** Kind of the objects that hold the orders of moves. */
  readonly moves: { kind: string }
  /** Kind of the objects that order the evacuation of a data centre. */
  readonly evacuations: { kind: string }
  /** Decodes the spec of a configuration; undefined if it isn't valid. */
  decodeConfig (spec: unknown): MeshConfig | undefined
  /** Decodes an order to move a service's traffic; undefined if it isn't valid. */
  decodeMove (object: StoredObject): MoveOrder | undefined
  /** The data centre that an object orders to evacuate; undefined if it isn't valid. */
  decodeEvacuation (object: StoredObject): string | undefined
  /** Encodes the status that operators read in the order's object. */
  encodeMoveStatus (order: MoveOrder, state: MoveOrder['state']): unknown
}
