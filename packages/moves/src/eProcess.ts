import { CHANGE_POINT_HORIZON_WINDOWS } from './constants.js'

/** Keeps products of likelihood ratios finite; evidence above it is certain anyway. */
const MAX_E_VALUE = 1e200
/** Prior probability that the new version is worse from the first window on. */
const FIRST_WINDOW_PRIOR = 0.5

/**
 * E-process: a running e-value against the null hypothesis that the versions are equal. Under it, the chance that the
 * e-value ever exceeds 1/a is at most a, so it may be looked at after every window. It is a mixture over the hypotheses
 * (odds ratios or rates) and over the window in which the new version turns bad, so that a long good time doesn't hide a
 * later fault.
 */
export class EProcess {
  /** Weighted likelihood ratio of each hypothesis. */
  readonly #eValues: Float64Array
  /** Prior probability of windows to come; its likelihood ratio is 1 until then. */
  #unspentPrior = 1
  #windows = 0

  constructor (hypotheses: number) {
    this.#eValues = new Float64Array(hypotheses)
  }

  /** Adds one window, by the log-likelihood ratio of each hypothesis. */
  update (logRatios: Float64Array): void {
    const prior = this.#windows === 0 ? FIRST_WINDOW_PRIOR : (1 - FIRST_WINDOW_PRIOR) / CHANGE_POINT_HORIZON_WINDOWS
    const addedPrior = Math.min(prior, this.#unspentPrior)
    this.#unspentPrior -= addedPrior
    this.#windows++
    for (let i = 0; i < this.#eValues.length; i++) {
      const eValue = this.#eValues[i]! + addedPrior
      this.#eValues[i] = eValue === 0 ? 0 : Math.min(eValue * Math.exp(logRatios[i]!), MAX_E_VALUE)
    }
  }

  /** Mean over the hypotheses, equally weighted. */
  get eValue (): number {
    let sum = 0
    for (const eValue of this.#eValues) sum += eValue
    return this.#unspentPrior + sum / this.#eValues.length
  }
}
