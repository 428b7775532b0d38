/** Retries in hand for a service that has little traffic. */
const RESERVE = 10

/** Bounds retries to a share of live requests, so that a failing service isn't buried under repeats. */
export class RetryBudget {
  #share: number
  #tokens = RESERVE

  constructor (share: number) {
    this.#share = share
  }

  setShare (share: number): void {
    this.#share = share
  }

  /** Counts a new call, which earns its share of a retry. */
  earn (): void {
    if (this.#tokens < RESERVE) this.#tokens = Math.min(RESERVE, this.#tokens + this.#share)
  }

  tryTake (): boolean {
    if (this.#share === 0 || this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
