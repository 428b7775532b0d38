import { MAX_TOTAL_WARM_UP_MS, WARM_UP_MS } from './constants.js'

/**
 * Tells whether targets of the new version are still warming up. Cold targets are slow at first, so slow calls aren't
 * counted for WARM_UP_MS after their first calls; MAX_TOTAL_WARM_UP_MS limits that for targets that keep restarting.
 */
export class WarmUp {
  #endsAt = -Infinity
  #usedMs = 0
  #arrivals = 0

  /** `arrivals` is the number of times a new target became ready so far; `hasCalls` tells if the new version got calls. */
  isActive (now: number, arrivals: number, hasCalls: boolean): boolean {
    if (hasCalls && arrivals !== this.#arrivals && this.#usedMs < MAX_TOTAL_WARM_UP_MS) {
      this.#arrivals = arrivals
      this.#usedMs += WARM_UP_MS
      this.#endsAt = now + WARM_UP_MS
    }
    return now < this.#endsAt
  }
}
