import type { BufferBudget } from '../buffers/bufferBudget.js'

/** Smaller bodies aren't accounted for. */
const MIN_COUNTED_BYTES = 2_048

/** Accounts for the bodies of the calls of one peer, from their arrival to their reply. A call that has been taken isn't dropped for another. */
export class CallBodies {
  readonly #budget: BufferBudget | undefined
  readonly #bytesByExchange = new Map<number, number>()

  constructor (budget: BufferBudget | undefined) {
    this.#budget = budget
  }

  /** Adds the body of a call; false if there is no memory for it. */
  add (exchangeId: number, bytes: number): boolean {
    if (!this.#budget || bytes < MIN_COUNTED_BYTES) return true
    if (!this.#budget.hasRoom(bytes)) return false
    this.#bytesByExchange.set(exchangeId, bytes)
    this.#budget.reserve(bytes)
    return true
  }

  release (exchangeId: number): void {
    const bytes = this.#bytesByExchange.get(exchangeId)
    if (bytes === undefined) return
    this.#bytesByExchange.delete(exchangeId)
    this.#budget?.unreserve(bytes)
  }

  clear (): void {
    for (const exchangeId of this.#bytesByExchange.keys()) this.release(exchangeId)
  }
}
