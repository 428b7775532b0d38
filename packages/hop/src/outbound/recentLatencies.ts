/** Width of a bucket, as a fraction of the target latency of the route. */
const BUCKET_WIDTH = 0.02
/** The last bucket holds all latencies from the target latency on. */
const BUCKET_COUNT = 1 / BUCKET_WIDTH + 1
/** Number of latencies before which no quantile is given: the slowest ones would rest on one or two of them. */
const MIN_LATENCIES = 50
/** Number of latencies at which all counts are halved, so that the quantile follows the targets. */
const HALVING_COUNT = 512
/** Number of latencies after which a quantile is computed anew; it is read for each request. */
const REFRESH_COUNT = 16

/** Latencies of one route seen lately, as fractions of its target latency, in a histogram whose counts decay. */
export class RecentLatencies {
  readonly #quantile: number
  readonly #counts = new Uint16Array(BUCKET_COUNT)
  #total = 0
  #sinceRefresh = 0
  #value: number | undefined

  /** `quantile`: the one to keep, 0 to 1. */
  constructor (quantile: number) {
    this.#quantile = quantile
  }

  /** Upper bound of the quantile, 1 if it is no less than the target latency; undefined before enough latencies were seen. */
  get value (): number | undefined {
    return this.#value
  }

  record (fraction: number): void {
    this.#counts[Math.min(BUCKET_COUNT - 1, Math.floor(fraction / BUCKET_WIDTH))]!++
    this.#total++
    if (this.#total >= HALVING_COUNT) this.#halve()
    if (++this.#sinceRefresh >= REFRESH_COUNT && this.#total >= MIN_LATENCIES) this.#refresh()
  }

  #halve (): void {
    this.#total = 0
    for (let i = 0; i < BUCKET_COUNT; i++) this.#total += this.#counts[i]! >>= 1
  }

  #refresh (): void {
    this.#sinceRefresh = 0
    const rank = this.#quantile * this.#total
    let bucket = 0
    for (let seen = this.#counts[0]!; seen < rank && bucket < BUCKET_COUNT - 1; seen += this.#counts[bucket]!) bucket++
    this.#value = Math.min(1, (bucket + 1) * BUCKET_WIDTH)
  }
}
