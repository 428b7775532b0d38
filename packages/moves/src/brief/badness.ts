/** Results of one route on one version since the last report. */
export interface BriefRow {
  route: string
  version: string
  calls: number
  /** Calls that failed. */
  errors: number
  /** Calls that took longer than the route's target latency, on targets that are no longer cold. */
  slow: number
  /** Sum of the durations, in milliseconds. */
  ms: number
}

/** What one daemon saw of a service's versions since its last report. */
export interface BriefReport {
  service: string
  daemon: string
  rows: BriefRow[]
}

/** Evidence at which a version is called bad; e^6.5 is about one false alarm in 700 good moves and routes. */
const ALARM = 6.5
/** Least rate of bad calls that an equal version is assumed to have. */
const MIN_BASE_RATE = 0.02
/** A bad version fails or slows at least this part of its calls. */
const MIN_BAD_RATE = 0.25
const BAD_FACTOR = 3
const MAX_RATE = 0.95
/** Part of the old version's record that each report forgets, so that a trouble of both counts while it lasts. */
const FADE_PER_CALL = 0.02

type Kind = 'errors' | 'slow'

/**
 * Looks for a version that is worse than the one beside it, by a cumulative sum per route: evidence against it adds up
 * and evidence for it takes away, but never below zero, so that a version that turns bad late is found as soon.
 */
export class Badness {
  readonly #to: string
  readonly #sums = new Map<string, number>()
  readonly #base = new Map<string, { calls: number, errors: number, slow: number }>()
  #newCalls = 0
  #verdict: string | undefined

  constructor (to: string) {
    this.#to = to
  }

  /** Why the version is bad; undefined while it isn't found so. */
  get verdict (): string | undefined {
    return this.#verdict
  }

  get newCalls (): number {
    return this.#newCalls
  }

  add (row: BriefRow): void {
    if (row.version !== this.#to) return this.#learnBase(row)
    this.#newCalls += row.calls
    this.#sum(row, 'errors')
    this.#sum(row, 'slow')
  }

  #learnBase (row: BriefRow): void {
    const base = this.#base.get(row.route) ?? { calls: 0, errors: 0, slow: 0 }
    const keep = (1 - FADE_PER_CALL) ** row.calls
    base.calls = base.calls * keep + row.calls
    base.errors = base.errors * keep + row.errors
    base.slow = base.slow * keep + row.slow
    this.#base.set(row.route, base)
  }

  #sum (row: BriefRow, kind: Kind): void {
    const base = this.#base.get(row.route)
    const usual = base && base.calls > 0 ? (base[kind] + 0.5) / (base.calls + 1) : 0
    const low = Math.min(0.8, Math.max(MIN_BASE_RATE, usual))
    const high = Math.min(MAX_RATE, Math.max(MIN_BAD_RATE, BAD_FACTOR * low))
    const bad = row[kind]
    const good = row.calls - bad
    const key = `${kind} ${row.route}`
    const step = bad * Math.log(high / low) + good * Math.log((1 - high) / (1 - low))
    const sum = Math.max(0, (this.#sums.get(key) ?? 0) + step)
    this.#sums.set(key, sum)
    if (sum < ALARM || this.#verdict !== undefined) return
    const what = kind === 'errors' ? 'fails' : 'is slow on'
    this.#verdict = `${this.#to} ${what} far more calls of ${row.route} than the version beside it (evidence ${sum.toFixed(1)})`
  }
}
