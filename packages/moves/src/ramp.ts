import type { UnsureChoice } from '@lentilwheel/config'
import { MIN_STAGE_MS, STAGE_SHARES, UNSURE_GRACE_MS } from './constants.js'
import { nextShare, shortestMs } from './plan.js'

/** New-version calls, over all stages, needed to leave a share; in the order of STAGE_SHARES. */
const CALLS_NEEDED: Readonly<Record<UnsureChoice, readonly number[]>> = {
  keepOld: [15, 30, 70, 130],
  finish: [8, 15, 35, 65]
}
/** A bounded share is raised only in steps of at least this factor. */
const MIN_GROWTH = 1.2

/** All that decides whether a move goes on to its next share. */
export interface RampState {
  /** Share in force; 0 before the first stage. */
  share: number
  /** Share of the first stage. */
  first: number
  /** Time at this share, and time planned for it. */
  elapsedMs: number
  plannedMs: number
  /** Time until the deadline; negative after it. */
  leftMs: number
  unsure: UnsureChoice
  newCalls: number
  suspicious: boolean
  /** Largest share that the ready targets can take. */
  bound: number
  readySlots: number
  neededSlots: number
  from: string
  to: string
}

export type RampStep =
  | { kind: 'advance', share: number }
  | { kind: 'wait', reason?: string }
  | { kind: 'late', reason: string }

/** Decides the next step of a ramp below 100%. */
export function rampStep (state: RampState): RampStep {
  const blocked = blockReason(state)
  const necessary = timeStillNeeded(state)
  const pressed = state.leftMs <= necessary + TICK_MS
  const stayed = state.elapsedMs >= MIN_STAGE_MS
  if (blocked === undefined && (state.elapsedMs >= state.plannedMs || (stayed && pressed))) {
    return { kind: 'advance', share: wantedShare(state) }
  }
  if (state.unsure === 'keepOld') return keepOldStep(state, blocked, necessary)
  return finishStep(state, blocked, stayed && pressed)
}

const TICK_MS = 1_000

/** Calls of the new version that this share needs before it is left. */
export function callsNeeded (share: number, unsure: UnsureChoice): number {
  const index = STAGE_SHARES.findLastIndex((stage) => stage <= share + 1e-9)
  return index < 0 ? 0 : CALLS_NEEDED[unsure][index] ?? 0
}

function wantedShare (state: RampState): number {
  return Math.min(nextShare(state.share, state.first), state.bound)
}

function timeStillNeeded (state: RampState): number {
  return shortestMs(state.share) - Math.min(state.elapsedMs, MIN_STAGE_MS)
}

function keepOldStep (state: RampState, blocked: string | undefined, necessary: number): RampStep {
  if (state.leftMs >= necessary) return { kind: 'wait', ...(blocked === undefined ? {} : { reason: blocked }) }
  const why = blocked ?? 'the time left is shorter than the stages left'
  return { kind: 'late', reason: `${why}; the deadline came first, so all traffic stays on ${state.from}` }
}

/** With `finish`, thin evidence doesn't stop the ramp near the deadline, but signs of badness and missing targets do. */
function finishStep (state: RampState, blocked: string | undefined, pressed: boolean): RampStep {
  const stopped = capacityReason(state) ?? suspicionReason(state)
  if (pressed && stopped === undefined) return { kind: 'advance', share: wantedShare(state) }
  if (stopped !== undefined && state.leftMs < -UNSURE_GRACE_MS) {
    return { kind: 'late', reason: `${stopped}; the deadline came first, so all traffic stays on ${state.from}` }
  }
  return { kind: 'wait', ...(blocked === undefined ? {} : { reason: blocked }) }
}

function blockReason (state: RampState): string | undefined {
  return capacityReason(state) ?? suspicionReason(state) ?? evidenceReason(state)
}

function capacityReason (state: RampState): string | undefined {
  const { bound, share, readySlots, neededSlots, to, from } = state
  if (readySlots === 0) return `no target of ${to} is ready`
  const wanted = wantedShare(state)
  if (bound >= 1 || wanted >= nextShare(share, state.first) || wanted >= share * MIN_GROWTH) return undefined
  return `${to} has ${readySlots} slots ready and ${from} had ${neededSlots}`
}

function suspicionReason (state: RampState): string | undefined {
  return state.suspicious ? `${state.to} shows signs of doing worse than ${state.from}, short of proof` : undefined
}

function evidenceReason (state: RampState): string | undefined {
  const needed = callsNeeded(state.share, state.unsure)
  if (state.newCalls >= needed) return undefined
  return `${state.to} has answered ${state.newCalls} of the ${needed} calls needed as evidence`
}
