/** Applied to the factor for each request that expired in the queue. */
const INCREASE = 1.3
/** Applied to the factor for each queued request that got a slot. */
const DECREASE = 0.98
const MAX_FACTOR = 10
const HALF_LIFE_MS = 2_000

/**
 * By how much estimates of the wait for a slot are multiplied, because recent ones were too low. The factor decays to 1 with
 * time: if it is so high that no request is queued, no request can correct it.
 */
export class WaitFactor {
  #value = 1
  #updatedAt = 0

  at (now: number): number {
    return 1 + (this.#value - 1) * 0.5 ** ((now - this.#updatedAt) / HALF_LIFE_MS)
  }

  /** Records that a queued request was not served in time. */
  recordExpiry (now: number): void {
    this.#set(Math.min(MAX_FACTOR, this.at(now) * INCREASE), now)
  }

  /** Records that a queued request got a slot. */
  recordStart (now: number): void {
    this.#set(Math.max(1, this.at(now) * DECREASE), now)
  }

  #set (value: number, now: number): void {
    this.#value = value
    this.#updatedAt = now
  }
}
