import type { Random } from '@lentilwheel/core'

/** Poisson and binomial numbers with a mean above this are drawn from the normal approximation. */
const MAX_EXACT_MEAN = 40

/** Draws a standard normal number by the Box-Muller transform. */
export function normal (random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  return radius * Math.cos(2 * Math.PI * random.next())
}

/** Draws a Poisson number, by inversion for small means. */
export function poisson (mean: number, random: Random): number {
  if (mean <= 0) return 0
  if (mean > MAX_EXACT_MEAN) return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(random)))
  let term = Math.exp(-mean)
  let remaining = random.next() - term
  let k = 0
  while (remaining > 0 && term > 1e-300) {
    k++
    term *= mean / k
    remaining -= term
  }
  return k
}

/** Draws a binomial number, by inversion for small means. */
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
  let remaining = random.next() - term
  let k = 0
  while (remaining > 0 && k < n) {
    term *= (n - k) / (k + 1) * p / (1 - p)
    k++
    remaining -= term
  }
  return k
}

const TABLE_SIZE = 2_048

/** Standard normal quantiles at evenly spaced probabilities between two bounds, for fast draws from this range. */
export function normalTable (from: number, to: number): Float64Array {
  return Float64Array.from({ length: TABLE_SIZE }, (_, i) => normalQuantile(from + (to - from) * (i + 0.5) / TABLE_SIZE))
}

/** Quantile of the standard normal distribution by bisection; slow, so used for tables only. */
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

/** Standard normal distribution function by Abramowitz and Stegun, formula 26.2.17; its error is below 1e-7. */
function normalCdf (x: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(x))
  const poly = t * (0.319381530 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
  const tail = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI) * poly
  return x > 0 ? 1 - tail : tail
}
