import type { EvidenceReport, EvidenceRow } from '@lentilwheel/core'
import { SLOW_MIN_CALLS, SLOW_QUANTILES, SLOW_TOLERANCE_BUCKETS } from './constants.js'
import { isSoundReport, RowSum } from './counters.js'
import type { Table } from './hypergeometric.js'
import { countAbove, quantileBucket } from './latency.js'

/** Calls of one route in one window under one stage. */
export interface Cell {
  route: string
  new: RowSum
  old: RowSum
}

/** Slow-call bounds of one route: the last bucket that isn't slow, for each quantile that has enough calls. */
export type SlowBounds = readonly (number | undefined)[]

/**
 * Reports of all daemons since the last window. Reports of different stages are kept apart: pooling different shares
 * would make a fault of one moment look like a fault of one version.
 */
export class Window {
  readonly #from: string
  readonly #to: string
  readonly #cells = new Map<string, Cell>()

  constructor (from: string, to: string) {
    this.#from = from
    this.#to = to
  }

  add (report: EvidenceReport, stage: number): void {
    if (!isSoundReport(report)) return
    for (const row of report.rows) this.#addRow(row, report.stage ?? stage)
  }

  cells (): IterableIterator<Cell> {
    return this.#cells.values()
  }

  #addRow (row: EvidenceRow, stage: number): void {
    if (row.version !== this.#from && row.version !== this.#to) return
    const key = `${stage} ${row.route}`
    let cell = this.#cells.get(key)
    if (!cell) {
      cell = { route: row.route, new: new RowSum(), old: new RowSum() }
      this.#cells.set(key, cell)
    }
    const sum = row.version === this.#to ? cell.new : cell.old
    sum.add(row)
  }
}

/** Past calls above which the older half of the baseline's weight is dropped. */
const BASELINE_CALLS = 100_000

/** Parts of calls that failed or were slow. */
export interface BadRates {
  errors: number
  slow: number
}

export const NO_BAD_CALLS: BadRates = { errors: 0, slow: 0 }

export function maxRates (a: BadRates, b: BadRates): BadRates {
  return { errors: Math.max(a.errors, b.errors), slow: Math.max(a.slow, b.slow) }
}

const RECENT_WINDOWS = 5
const RECENT_MIN_CALLS = 8

/** What the old version did until now: fixes slow-call bounds before each window, and the hold time's reference. */
export class Baseline {
  readonly service = new RowSum()
  /** Bad rates of the last few windows that had enough calls. */
  #recent: BadRates[] = []
  readonly #routes = new Map<string, RowSum>()

  add (cell: Pick<Cell, 'route' | 'old'>): void {
    if (cell.old.calls === 0) return
    this.service.add(cell.old)
    this.route(cell.route).add(cell.old)
    for (const sum of [this.service, this.route(cell.route)]) if (sum.calls > BASELINE_CALLS) sum.scale(0.5)
  }

  /** Takes in a whole window. */
  addWindow (cells: readonly Cell[]): void {
    const sums = { calls: 0, errors: 0, successes: 0, slow: 0 }
    for (const cell of cells) {
      const bound = this.slowBounds(cell.route)[0]
      sums.calls += cell.old.calls
      sums.errors += cell.old.errors
      if (bound !== undefined) {
        sums.successes += cell.old.successes
        sums.slow += countAbove(cell.old.buckets, bound)
      }
      this.add(cell)
    }
    if (sums.calls < RECENT_MIN_CALLS) return
    const slow = sums.successes === 0 ? 0 : sums.slow / sums.successes
    this.#recent = [...this.#recent.slice(1 - RECENT_WINDOWS), { errors: sums.errors / sums.calls, slow }]
  }

  /** Highest bad rates of the last few windows. */
  get recentRates (): BadRates {
    return this.#recent.reduce(maxRates, NO_BAD_CALLS)
  }

  route (name: string): RowSum {
    let sum = this.#routes.get(name)
    if (!sum) {
      sum = new RowSum()
      this.#routes.set(name, sum)
    }
    return sum
  }

  /** Bounds from the route's own calls, or from the service's while the route has too few. */
  slowBounds (route: string): SlowBounds {
    return SLOW_QUANTILES.map((quantile, i) => {
      const source = [this.route(route), this.service].find((sum) => sum.successes >= SLOW_MIN_CALLS[i]!)
      return source && quantileBucket(source.buckets, source.successes, quantile)
    })
  }
}

export function errorTable (cell: Cell): Table {
  return {
    callsNew: cell.new.calls, badNew: cell.new.errors, callsOld: cell.old.calls, badOld: cell.old.errors
  }
}

/** Slow calls of both versions; the new version's bound is higher by the tolerated slowness. */
export function slowTable (cell: Cell, bound: number): Table {
  return {
    callsNew: cell.new.successes,
    badNew: countAbove(cell.new.buckets, bound + SLOW_TOLERANCE_BUCKETS),
    callsOld: cell.old.successes,
    badOld: countAbove(cell.old.buckets, bound)
  }
}
