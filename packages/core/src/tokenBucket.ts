/** Token bucket rate limiter: starts with `burst` tokens, its maximum, and gains `perSecond` of them each second. */
export class TokenBucket {
  readonly #perSecond: number
  readonly #burst: number
  #tokens: number
  #updatedAt = 0

  constructor (opts: { perSecond: number, burst: number, now: number }) {
    this.#perSecond = opts.perSecond
    this.#burst = opts.burst
    this.#tokens = opts.burst
    this.#updatedAt = opts.now
  }

  /** Takes `n` tokens, or none and returns false if there are too few. */
  tryTake (now: number, n = 1): boolean {
    this.#refill(now)
    if (this.#tokens < n) return false
    this.#tokens -= n
    return true
  }

  /** Milliseconds until `n` tokens are available. */
  waitMs (now: number, n = 1): number {
    this.#refill(now)
    return Math.max(0, (n - this.#tokens) / this.#perSecond * 1000)
  }

  #refill (now: number): void {
    const elapsed = Math.max(0, now - this.#updatedAt)
    this.#tokens = Math.min(this.#burst, this.#tokens + elapsed / 1000 * this.#perSecond)
    this.#updatedAt = now
  }
}
