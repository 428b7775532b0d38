/** Upper bound of the first bucket of the logarithmic latency histogram. */
const FIRST_BOUND_MS = 0.5
const BUCKETS_PER_OCTAVE = 10
/** Covers 0.5 ms to 65 s in steps of 7%. */
export const BUCKET_COUNT = 171

/** Index of the histogram bucket of a latency; runs per call. NaN falls into the first one. */
export function latencyBucket (ms: number): number {
  if (!(ms > FIRST_BOUND_MS)) return 0
  const index = 1 + Math.floor(Math.log2(ms / FIRST_BOUND_MS) * BUCKETS_PER_OCTAVE)
  return index < BUCKET_COUNT ? index : BUCKET_COUNT - 1
}

/** Upper bound of a bucket. */
export function bucketUpperMs (index: number): number {
  return FIRST_BOUND_MS * 2 ** (index / BUCKETS_PER_OCTAVE)
}

/** First bucket whose cumulative count reaches the quantile. */
export function quantileBucket (counts: ArrayLike<number>, total: number, quantile: number): number {
  let sum = 0
  for (let i = 0; i < counts.length; i++) {
    sum += counts[i]!
    if (sum >= total * quantile) return i
  }
  return counts.length - 1
}

/** Calls in buckets above the given one. */
export function countAbove (counts: ArrayLike<number>, bucket: number): number {
  let sum = 0
  for (let i = bucket + 1; i < counts.length; i++) sum += counts[i]!
  return sum
}
