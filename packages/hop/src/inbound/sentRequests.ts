/** Requests sent to the target within the window, by where they come from. */
export interface SentCounts {
  all: number
  /** Of all, those that other targets made while they ran a request. */
  nested: number
  /** Of all, those that may have reached a target before. */
  repeated: number
}

/** Length of the window. */
export const SENT_WINDOW_MS = 4_000
const BUCKET_MS = 250
/** One bucket more than the window has, so that the oldest requests of the window are never left out. */
const BUCKET_COUNT = SENT_WINDOW_MS / BUCKET_MS + 1

/** Counts the requests sent to one target within a sliding window, in buckets of time. */
export class SentRequests {
  readonly #buckets: SentCounts[] = Array.from({ length: BUCKET_COUNT }, emptyCounts)
  #newestBucket = 0

  add (request: { nested: boolean, repeat: boolean }, now: number): void {
    this.#advance(now)
    const bucket = this.#buckets[this.#newestBucket % BUCKET_COUNT]!
    bucket.all++
    if (request.nested) bucket.nested++
    if (request.repeat) bucket.repeated++
  }

  /** Requests of the last `SENT_WINDOW_MS`, and of up to `BUCKET_MS` before. */
  counts (now: number): SentCounts {
    this.#advance(now)
    const sum = emptyCounts()
    for (const { all, nested, repeated } of this.#buckets) {
      sum.all += all
      sum.nested += nested
      sum.repeated += repeated
    }
    return sum
  }

  clear (): void {
    for (let i = 0; i < BUCKET_COUNT; i++) this.#buckets[i] = emptyCounts()
  }

  /** Empties the buckets that have left the window. */
  #advance (now: number): void {
    const bucket = Math.floor(now / BUCKET_MS)
    const steps = Math.min(BUCKET_COUNT, bucket - this.#newestBucket)
    for (let i = 0; i < steps; i++) this.#buckets[(bucket - i) % BUCKET_COUNT] = emptyCounts()
    this.#newestBucket = Math.max(bucket, this.#newestBucket)
  }
}

function emptyCounts (): SentCounts {
  return { all: 0, nested: 0, repeated: 0 }
}
