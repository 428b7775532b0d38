/** Counts of one route and version since the last report. */
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

/** One daemon's counts of a service's versions since its last report; evidence for the daemons that watch a brief move. */
export interface BriefReport {
  service: string
  daemon: string
  /** Incarnation of the daemon; each one numbers its reports anew. */
  incarnation: number
  /** Rises with each report, so that one which arrives twice counts once. */
  sequence: number
  rows: BriefRow[]
}

/** Log-likelihood ratio at which a version counts as bad; e^6.5 means about one false alarm in 700 good moves and routes. */
const ALARM_LOG_RATIO = 6.5
/** Lowest rate of bad calls, failed or slow, that a good version is assumed to have. */
const MIN_BASELINE_RATE = 0.02
/** Lowest rate of bad calls that a bad version is assumed to have. */
const MIN_BAD_RATE = 0.25
/** Least factor between the rates of a bad and a good version, up to MAX_RATE. */
const BAD_FACTOR = 3
const MAX_RATE = 0.95
/** Decay of the old version's counts with each of its calls, so that the baseline follows a fault of both versions while it lasts. */
const BASELINE_DECAY_PER_CALL = 0.02

type BadCallKind = 'errors' | 'slow'

/**
 * Sequential test (CUSUM) that finds a new version worse than the old one that runs at the same time. For each route and
 * kind of bad call it sums the log-likelihood ratio of a bad version against a good one. The sum never falls below zero,
 * so that a version that turns bad late is found as fast as one that is bad from the start.
 */
export class CusumTest {
  readonly #to: string
  readonly #sums = new Map<string, number>()
  readonly #baselines = new Map<string, { calls: number, errors: number, slow: number }>()
  #newCalls = 0
  #verdict: string | undefined

  constructor (to: string) {
    this.#to = to
  }

  /** Why the new version is bad; undefined while it isn't found to be. */
  get verdict (): string | undefined {
    return this.#verdict
  }

  /** Calls of the new version so far. */
  get newCalls (): number {
    return this.#newCalls
  }

  add (row: BriefRow): void {
    if (row.version !== this.#to) return this.#updateBaseline(row)
    this.#newCalls += row.calls
    this.#updateSum(row, 'errors')
    this.#updateSum(row, 'slow')
  }

  #updateBaseline (row: BriefRow): void {
    const baseline = this.#baselines.get(row.route) ?? { calls: 0, errors: 0, slow: 0 }
    const decay = (1 - BASELINE_DECAY_PER_CALL) ** row.calls
    baseline.calls = baseline.calls * decay + row.calls
    baseline.errors = baseline.errors * decay + row.errors
    baseline.slow = baseline.slow * decay + row.slow
    this.#baselines.set(row.route, baseline)
  }

  #updateSum (row: BriefRow, kind: BadCallKind): void {
    const baseline = this.#baselines.get(row.route)
    const observedRate = baseline && baseline.calls > 0 ? (baseline[kind] + 0.5) / (baseline.calls + 1) : 0
    const baselineRate = Math.min(0.8, Math.max(MIN_BASELINE_RATE, observedRate))
    const badRate = Math.min(MAX_RATE, Math.max(MIN_BAD_RATE, BAD_FACTOR * baselineRate))
    const bad = row[kind]
    const good = row.calls - bad
    const key = `${kind} ${row.route}`
    const logRatio = bad * Math.log(badRate / baselineRate) + good * Math.log((1 - badRate) / (1 - baselineRate))
    const sum = Math.max(0, (this.#sums.get(key) ?? 0) + logRatio)
    this.#sums.set(key, sum)
    if (sum < ALARM_LOG_RATIO || this.#verdict !== undefined) return
    const finding = kind === 'errors' ? 'fails' : 'is slow on'
    this.#verdict = `${this.#to} ${finding} far more calls of ${row.route} than the version beside it (evidence ${sum.toFixed(1)})`
  }
}
