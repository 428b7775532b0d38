/** Retries that can be saved up; also the initial balance, for a service that has little traffic. */
const MAX_TOKENS = 10

/** Limits retries to a share of the calls, so that retries don't overload a service that fails. */
export class RetryBudget {
  #ratio: number
  #tokens = MAX_TOKENS

  constructor (ratio: number) {
    this.#ratio = ratio
  }

  setRatio (ratio: number): void {
    this.#ratio = ratio
  }

  /** Counts a new call, which adds its share of a retry to the balance. */
  deposit (): void {
    if (this.#tokens < MAX_TOKENS) this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#ratio)
  }

  /** Takes one retry from the balance; false when the budget is used up. */
  tryWithdraw (): boolean {
    if (this.#ratio === 0 || this.#tokens < 1) return false
    this.#tokens--
    return true
  }
}
