import type { EvidenceReport, EvidenceRow } from '@lentilwheel/core'
import { BUCKET_COUNT, latencyBucket } from './latencyBuckets.js'

/** Counts of one route and version since the last report; `add` runs with every call and allocates nothing. */
export class RouteCounter {
  calls = 0
  errors = 0
  /** Successful calls by latency bucket. */
  readonly buckets = new Uint32Array(BUCKET_COUNT)
  /** Number of buckets up to the last one with calls. */
  #usedLength = 0

  add (ok: boolean, latencyMs: number, n: number): void {
    this.calls += n
    if (!ok) {
      this.errors += n
      return
    }
    const bucket = latencyBucket(latencyMs)
    this.buckets[bucket] = this.buckets[bucket]! + n
    if (bucket >= this.#usedLength) this.#usedLength = bucket + 1
  }

  reset (): void {
    this.calls = 0
    this.errors = 0
    this.buckets.fill(0, 0, this.#usedLength)
    this.#usedLength = 0
  }

  /** Copy of the buckets without the zeros at the end. */
  usedBuckets (): number[] {
    const used = new Array<number>(this.#usedLength)
    for (let i = 0; i < this.#usedLength; i++) used[i] = this.buckets[i]!
    return used
  }
}

/** Counters of one version of a service, one per route; all exist before the first call, so counting allocates nothing. */
export class VersionCounters {
  readonly version: string
  readonly #byRoute: Map<string, RouteCounter>

  constructor (version: string, routes: Iterable<string>) {
    this.version = version
    this.#byRoute = new Map(Array.from(routes, (route) => [route, new RouteCounter()]))
  }

  add (route: string, ok: boolean, latencyMs: number, n: number): void {
    this.#byRoute.get(route)?.add(ok, latencyMs, n)
  }

  /** Returns the rows of the routes that had calls, and resets the counters. */
  take (): EvidenceRow[] {
    const rows: EvidenceRow[] = []
    for (const [route, counter] of this.#byRoute) {
      if (counter.calls === 0) continue
      const { calls, errors } = counter
      rows.push({ route, version: this.version, calls, errors, buckets: counter.usedBuckets() })
      counter.reset()
    }
    return rows
  }

  discard (): void {
    for (const counter of this.#byRoute.values()) counter.reset()
  }
}

/** Sum of many rows of one version, on one route or several. */
export class CallTotals {
  calls = 0
  errors = 0
  readonly buckets = new Float64Array(BUCKET_COUNT)

  /** Adds a row or other totals. */
  add (row: Pick<EvidenceRow, 'calls' | 'errors'> & { buckets: ArrayLike<number> }): void {
    this.calls += row.calls
    this.errors += row.errors
    const length = Math.min(row.buckets.length, BUCKET_COUNT)
    for (let i = 0; i < length; i++) this.buckets[i] = this.buckets[i]! + row.buckets[i]!
  }

  get successes (): number {
    return this.calls - this.errors
  }

  /** Scales all counts down, so that calls to come weigh more and the totals follow a latency that drifts. */
  scale (factor: number): void {
    this.calls *= factor
    this.errors *= factor
    for (let i = 0; i < this.buckets.length; i++) this.buckets[i] = this.buckets[i]! * factor
  }
}

/** Whether a report's numbers are consistent counts; a damaged or hostile report is dropped whole. */
export function isValidReport (report: EvidenceReport): boolean {
  return report.rows.every((row) => {
    if (row.buckets.length > BUCKET_COUNT || !isCount(row.calls) || !isCount(row.errors)) return false
    let sum = row.errors
    for (const n of row.buckets) {
      if (!isCount(n)) return false
      sum += n
    }
    return sum === row.calls
  })
}

function isCount (n: number): boolean {
  return Number.isSafeInteger(n) && n >= 0
}
