import type { WhenUnsure } from '@lentilwheel/config'
import { FINISH_GRACE_MS, MIN_STAGE_MS, STAGE_SHARES } from './constants.js'
import { minMsToFullTraffic, nextShare } from './rampPlan.js'

/** Calls that the new version must have answered, over all stages, before it leaves a share; in the order of STAGE_SHARES. */
const CALLS_NEEDED: Readonly<Record<WhenUnsure, readonly number[]>> = {
  keepOld: [15, 30, 70, 130],
  finish: [8, 15, 35, 65]
}
/** Least factor by which a share that is limited by ready targets is raised. */
const MIN_GROWTH_FACTOR = 1.2

/** All that decides whether a move goes on to its next share, waits, or ends. */
export interface RampState {
  /** Current share; 0 before the first stage. */
  share: number
  /** Share of the first stage; 0 once it has been published. */
  firstShare: number
  /** Time at this share so far. */
  elapsedMs: number
  /** Time planned for this share. */
  plannedMs: number
  /** Time until the deadline; negative after it. */
  remainingMs: number
  /** What to do at the deadline if the evidence doesn't suffice: keep the old version, or finish the move. */
  whenUnsure: WhenUnsure
  /** Calls of the new version so far. */
  newCalls: number
  /** Whether there is evidence against the new version, short of a rollback. */
  isSuspicious: boolean
  /** Largest share that the new version's ready targets can take. */
  maxShare: number
  /** Slots of the new version's ready targets. */
  readySlots: number
  /** Most slots that the old version had ready. */
  neededSlots: number
  /** The old version. */
  from: string
  /** The new version. */
  to: string
}

/** `wait` has a reason if more than time is missing; `late` ends the move with all traffic on the old version. */
export type RampStep =
  | { kind: 'advance', share: number }
  | { kind: 'wait', reason?: string }
  | { kind: 'late', reason: string }

/**
 * Decides the next step of a ramp below 100%. The ramp advances after the planned time, or earlier if the deadline is near,
 * unless ready targets or evidence are missing or the new version is suspicious.
 */
export function rampStep (state: RampState): RampStep {
  const blockedBy = blockReason(state)
  const minNeededMs = neededMs(state)
  const isDeadlineNear = state.remainingMs <= minNeededMs + TICK_MS
  const isMinStageOver = state.elapsedMs >= MIN_STAGE_MS
  if (blockedBy === undefined && (state.elapsedMs >= state.plannedMs || (isMinStageOver && isDeadlineNear))) {
    return { kind: 'advance', share: reachableShare(state) }
  }
  if (state.whenUnsure === 'keepOld') return keepOldStep(state, blockedBy, minNeededMs)
  return finishStep(state, blockedBy, isMinStageOver && isDeadlineNear)
}

/** Period of the coordinator's ticks. */
const TICK_MS = 1_000

/** Calls that the new version must have answered before it leaves the share. */
export function callsNeeded (share: number, whenUnsure: WhenUnsure): number {
  const index = STAGE_SHARES.findLastIndex((stage) => stage <= share + 1e-9)
  return index < 0 ? 0 : CALLS_NEEDED[whenUnsure][index] ?? 0
}

/** The next share, as far as the ready targets allow. */
function reachableShare (state: RampState): number {
  return Math.min(nextShare(state.share, state.firstShare), state.maxShare)
}

/** Least time from now to all traffic on the new version. */
function neededMs (state: RampState): number {
  return minMsToFullTraffic(state.share) - Math.min(state.elapsedMs, MIN_STAGE_MS)
}

/** With `keepOld`, the move ends late as soon as the shortest ramp can't meet the deadline any more. */
function keepOldStep (state: RampState, blockedBy: string | undefined, minNeededMs: number): RampStep {
  if (state.remainingMs >= minNeededMs) return { kind: 'wait', ...(blockedBy === undefined ? {} : { reason: blockedBy }) }
  const cause = blockedBy ?? 'the time left is shorter than the stages left'
  return { kind: 'late', reason: `${cause}; the deadline came first, so all traffic stays on ${state.from}` }
}

/** With `finish`, missing evidence doesn't stop the ramp near the deadline, but a suspicion and missing targets do. */
function finishStep (state: RampState, blockedBy: string | undefined, isDeadlineNear: boolean): RampStep {
  const stopReason = capacityReason(state) ?? suspicionReason(state)
  if (isDeadlineNear && stopReason === undefined) return { kind: 'advance', share: reachableShare(state) }
  if (stopReason !== undefined && state.remainingMs < -FINISH_GRACE_MS) {
    return { kind: 'late', reason: `${stopReason}; the deadline came first, so all traffic stays on ${state.from}` }
  }
  return { kind: 'wait', ...(blockedBy === undefined ? {} : { reason: blockedBy }) }
}

function blockReason (state: RampState): string | undefined {
  return capacityReason(state) ?? suspicionReason(state) ?? evidenceReason(state)
}

function capacityReason (state: RampState): string | undefined {
  const { maxShare, share, readySlots, neededSlots, to, from } = state
  if (readySlots === 0) return `no target of ${to} is ready`
  const reachable = reachableShare(state)
  if (maxShare >= 1 || reachable >= nextShare(share, state.firstShare) || reachable >= share * MIN_GROWTH_FACTOR) return undefined
  return `${to} has ${readySlots} slots ready and ${from} had ${neededSlots}`
}

function suspicionReason (state: RampState): string | undefined {
  return state.isSuspicious ? `${state.to} shows signs of doing worse than ${state.from}, short of proof` : undefined
}

function evidenceReason (state: RampState): string | undefined {
  const needed = callsNeeded(state.share, state.whenUnsure)
  if (state.newCalls >= needed) return undefined
  return `${state.to} has answered ${state.newCalls} of the ${needed} calls needed as evidence`
}
