/** Calls of both versions in one window, of which `badNew` and `badOld` were bad: failed or slow. */
export interface ContingencyTable {
  callsNew: number
  badNew: number
  callsOld: number
  badOld: number
}

/** Log of a term, relative to the largest one, below which it doesn't change a sum. */
const NEGLIGIBLE_LOG_WEIGHT = -40

/**
 * Adds to `sums` the log-likelihood ratio of each odds ratio against equal versions, conditioned as in Fisher's exact test:
 * given the total of bad calls, the number of those of the new version is hypergeometric if the versions are equal,
 * whatever the rate of bad calls is. So a failing dependency of both versions adds no evidence.
 */
export function addLogLikelihoodRatios (table: ContingencyTable, oddsRatios: readonly number[], sums: Float64Array): void {
  const bad = table.badNew + table.badOld
  if (bad === 0 || table.callsNew === 0 || table.callsOld === 0) return
  const minBadNew = Math.max(0, bad - table.callsOld)
  const maxBadNew = Math.min(bad, table.callsNew)
  if (minBadNew === maxBadNew) return
  const weights = logWeights(table, bad, minBadNew, maxBadNew)
  const nullLogSum = logSumExp(weights, 0)
  for (let i = 0; i < oddsRatios.length; i++) {
    const logOdds = Math.log(oddsRatios[i]!)
    sums[i] = sums[i]! + logOdds * (table.badNew - minBadNew) + nullLogSum - logSumExp(weights, logOdds)
  }
}

/** Log of the hypergeometric weight of each possible number of bad calls of the new version, up to a constant. */
function logWeights (table: ContingencyTable, bad: number, minBadNew: number, maxBadNew: number): Float64Array {
  const weights = new Float64Array(maxBadNew - minBadNew + 1)
  for (let badNew = minBadNew; badNew < maxBadNew; badNew++) {
    const numerator = (bad - badNew) * (table.callsNew - badNew)
    const denominator = (badNew + 1) * (table.callsOld - bad + badNew + 1)
    weights[badNew - minBadNew + 1] = weights[badNew - minBadNew]! + Math.log(numerator / denominator)
  }
  return weights
}

/** Log of the sum of exp(weights[i] + i * slope), without overflow. */
function logSumExp (weights: Float64Array, slope: number): number {
  let max = -Infinity
  for (let i = 0; i < weights.length; i++) {
    const term = weights[i]! + i * slope
    if (term > max) max = term
  }
  let sum = 0
  for (let i = 0; i < weights.length; i++) {
    const term = weights[i]! + i * slope - max
    if (term > NEGLIGIBLE_LOG_WEIGHT) sum += Math.exp(term)
  }
  return max + Math.log(sum)
}
