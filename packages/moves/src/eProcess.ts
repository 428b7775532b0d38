import { START_HORIZON_WINDOWS } from './constants.js'

/** Keeps products of likelihood ratios finite; evidence beyond it is certain. */
const MAX_VALUE = 1e200
const FIRST_WINDOW_MASS = 0.5

/**
 * Evidence against equality as an e-value: under equality the chance that it ever exceeds 1/a is at most a, so it may
 * be looked at after every window. It averages over odds ratios and over the window in which badness starts, so that a
 * long good time doesn't hide a later fault.
 */
export class EProcess {
  readonly #values: Float64Array
  #uninvested = 1
  #windows = 0

  constructor (hypotheses: number) {
    this.#values = new Float64Array(hypotheses)
  }

  /** Takes in one window's log-likelihood ratio of each hypothesis. */
  update (logRatios: Float64Array): void {
    const mass = this.#windows === 0 ? FIRST_WINDOW_MASS : (1 - FIRST_WINDOW_MASS) / START_HORIZON_WINDOWS
    const invested = Math.min(mass, this.#uninvested)
    this.#uninvested -= invested
    this.#windows++
    for (let i = 0; i < this.#values.length; i++) {
      const held = this.#values[i]! + invested
      this.#values[i] = held === 0 ? 0 : Math.min(held * Math.exp(logRatios[i]!), MAX_VALUE)
    }
  }

  get value (): number {
    let sum = 0
    for (const value of this.#values) sum += value
    return this.#uninvested + sum / this.#values.length
  }
}
