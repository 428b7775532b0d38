import { MAX_WARM_UP_MS, WARM_UP_MS } from './constants.js'

/** Tells for how long new targets count as cold: they are slow at first, but restarting ones may claim it only for a bounded time in all. */
export class WarmUp {
  #until = -Infinity
  #usedMs = 0
  #arrivals = 0

  /** `arrivals`: targets of the new version that have come so far; `hasCalls`: whether it got calls. */
  isOn (now: number, arrivals: number, hasCalls: boolean): boolean {
    if (hasCalls && arrivals !== this.#arrivals && this.#usedMs < MAX_WARM_UP_MS) {
      this.#arrivals = arrivals
      this.#usedMs += WARM_UP_MS
      this.#until = now + WARM_UP_MS
    }
    return now < this.#until
  }
}
