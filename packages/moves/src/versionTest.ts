import { ALPHA, ERROR_ODDS, SLOW_ODDS, SLOW_QUANTILES, SUSPICION } from './constants.js'
import { Comparison } from './comparison.js'
import { errorTable, slowTable, type Baseline, type Cell } from './evidence.js'
import type { Table } from './hypergeometric.js'
import { bucketUpperMs } from './latency.js'

/** Sums of the tables of one route, for the sentence that explains a verdict. */
interface Totals {
  errors: Table
  slow: Table
  slowAboveMs: number
}

type Tables = Map<string, Table[]>

/** Concurrent comparison of the two versions of a move: failures, and slow calls at each quantile. */
export class VersionTest {
  readonly #from: string
  readonly #to: string
  readonly #errors: Comparison
  readonly #slow: Comparison[]
  readonly #totals = new Map<string, Totals>()
  newCalls = 0
  newErrors = 0

  constructor (from: string, to: string, routes: readonly string[]) {
    this.#from = from
    this.#to = to
    this.#errors = new Comparison(routes, ERROR_ODDS)
    this.#slow = SLOW_QUANTILES.map(() => new Comparison(routes, SLOW_ODDS))
  }

  /** Takes in one window; slowness is left out while cold instances warm up. */
  update (cells: readonly Cell[], baseline: Baseline, countSlow: boolean): void {
    const errors: Tables = new Map()
    const slow: Tables[] = SLOW_QUANTILES.map(() => new Map())
    for (const cell of cells) {
      this.newCalls += cell.new.calls
      this.newErrors += cell.new.errors
      const totals = this.#totalsOf(cell.route)
      push(errors, cell.route, errorTable(cell))
      addTable(totals.errors, errorTable(cell))
      if (!countSlow) continue
      baseline.slowBounds(cell.route).forEach((bound, i) => {
        if (bound === undefined) return
        const table = slowTable(cell, bound)
        push(slow[i]!, cell.route, table)
        if (i > 0) return
        addTable(totals.slow, table)
        totals.slowAboveMs = bucketUpperMs(bound)
      })
    }
    this.#errors.update(errors)
    if (countSlow) this.#slow.forEach((comparison, i) => comparison.update(slow[i]!))
  }

  get errorEvidence (): number {
    return this.#errors.value
  }

  get slowEvidence (): number {
    return this.#slow.reduce((sum, comparison) => sum + comparison.value, 0) / this.#slow.length
  }

  get isSuspicious (): boolean {
    return Math.max(this.errorEvidence, this.slowEvidence) >= SUSPICION
  }

  /** Why the new version is bad, in a sentence, or undefined while the evidence is short of that. */
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
    const worst = this.#slow.reduce((a, b) => (b.value > a.value ? b : a))
    const route = worst.worstRoute
    const { callsNew, badNew, callsOld, badOld } = this.sums('slow', route)
    return `${this.#to} was slow in ${percent(badNew, callsNew)} of its calls${onRoute(route)}, ` +
      `while ${this.#from} was slow in ${percent(badOld, callsOld)} in the same time` +
      (route === undefined ? '' : ` (slow is above ${this.#totalsOf(route).slowAboveMs.toPrecision(2)} ms)`)
  }

  /** Calls of both versions since the start of the test, over one route or all. */
  sums (kind: 'errors' | 'slow', route?: string): Table {
    const sum = emptyTable()
    for (const [name, totals] of this.#totals) {
      if (route === undefined || route === name) addTable(sum, totals[kind])
    }
    return sum
  }

  #totalsOf (route: string): Totals {
    let totals = this.#totals.get(route)
    if (!totals) {
      totals = { errors: emptyTable(), slow: emptyTable(), slowAboveMs: 0 }
      this.#totals.set(route, totals)
    }
    return totals
  }
}

function emptyTable (): Table {
  return { callsNew: 0, badNew: 0, callsOld: 0, badOld: 0 }
}

function addTable (sum: Table, table: Table): void {
  sum.callsNew += table.callsNew
  sum.badNew += table.badNew
  sum.callsOld += table.callsOld
  sum.badOld += table.badOld
}

function push (tables: Tables, route: string, table: Table): void {
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
