import { BYTES_PER_KIB, type SendQueue } from '../link/sendQueue.js'
import type { ResponseSizes } from '../outbound/responseSizes.js'

/** What the link of this host has to send for the target beside it: answers that wait, and those that running requests will have. */
export class LinkForecast {
  readonly #queue: SendQueue
  readonly #sizes: ResponseSizes
  #expectedBytes = 0

  constructor (queue: SendQueue, sizes: ResponseSizes) {
    this.#queue = queue
    this.#sizes = sizes
  }

  /** Milliseconds for which the link is taken, if it sends all that waits and all that is expected. */
  get aheadMs (): number {
    return this.#queue.durationMs(this.#queue.backlogBytes + this.#expectedBytes)
  }

  /** Milliseconds that the link takes for a KiB. */
  get msPerKib (): number {
    return this.#queue.durationMs(BYTES_PER_KIB)
  }

  /**
   * Milliseconds until a caller would have an answer of the route that were ready now: the wait for this link, and the way over it
   * and that of the caller's host, which is taken to be as fast. 0 for short answers, which don't wait for long ones, and while the
   * link is taken for less than one such answer: answers that are too long to be in time are late rather than refused for ever.
   */
  deliveryMs (route: string): number {
    const bytes = this.#sizes.expectedBytes(route)
    if (bytes <= this.#queue.partBytes) return 0
    const answerMs = this.#queue.durationMs(bytes)
    const { aheadMs } = this
    return aheadMs >= answerMs ? aheadMs + 2 * answerMs : 0
  }

  /** Counts a request that starts; returns a function to call at its end, with the size of its answer if it has one. Further calls count nothing. */
  start (route: string): (answerBytes?: number) => void {
    let bytes = this.#sizes.expectedBytes(route)
    this.#expectedBytes += bytes
    return (answerBytes) => {
      this.#expectedBytes -= bytes
      bytes = 0
      if (answerBytes !== undefined) this.#sizes.record(route, answerBytes)
    }
  }
}
