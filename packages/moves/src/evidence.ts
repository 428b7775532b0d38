import type { EvidenceReport, EvidenceRow } from '@lentilwheel/core'
import { MIN_QUANTILE_CALLS, SLOW_QUANTILES, SLOW_TOLERANCE_BUCKETS } from './constants.js'
import { CallTotals, isValidReport } from './counters.js'
import type { ContingencyTable } from './hypergeometric.js'
import { countAbove, quantileBucket } from './latencyBuckets.js'

/**
 * Calls of both versions on one route, in one window and under one stage. The versions are compared within each stratum,
 * so that differences between routes, times and shares don't look like differences between versions.
 */
export interface Stratum {
  route: string
  new: CallTotals
  old: CallTotals
}

/** Last latency bucket that doesn't count as slow, for each of SLOW_QUANTILES; undefined while there are too few calls. */
export type SlowThresholds = readonly (number | undefined)[]

/**
 * Sums the reports of all daemons between two ticks of the coordinator. Reports of different stages are kept apart: pooled
 * over different shares, a fault that hits both versions for a moment would look like a fault of one.
 */
export class EvidenceWindow {
  readonly #from: string
  readonly #to: string
  readonly #strata = new Map<string, Stratum>()

  constructor (from: string, to: string) {
    this.#from = from
    this.#to = to
  }

  /** Adds a report, under `stage` if it names none; drops it if its numbers are invalid. */
  add (report: EvidenceReport, stage: number): void {
    if (!isValidReport(report)) return
    for (const row of report.rows) this.#addRow(row, report.stage ?? stage)
  }

  strata (): IterableIterator<Stratum> {
    return this.#strata.values()
  }

  #addRow (row: EvidenceRow, stage: number): void {
    if (row.version !== this.#from && row.version !== this.#to) return
    const key = `${stage} ${row.route}`
    let stratum = this.#strata.get(key)
    if (!stratum) {
      stratum = { route: row.route, new: new CallTotals(), old: new CallTotals() }
      this.#strata.set(key, stratum)
    }
    const totals = row.version === this.#to ? stratum.new : stratum.old
    totals.add(row)
  }
}

/** Number of calls above which a baseline's counts are halved, so that it follows slow changes. */
const MAX_BASELINE_CALLS = 100_000

/** Fractions of the calls that were bad: failed or slow. */
export interface BadRates {
  errors: number
  slow: number
}

export const ZERO_RATES: BadRates = { errors: 0, slow: 0 }

export function maxRates (a: BadRates, b: BadRates): BadRates {
  return { errors: Math.max(a.errors, b.errors), slow: Math.max(a.slow, b.slow) }
}

/** Windows that `recentRates` looks back over. */
const RECENT_WINDOWS = 5
/** Calls that a window needs to count among the recent ones. */
const MIN_RECENT_CALLS = 8

/**
 * Calls of the old version until now. They give the latency thresholds of slow calls, which are fixed before each window,
 * and the reference rates for the hold time, when the old version gets no calls.
 */
export class Baseline {
  /** Calls over all routes. */
  readonly service = new CallTotals()
  /** Rates of bad calls in the last few windows that had enough calls. */
  #recentRates: BadRates[] = []
  readonly #routes = new Map<string, CallTotals>()

  add (stratum: Pick<Stratum, 'route' | 'old'>): void {
    if (stratum.old.calls === 0) return
    this.service.add(stratum.old)
    this.route(stratum.route).add(stratum.old)
    for (const totals of [this.service, this.route(stratum.route)]) if (totals.calls > MAX_BASELINE_CALLS) totals.scale(0.5)
  }

  /** Adds the old version's calls of a whole window. */
  addWindow (strata: readonly Stratum[]): void {
    const sums = { calls: 0, errors: 0, successes: 0, slow: 0 }
    for (const stratum of strata) {
      const threshold = this.slowThresholds(stratum.route)[0]
      sums.calls += stratum.old.calls
      sums.errors += stratum.old.errors
      if (threshold !== undefined) {
        sums.successes += stratum.old.successes
        sums.slow += countAbove(stratum.old.buckets, threshold)
      }
      this.add(stratum)
    }
    if (sums.calls < MIN_RECENT_CALLS) return
    const slow = sums.successes === 0 ? 0 : sums.slow / sums.successes
    this.#recentRates = [...this.#recentRates.slice(1 - RECENT_WINDOWS), { errors: sums.errors / sums.calls, slow }]
  }

  /** Highest rates of bad calls in the last few windows. */
  get recentRates (): BadRates {
    return this.#recentRates.reduce(maxRates, ZERO_RATES)
  }

  /** Calls of one route. */
  route (name: string): CallTotals {
    let totals = this.#routes.get(name)
    if (!totals) {
      totals = new CallTotals()
      this.#routes.set(name, totals)
    }
    return totals
  }

  /** Thresholds from the route's own calls, or from the service's while the route has too few. */
  slowThresholds (route: string): SlowThresholds {
    return SLOW_QUANTILES.map((quantile, i) => {
      const source = [this.route(route), this.service].find((totals) => totals.successes >= MIN_QUANTILE_CALLS[i]!)
      return source && quantileBucket(source.buckets, source.successes, quantile)
    })
  }
}

/** Failed calls of both versions. */
export function errorTable (stratum: Stratum): ContingencyTable {
  return {
    callsNew: stratum.new.calls, badNew: stratum.new.errors, callsOld: stratum.old.calls, badOld: stratum.old.errors
  }
}

/** Slow calls of both versions; the new version's threshold is higher by SLOW_TOLERANCE_BUCKETS. */
export function slowTable (stratum: Stratum, threshold: number): ContingencyTable {
  return {
    callsNew: stratum.new.successes,
    badNew: countAbove(stratum.new.buckets, threshold + SLOW_TOLERANCE_BUCKETS),
    callsOld: stratum.old.successes,
    badOld: countAbove(stratum.old.buckets, threshold)
  }
}
