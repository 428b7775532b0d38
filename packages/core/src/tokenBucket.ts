/** Token bucket rate limiter: holds at most `burst` tokens and gains `perSecond` of them each second. */
export class TokenBucket {
  #perSecond: number
  #burst: number
  #tokens: number
  #updatedAt = 0

  /** `tokens`: what the bucket starts with; `burst` if absent. */
  constructor (opts: { perSecond: number, burst: number, now: number, tokens?: number }) {
    this.#perSecond = opts.perSecond
    this.#burst = opts.burst
    this.#tokens = Math.min(opts.burst, opts.tokens ?? opts.burst)
    this.#updatedAt = opts.now
  }

  /** Changes the limits; tokens beyond the new burst are lost. */
  setLimits (now: number, perSecond: number, burst: number): void {
    this.#refill(now)
    this.#perSecond = perSecond
    this.#burst = burst
    this.#tokens = Math.min(burst, this.#tokens)
  }

  /** Takes `n` tokens, or none and returns false if there are too few. */
  tryTake (now: number, n = 1): boolean {
    this.#refill(now)
    if (this.#tokens < n) return false
    this.#tokens -= n
    return true
  }

  /** Takes up to `n` whole tokens and returns how many; leaves `reserve` tokens. */
  takeUpTo (now: number, n: number, reserve = 0): number {
    this.#refill(now)
    const taken = Math.min(n, Math.max(0, Math.floor(this.#tokens - reserve)))
    this.#tokens -= taken
    return taken
  }

  /** Empties the bucket and returns what it held, which may be a fraction. */
  takeAll (now: number): number {
    this.#refill(now)
    const taken = this.#tokens
    this.#tokens = 0
    return taken
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
