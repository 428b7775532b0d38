import { HOLD_ALARM_E_VALUE, SLOW_QUANTILES, SLOW_TOLERANCE_BUCKETS } from './constants.js'
import { EProcess } from './eProcess.js'
import type { BadRates, Baseline, Stratum } from './evidence.js'
import { countAbove } from './latencyBuckets.js'

/** Ratios to the old version's baseline rate that the monitor looks for. */
const RATE_RATIOS: readonly number[] = [2, 4, 16, 64]
/** Highest rate that is assumed of either version. */
const MAX_RATE = 0.9
/** Baseline rate assumed when a new coordinator has counted too few calls of the old version. */
const DEFAULT_BASELINE_RATE = 0.02
/** Factor by which the baseline rate is raised, because rates vary over time. */
const DRIFT_FACTOR = 1.3
/** Calls of the old version that an estimate of its rate needs. */
const MIN_BASELINE_CALLS = 100
/** E-value up to which there is no sign of a fault; the rate of an alarm is counted from the last window at or below it. */
const QUIET_E_VALUE = 2
/** Calls that a window needs before its rate counts as a peak. */
const MIN_PEAK_CALLS = 10

/**
 * Sequential test of one rate of bad calls of the new version against the old version's rate before, for the hold time, in
 * which the old version gets no calls.
 */
class RateMonitor {
  readonly #eProcess = new EProcess(RATE_RATIOS.length)
  readonly #logRatios = new Float64Array(RATE_RATIOS.length)
  #risingCalls = 0
  #risingBad = 0
  #peakRate = 0

  /** Adds one window. The baseline rate is capped: with a rate of 1 no worse rate and no finite likelihood would exist. */
  update (calls: number, bad: number, baselineRate: number): void {
    const referenceRate = Math.min(MAX_RATE, baselineRate)
    RATE_RATIOS.forEach((ratio, i) => {
      const rate = Math.min(MAX_RATE, referenceRate * ratio)
      this.#logRatios[i] = bad * Math.log(rate / referenceRate) + (calls - bad) * Math.log((1 - rate) / (1 - referenceRate))
    })
    this.#eProcess.update(this.#logRatios)
    if (calls >= MIN_PEAK_CALLS) this.#peakRate = Math.max(this.#peakRate, bad / calls)
    if (this.#eProcess.eValue <= QUIET_E_VALUE) {
      this.#risingCalls = 0
      this.#risingBad = 0
      return
    }
    this.#risingCalls += calls
    this.#risingBad += bad
  }

  /** E-value against the baseline rate. */
  get eValue (): number {
    return this.#eProcess.eValue
  }

  /** Rate since the evidence began to rise. */
  get risingRate (): number {
    return this.#risingCalls === 0 ? 0 : this.#risingBad / this.#risingCalls
  }

  /** Highest rate of a single window that had enough calls. */
  get peakRate (): number {
    return Math.max(this.#peakRate, this.risingRate)
  }
}

/** Sign that the new version is worse at 100% than the old one was before; the reason for a retest. */
export interface Alarm {
  kind: 'errors' | 'slow'
  /** Route whose failures raised it; absent when all routes together did. */
  route?: string
  /** Rate of bad calls while the evidence rose. */
  rate: number
  /** Highest rates of bad calls in a single window. */
  peaks: BadRates
}

/**
 * Monitors the new version during the hold time and raises an alarm when it does worse at 100% than the old version did
 * before. As the versions run at different times, this is no proof: an alarm asks for a retest of both at the same time.
 */
export class HoldMonitor {
  readonly #errorsByRoute = new Map<string, RateMonitor>()
  readonly #slow = new RateMonitor()
  readonly #allErrors = new RateMonitor()

  constructor (routes: Iterable<string>) {
    for (const route of routes) this.#errorsByRoute.set(route, new RateMonitor())
  }

  /** Adds one window; `tolerated` are rates of bad calls that are known to occur in both versions. */
  update (strata: readonly Stratum[], baseline: Baseline, tolerated: BadRates, countSlow: boolean): void {
    let calls = 0
    let errors = 0
    for (const stratum of strata) {
      calls += stratum.new.calls
      errors += stratum.new.errors
      const referenceRate = Math.max(baselineErrorRate(baseline, stratum.route), tolerated.errors)
      this.#errorsByRoute.get(stratum.route)?.update(stratum.new.calls, stratum.new.errors, referenceRate)
    }
    this.#allErrors.update(calls, errors, Math.max(baselineErrorRate(baseline), tolerated.errors))
    if (countSlow) this.#updateSlow(strata, baseline, tolerated.slow)
  }

  /**
   * The alarm, if HOLD_ALARM_E_VALUE is reached. For failures, the e-value of all routes together is averaged with the mean
   * of the routes' own e-values, which finds a fault of one route and stays valid for any number of routes.
   */
  get alarm (): Alarm | undefined {
    const monitors = [...this.#errorsByRoute.values()]
    const routeMean = monitors.reduce((sum, monitor) => sum + monitor.eValue, 0) / Math.max(1, monitors.length)
    if ((this.#allErrors.eValue + routeMean) / 2 >= HOLD_ALARM_E_VALUE) return this.#errorAlarm()
    if (this.#slow.eValue < HOLD_ALARM_E_VALUE) return undefined
    return { kind: 'slow', rate: this.#slow.risingRate, peaks: this.#peaks() }
  }

  #errorAlarm (): Alarm {
    const peaks = this.#peaks()
    let worst: Alarm = { kind: 'errors', rate: this.#allErrors.risingRate, peaks }
    let maxEValue = this.#allErrors.eValue
    for (const [route, monitor] of this.#errorsByRoute) {
      if (monitor.eValue <= maxEValue) continue
      maxEValue = monitor.eValue
      worst = { kind: 'errors', route, rate: monitor.risingRate, peaks }
    }
    return worst
  }

  #peaks (): BadRates {
    return { errors: this.#allErrors.peakRate, slow: this.#slow.peakRate }
  }

  /** Counts slow calls by the lowest quantile only, over all routes together. */
  #updateSlow (strata: readonly Stratum[], baseline: Baseline, tolerated: number): void {
    let calls = 0
    let slow = 0
    for (const stratum of strata) {
      const threshold = baseline.slowThresholds(stratum.route)[0]
      if (threshold === undefined) continue
      calls += stratum.new.successes
      slow += countAbove(stratum.new.buckets, threshold + SLOW_TOLERANCE_BUCKETS)
    }
    this.#slow.update(calls, slow, Math.max((1 - SLOW_QUANTILES[0]!) * DRIFT_FACTOR, tolerated))
  }
}

/** Upper estimate of the old version's failure rate, on one route or, without `route` or with too few calls, over all. */
function baselineErrorRate (baseline: Baseline, route?: string): number {
  const routeTotals = route === undefined ? baseline.service : baseline.route(route)
  const totals = routeTotals.calls >= MIN_BASELINE_CALLS ? routeTotals : baseline.service
  if (totals.calls < MIN_BASELINE_CALLS) return DEFAULT_BASELINE_RATE
  const upperRate = (totals.errors + Math.sqrt(totals.errors + 1) + 0.5) / totals.calls * DRIFT_FACTOR
  return Math.min(MAX_RATE / 2, upperRate)
}
