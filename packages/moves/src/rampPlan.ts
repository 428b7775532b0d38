import {
  MAX_FIRST_SHARE, MAX_RETEST_RESERVE_MS, MAX_STAGE_MS, MIN_RETEST_RESERVE_MS, MIN_STAGE_MS, PROPAGATION_MS,
  RETEST_RESERVE_FRACTION, STAGE_SHARES, STAGE_TIME_WEIGHTS
} from './constants.js'

/** Share of the first stage: raised up to MAX_FIRST_SHARE if the service has too few calls to yield those needed in time. */
export function firstShare (callsPerSecond: number, callsNeeded: number, remainingMs: number): number {
  const seconds = plannedStageMs(STAGE_SHARES[0]!, remainingMs) / 1000
  const neededShare = callsNeeded / Math.max(callsPerSecond * seconds, 1e-9)
  return Math.min(MAX_FIRST_SHARE, Math.max(STAGE_SHARES[0]!, neededShare))
}

/** The regular share after the given one, or `first` if that is still ahead. */
export function nextShare (share: number, first: number): number {
  if (share < first) return first
  return STAGE_SHARES.find((candidate) => candidate > share + 1e-9) ?? 1
}

/**
 * Time to stay at a share: its part by weight of the time until the deadline, less what the last stage needs to reach all
 * daemons and a reserve for retests.
 */
export function plannedStageMs (share: number, remainingMs: number): number {
  const index = stageIndex(share)
  const weights = STAGE_TIME_WEIGHTS.slice(index)
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0)
  const fraction = totalWeight === 0 ? 0 : weights[0]! / totalWeight
  const reserveMs = Math.min(MAX_RETEST_RESERVE_MS, Math.max(MIN_RETEST_RESERVE_MS, remainingMs * RETEST_RESERVE_FRACTION))
  const plannedMs = (remainingMs - PROPAGATION_MS - reserveMs) * fraction
  return Math.min(MAX_STAGE_MS, Math.max(MIN_STAGE_MS, plannedMs))
}

/** Least time from a share until all daemons send all traffic to the new version. */
export function minMsToFullTraffic (share: number): number {
  const stages = share === 0 ? STAGE_SHARES.length - 1 : STAGE_TIME_WEIGHTS.length - stageIndex(share)
  return stages * MIN_STAGE_MS + PROPAGATION_MS
}

/** Index of the last regular stage at or below a share, which may lie between two of them. */
function stageIndex (share: number): number {
  let index = 0
  for (let i = 0; i < STAGE_SHARES.length; i++) if (STAGE_SHARES[i]! <= share + 1e-9) index = i
  return index
}
