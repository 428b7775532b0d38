import { CLEARING_LIKELIHOOD_RATIO, MAX_RETEST_MS, MIN_RETEST_MS } from './constants.js'
import { ZERO_RATES } from './evidence.js'
import type { Alarm } from './holdMonitor.js'
import type { VersionTest } from './versionTest.js'

/** Stands in for an alarm that an earlier coordinator raised, whose details aren't published. */
const UNKNOWN_ALARM: Alarm = { kind: 'errors', rate: 0.01, peaks: ZERO_RATES }
/** Fraction of the alarm's rate that the retest looks for: the run of bad calls that raises an alarm overstates the rate. */
const PERSISTENT_FRACTION = 0.5
/** Prior mean of the old version's rate of bad calls, as a fraction of the persistent rate. */
const NORMAL_FRACTION = 0.1
/** Weight of the prior mean, in calls of the old version. */
const PRIOR_CALLS = 20

/** Sum of both e-values (about 2 for equal versions) from which an alarm that isn't cleared counts against the new version. */
const DOUBT_E_VALUE_SUM = 6

/**
 * - `wait`: more calls are needed
 * - `cleared`: the alarm's rate doesn't persist in the new version
 * - `inconclusive`: the time is over without a decision
 * - `worse`: the time is over and the evidence is against the new version
 */
export type RetestResult = 'wait' | 'cleared' | 'inconclusive' | 'worse'

/**
 * Concurrent comparison of both versions at a reduced share after an alarm in the hold time, when the old version
 * had no calls to compare with. It decides whether the new version is cleared of the alarm.
 */
export class Retest {
  readonly alarm: Alarm
  readonly test: VersionTest
  readonly #startedAt: number

  constructor (alarm: Alarm | undefined, test: VersionTest, now: number) {
    this.alarm = alarm ?? UNKNOWN_ALARM
    this.test = test
    this.#startedAt = now
  }

  /** A version that `test` finds worse is rolled back by its verdict before this is called. */
  result (now: number): RetestResult {
    const elapsedMs = now - this.#startedAt
    const logRatio = this.#logLikelihoodRatio()
    const isCleared = logRatio <= -Math.log(CLEARING_LIKELIHOOD_RATIO) && !this.test.isSuspicious
    if (isCleared && elapsedMs >= MIN_RETEST_MS) return 'cleared'
    if (elapsedMs < MAX_RETEST_MS) return 'wait'
    const isWorse = logRatio > 0 && this.test.errorEvidence + this.test.slowEvidence >= DOUBT_E_VALUE_SUM
    return isWorse || this.test.isSuspicious ? 'worse' : 'inconclusive'
  }

  /**
   * Log-likelihood ratio of two hypotheses on the new version's calls in the retest: a persistent fraction of the alarm's
   * rate, against the rate of the old version's calls at the same time. -Infinity if the old version's rate is as high.
   */
  #logLikelihoodRatio (): number {
    const { callsNew, badNew, callsOld, badOld } = this.test.sums(this.alarm.kind, this.alarm.route)
    const persistentRate = this.alarm.rate * PERSISTENT_FRACTION
    const normalRate = persistentRate * NORMAL_FRACTION
    const oldRate = (badOld + normalRate * PRIOR_CALLS) / (callsOld + PRIOR_CALLS)
    if (oldRate >= persistentRate) return -Infinity
    return badNew * Math.log(persistentRate / oldRate) + (callsNew - badNew) * Math.log((1 - persistentRate) / (1 - oldRate))
  }
}
