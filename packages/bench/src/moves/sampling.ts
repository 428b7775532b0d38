import type { Random } from '@lentilwheel/core'

/** Means above this are drawn from the normal distribution. */
const MAX_EXACT_MEAN = 40

export function normal (random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  return radius * Math.cos(2 * Math.PI * random.next())
}

export function poisson (mean: number, random: Random): number {
  if (mean <= 0) return 0
  if (mean > MAX_EXACT_MEAN) return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(random)))
  let term = Math.exp(-mean)
  let left = random.next() - term
  let k = 0
  while (left > 0 && term > 1e-300) {
    k++
    term *= mean / k
    left -= term
  }
  return k
}

export function binomial (n: number, p: number, random: Random): number {
  if (n <= 0 || p <= 0) return 0
  if (p >= 1) return n
  if (p > 0.5) return n - binomial(n, 1 - p, random)
  const mean = n * p
  if (mean > MAX_EXACT_MEAN) {
    const drawn = Math.round(mean + Math.sqrt(mean * (1 - p)) * normal(random))
    return Math.min(n, Math.max(0, drawn))
  }
  let term = (1 - p) ** n
  let left = random.next() - term
  let k = 0
  while (left > 0 && k < n) {
    term *= (n - k) / (k + 1) * p / (1 - p)
    k++
    left -= term
  }
  return k
}

const TABLE_SIZE = 2_048

/** Standard normal values at evenly spaced probabilities between two bounds, for fast draws from a part of the range. */
export function normalTable (from: number, to: number): Float64Array {
  return Float64Array.from({ length: TABLE_SIZE }, (_, i) => normalQuantile(from + (to - from) * (i + 0.5) / TABLE_SIZE))
}

/** Inverse of the standard normal distribution by bisection; used for tables only. */
function normalQuantile (p: number): number {
  let low = -8
  let high = 8
  for (let i = 0; i < 60; i++) {
    const mid = (low + high) / 2
    if (normalCdf(mid) < p) low = mid
    else high = mid
  }
  return (low + high) / 2
}

/** Abramowitz and Stegun 26.2.17; its error is below 1e-7. */
function normalCdf (x: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(x))
  const poly = t * (0.319381530 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
  const tail = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI) * poly
  return x > 0 ? 1 - tail : tail
}
