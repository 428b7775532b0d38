import type { Timers } from '@lentilwheel/core'
import type { EpochTracker } from '../store/epochTracker.js'
import type { MoveOrder } from './moveOrder.js'

/** Time that operators have to write the orders again which a restored store has lost. */
export const REWRITE_MS = 10_000
/** Ids kept for each service; a copy of the store is only seconds old, so few orders can be missing in it. */
const MAX_IDS = 8

/** Orders that a later one of the same service has replaced, to recognise them when a restored store shows them again. */
export class SupersededOrders {
  readonly #timers: Timers
  readonly #ids = new Map<string, string[]>()
  #heldUntil = -Infinity

  constructor (timers: Timers, epochs: EpochTracker) {
    this.#timers = timers
    epochs.onRise(() => { this.#heldUntil = timers.now() + REWRITE_MS })
  }

  /** Whether the store has just been restored, so that orders may be missing which operators will write again. */
  get isHolding (): boolean {
    return this.#timers.now() < this.#heldUntil
  }

  /** Whether a restored store may show the order only because the later one has not been written again yet. */
  isHeld ({ service, id }: MoveOrder): boolean {
    return this.isHolding && (this.#ids.get(service)?.includes(id) ?? false)
  }

  /** Called when `next` replaces `known`, if there was one. */
  onReplaced (known: MoveOrder | undefined, next: MoveOrder): void {
    if (!known || known.id === next.id) return
    const ids = (this.#ids.get(next.service) ?? []).filter((id) => id !== next.id && id !== known.id)
    this.#ids.set(next.service, [...ids, known.id].slice(-MAX_IDS))
  }
}
