/** Calls of both versions in one window, of which `badNew` and `badOld` were bad. */
export interface Table {
  callsNew: number
  badNew: number
  callsOld: number
  badOld: number
}

/** Terms lighter than this against the heaviest don't change a sum. */
const NEGLIGIBLE_LOG = -40

/**
 * Adds to `into` the log-likelihood ratio of each odds ratio against equal versions. Given the number of bad calls,
 * the new version's part of them is hypergeometric when the versions are equal, whatever the rate of bad calls is,
 * so a dependency that hurts both versions adds no evidence.
 */
export function addLogRatios (table: Table, odds: readonly number[], into: Float64Array): void {
  const bad = table.badNew + table.badOld
  if (bad === 0 || table.callsNew === 0 || table.callsOld === 0) return
  const low = Math.max(0, bad - table.callsOld)
  const high = Math.min(bad, table.callsNew)
  if (low === high) return
  const weights = logWeights(table, bad, low, high)
  const base = logSum(weights, 0)
  for (let i = 0; i < odds.length; i++) {
    const logOdds = Math.log(odds[i]!)
    into[i] = into[i]! + logOdds * (table.badNew - low) + base - logSum(weights, logOdds)
  }
}

/** Log of the hypergeometric weight of each possible number of bad calls of the new version, up to a constant. */
function logWeights (table: Table, bad: number, low: number, high: number): Float64Array {
  const weights = new Float64Array(high - low + 1)
  for (let x = low; x < high; x++) {
    const up = (bad - x) * (table.callsNew - x)
    const down = (x + 1) * (table.callsOld - bad + x + 1)
    weights[x - low + 1] = weights[x - low]! + Math.log(up / down)
  }
  return weights
}

/** Log of the sum of exp(weight + i * slope). */
function logSum (weights: Float64Array, slope: number): number {
  let max = -Infinity
  for (let i = 0; i < weights.length; i++) {
    const term = weights[i]! + i * slope
    if (term > max) max = term
  }
  let sum = 0
  for (let i = 0; i < weights.length; i++) {
    const term = weights[i]! + i * slope - max
    if (term > NEGLIGIBLE_LOG) sum += Math.exp(term)
  }
  return max + Math.log(sum)
}
