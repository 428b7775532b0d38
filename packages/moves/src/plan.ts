import {
  ALARM_ROOM_PART, MAX_ALARM_ROOM_MS, MAX_FIRST_SHARE, MAX_STAGE_MS, MIN_ALARM_ROOM_MS, MIN_STAGE_MS, SPREAD_MS,
  STAGE_SHARES, STAGE_WEIGHTS
} from './constants.js'

/** Share of the first stage: raised for a quiet service until it yields the calls needed in its planned time. */
export function firstShare (callsPerSecond: number, callsNeeded: number, leftMs: number): number {
  const seconds = stageMs(STAGE_SHARES[0]!, leftMs) / 1000
  const wanted = callsNeeded / Math.max(callsPerSecond * seconds, 1e-9)
  return Math.min(MAX_FIRST_SHARE, Math.max(STAGE_SHARES[0]!, wanted))
}

/** The share after the given one. */
export function nextShare (share: number, first: number): number {
  if (share < first) return first
  return STAGE_SHARES.find((candidate) => candidate > share + 1e-9) ?? 1
}

/** Time to stay at a share, worked back from the time left until the deadline. */
export function stageMs (share: number, leftMs: number): number {
  const index = stageIndex(share)
  const weights = STAGE_WEIGHTS.slice(index)
  const sum = weights.reduce((total, weight) => total + weight, 0)
  const part = sum === 0 ? 0 : weights[0]! / sum
  const room = Math.min(MAX_ALARM_ROOM_MS, Math.max(MIN_ALARM_ROOM_MS, leftMs * ALARM_ROOM_PART))
  const planned = (leftMs - SPREAD_MS - room) * part
  return Math.min(MAX_STAGE_MS, Math.max(MIN_STAGE_MS, planned))
}

/** Least time from a share to all traffic everywhere. */
export function shortestMs (share: number): number {
  const stages = share === 0 ? STAGE_SHARES.length - 1 : STAGE_WEIGHTS.length - stageIndex(share)
  return stages * MIN_STAGE_MS + SPREAD_MS
}

/** The last regular stage at or below a share; a raised or bounded share counts as the stage below it. */
function stageIndex (share: number): number {
  let index = 0
  for (let i = 0; i < STAGE_SHARES.length; i++) if (STAGE_SHARES[i]! <= share + 1e-9) index = i
  return index
}
