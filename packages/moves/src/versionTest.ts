import { ALPHA, ERROR_ODDS_RATIOS, SLOW_ODDS_RATIOS, SLOW_QUANTILES, SUSPICION_E_VALUE } from './constants.js'
import { Comparison } from './comparison.js'
import { errorTable, slowTable, type Baseline, type Stratum } from './evidence.js'
import type { ContingencyTable } from './hypergeometric.js'
import { bucketUpperMs } from './latencyBuckets.js'

/** Sums of the tables of one route, for the text that explains a verdict. */
interface RouteTotals {
  errors: ContingencyTable
  slow: ContingencyTable
  /** Latency at the lowest slow quantile; calls above it count as slow. */
  slowAboveMs: number
}

/** Tables of one window, by route. */
type RouteTables = Map<string, ContingencyTable[]>

/**
 * Sequential test whether the new version of a move is worse than the old one, from calls of both in the same windows:
 * compares failures, and slow calls at each of SLOW_QUANTILES. Both kinds have an e-value of their own, which may be
 * looked at after each window.
 */
export class VersionTest {
  readonly #from: string
  readonly #to: string
  readonly #errors: Comparison
  readonly #slow: Comparison[]
  readonly #totals = new Map<string, RouteTotals>()
  newCalls = 0
  newErrors = 0

  constructor (from: string, to: string, routes: readonly string[]) {
    this.#from = from
    this.#to = to
    this.#errors = new Comparison(routes, ERROR_ODDS_RATIOS)
    this.#slow = SLOW_QUANTILES.map(() => new Comparison(routes, SLOW_ODDS_RATIOS))
  }

  /** Takes in one window; `countSlow` is false while cold targets warm up. */
  update (strata: readonly Stratum[], baseline: Baseline, countSlow: boolean): void {
    const errors: RouteTables = new Map()
    const slow: RouteTables[] = SLOW_QUANTILES.map(() => new Map())
    for (const stratum of strata) {
      this.newCalls += stratum.new.calls
      this.newErrors += stratum.new.errors
      const totals = this.#totalsOf(stratum.route)
      appendTable(errors, stratum.route, errorTable(stratum))
      addTable(totals.errors, errorTable(stratum))
      if (!countSlow) continue
      baseline.slowThresholds(stratum.route).forEach((threshold, i) => {
        if (threshold === undefined) return
        const table = slowTable(stratum, threshold)
        appendTable(slow[i]!, stratum.route, table)
        if (i > 0) return
        addTable(totals.slow, table)
        totals.slowAboveMs = bucketUpperMs(threshold)
      })
    }
    this.#errors.update(errors)
    if (countSlow) this.#slow.forEach((comparison, i) => comparison.update(slow[i]!))
  }

  /** E-value against equal failure rates. */
  get errorEvidence (): number {
    return this.#errors.eValue
  }

  /** E-value against equal rates of slow calls, averaged over the quantiles. */
  get slowEvidence (): number {
    return this.#slow.reduce((sum, comparison) => sum + comparison.eValue, 0) / this.#slow.length
  }

  /** Whether there is evidence against the new version, even if too little for a verdict. */
  get isSuspicious (): boolean {
    return Math.max(this.errorEvidence, this.slowEvidence) >= SUSPICION_E_VALUE
  }

  /** Why the new version is worse, as text for the rollback; undefined while the evidence doesn't suffice. */
  get verdict (): string | undefined {
    if (this.errorEvidence >= 1 / ALPHA) return this.#errorReason()
    if (this.slowEvidence >= 1 / ALPHA) return this.#slowReason()
    return undefined
  }

  #errorReason (): string {
    const route = this.#errors.worstRoute
    const { callsNew, badNew, callsOld, badOld } = this.sums('errors', route)
    return `${this.#to} failed ${badNew} of ${callsNew} calls${onRoute(route)}, ` +
      `while ${this.#from} failed ${badOld} of ${callsOld} in the same time`
  }

  #slowReason (): string {
    const worst = this.#slow.reduce((a, b) => (b.eValue > a.eValue ? b : a))
    const route = worst.worstRoute
    const { callsNew, badNew, callsOld, badOld } = this.sums('slow', route)
    return `${this.#to} was slow in ${percent(badNew, callsNew)} of its calls${onRoute(route)}, ` +
      `while ${this.#from} was slow in ${percent(badOld, callsOld)} in the same time` +
      (route === undefined ? '' : ` (slow is above ${this.#totalsOf(route).slowAboveMs.toPrecision(2)} ms)`)
  }

  /** Calls of both versions since the start of the test, over one route or all. */
  sums (kind: 'errors' | 'slow', route?: string): ContingencyTable {
    const sum = emptyTable()
    for (const [name, totals] of this.#totals) {
      if (route === undefined || route === name) addTable(sum, totals[kind])
    }
    return sum
  }

  #totalsOf (route: string): RouteTotals {
    let totals = this.#totals.get(route)
    if (!totals) {
      totals = { errors: emptyTable(), slow: emptyTable(), slowAboveMs: 0 }
      this.#totals.set(route, totals)
    }
    return totals
  }
}

function emptyTable (): ContingencyTable {
  return { callsNew: 0, badNew: 0, callsOld: 0, badOld: 0 }
}

function addTable (sum: ContingencyTable, table: ContingencyTable): void {
  sum.callsNew += table.callsNew
  sum.badNew += table.badNew
  sum.callsOld += table.callsOld
  sum.badOld += table.badOld
}

function appendTable (tables: RouteTables, route: string, table: ContingencyTable): void {
  const list = tables.get(route)
  if (list) list.push(table)
  else tables.set(route, [table])
}

function onRoute (route: string | undefined): string {
  return route === undefined ? '' : ` on route ${route}`
}

function percent (part: number, whole: number): string {
  return whole === 0 ? '0%' : `${(part / whole * 100).toPrecision(2)}%`
}
