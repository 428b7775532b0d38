import { HOLD_ALARM, SLOW_QUANTILES, SLOW_TOLERANCE_BUCKETS } from './constants.js'
import { EProcess } from './eProcess.js'
import type { BadRates, Baseline, Cell } from './evidence.js'
import { countAbove } from './latency.js'

/** Ratios to the old version's past rate that the alarm looks for. */
const RATE_RATIOS: readonly number[] = [2, 4, 16, 64]
const MAX_RATE = 0.9
/** Past rate assumed when a new coordinator has seen no calls of the old version. */
const UNKNOWN_RATE = 0.02
/** The past rate is taken higher than seen by this factor, because other times differ. */
const DRIFT = 1.3
/** Past calls that an estimate needs. */
const MIN_PAST_CALLS = 100
/** Evidence up to this means that nothing is wrong; the rate of an alarm counts from the last such window. */
const AT_REST = 2
/** Calls that a window needs before its rate counts as a peak. */
const MIN_PEAK_CALLS = 10

/** Watches one rate of the new version against the old version's past while no calls go to the old version. */
class RateWatch {
  readonly #process = new EProcess(RATE_RATIOS.length)
  readonly #logs = new Float64Array(RATE_RATIOS.length)
  #risingCalls = 0
  #risingBad = 0
  #peakRate = 0

  /** A past rate of 1 would leave no room for a worse one and no finite likelihood. */
  update (calls: number, bad: number, pastRate: number): void {
    const past = Math.min(MAX_RATE, pastRate)
    RATE_RATIOS.forEach((ratio, i) => {
      const rate = Math.min(MAX_RATE, past * ratio)
      this.#logs[i] = bad * Math.log(rate / past) + (calls - bad) * Math.log((1 - rate) / (1 - past))
    })
    this.#process.update(this.#logs)
    if (calls >= MIN_PEAK_CALLS) this.#peakRate = Math.max(this.#peakRate, bad / calls)
    if (this.#process.value <= AT_REST) {
      this.#risingCalls = 0
      this.#risingBad = 0
      return
    }
    this.#risingCalls += calls
    this.#risingBad += bad
  }

  get value (): number {
    return this.#process.value
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

export interface Alarm {
  kind: 'errors' | 'slow'
  /** Route whose failures raised it; absent when all routes together did. */
  route?: string
  /** Rate of bad calls that raised it. */
  rate: number
  /** Highest rates of one window. */
  peaks: BadRates
}

/** Asks for a concurrent test when the new version at 100% does worse than the old version did before. */
export class HoldAlarm {
  readonly #errors = new Map<string, RateWatch>()
  readonly #slow = new RateWatch()
  readonly #allErrors = new RateWatch()

  constructor (routes: Iterable<string>) {
    for (const route of routes) this.#errors.set(route, new RateWatch())
  }

  /** `tolerated` are rates known to be common to both versions. */
  update (cells: readonly Cell[], baseline: Baseline, tolerated: BadRates, countSlow: boolean): void {
    let calls = 0
    let errors = 0
    for (const cell of cells) {
      calls += cell.new.calls
      errors += cell.new.errors
      const past = Math.max(pastErrorRate(baseline, cell.route), tolerated.errors)
      this.#errors.get(cell.route)?.update(cell.new.calls, cell.new.errors, past)
    }
    this.#allErrors.update(calls, errors, Math.max(pastErrorRate(baseline), tolerated.errors))
    if (countSlow) this.#updateSlow(cells, baseline, tolerated.slow)
  }

  get alarm (): Alarm | undefined {
    const watches = [...this.#errors.values()]
    const routeMean = watches.reduce((sum, watch) => sum + watch.value, 0) / Math.max(1, watches.length)
    if ((this.#allErrors.value + routeMean) / 2 >= HOLD_ALARM) return this.#errorAlarm()
    if (this.#slow.value < HOLD_ALARM) return undefined
    return { kind: 'slow', rate: this.#slow.risingRate, peaks: this.#peaks() }
  }

  #errorAlarm (): Alarm {
    const peaks = this.#peaks()
    let worst: Alarm = { kind: 'errors', rate: this.#allErrors.risingRate, peaks }
    let most = this.#allErrors.value
    for (const [route, watch] of this.#errors) {
      if (watch.value <= most) continue
      most = watch.value
      worst = { kind: 'errors', route, rate: watch.risingRate, peaks }
    }
    return worst
  }

  #peaks (): BadRates {
    return { errors: this.#allErrors.peakRate, slow: this.#slow.peakRate }
  }

  /** Slowness is watched at the lowest quantile only, over all routes. */
  #updateSlow (cells: readonly Cell[], baseline: Baseline, tolerated: number): void {
    let calls = 0
    let slow = 0
    for (const cell of cells) {
      const bound = baseline.slowBounds(cell.route)[0]
      if (bound === undefined) continue
      calls += cell.new.successes
      slow += countAbove(cell.new.buckets, bound + SLOW_TOLERANCE_BUCKETS)
    }
    this.#slow.update(calls, slow, Math.max((1 - SLOW_QUANTILES[0]!) * DRIFT, tolerated))
  }
}

/** Upper estimate of the old version's failure rate, on one route or over all. */
function pastErrorRate (baseline: Baseline, route?: string): number {
  const own = route === undefined ? baseline.service : baseline.route(route)
  const sum = own.calls >= MIN_PAST_CALLS ? own : baseline.service
  if (sum.calls < MIN_PAST_CALLS) return UNKNOWN_RATE
  const upper = (sum.errors + Math.sqrt(sum.errors + 1) + 0.5) / sum.calls * DRIFT
  return Math.min(MAX_RATE / 2, upper)
}
