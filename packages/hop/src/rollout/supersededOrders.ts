import type { MoveOrder } from './moveOrder.js'

/** Ids kept for each service; a copy of the store is only seconds old, so few orders can be missing in it. */
const MAX_IDS = 8

/** Orders that a later one of the same service has replaced, to recognise them when a restored store shows them again. */
export class SupersededOrders {
  readonly #ids = new Map<string, string[]>()

  has ({ service, id }: MoveOrder): boolean {
    return this.#ids.get(service)?.includes(id) ?? false
  }

  /** Called when `next` replaces `known`, if there was one. */
  onReplaced (known: MoveOrder | undefined, next: MoveOrder): void {
    if (!known || known.id === next.id) return
    const ids = (this.#ids.get(next.service) ?? []).filter((id) => id !== next.id && id !== known.id)
    this.#ids.set(next.service, [...ids, known.id].slice(-MAX_IDS))
  }
}
