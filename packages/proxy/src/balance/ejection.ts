import type { TargetState } from './targetState.js'

const CONSECUTIVE_FAILURES = 5
const FAILURE_RATE = 0.5
/** Least distance to the median of the peers. */
const MIN_EXCESS_RATE = 0.2
/** Attempts before a failure rate means anything. */
const MIN_ATTEMPTS = 10
const BASE_EJECTION_MS = 2_000
const MAX_EJECTION_MS = 30_000
/** At most this share of a service's targets is ejected, so that its own symptoms never empty it. */
const MAX_EJECTED_SHARE = 0.5

/** Ejects the targets that fail while their peers don't; returns the ones ejected now. */
export function ejectOutliers (targets: readonly TargetState[], now: number): TargetState[] {
  let room = Math.floor(targets.length * MAX_EJECTED_SHARE)
  for (const target of targets) if (target.ejected(now)) room--
  const ejected: TargetState[] = []
  const usual = medianFailureRate(targets)
  const suspects = targets.filter((target) => !target.ejected(now) && isFailing(target) &&
    target.failureRate >= usual + MIN_EXCESS_RATE)
  suspects.sort((a, b) => b.failureRate - a.failureRate)
  for (const target of suspects.slice(0, Math.max(0, room))) {
    eject(target, now)
    ejected.push(target)
  }
  return ejected
}

/** When all fail alike the cause is elsewhere, and ejecting some would only overload the rest. */
function medianFailureRate (targets: readonly TargetState[]): number {
  const rates = targets.map((target) => target.failureRate).sort((a, b) => a - b)
  return rates[(rates.length - 1) >> 1] ?? 0
}

function isFailing (target: TargetState): boolean {
  if (target.consecutiveFailures >= CONSECUTIVE_FAILURES) return true
  return target.attempts >= MIN_ATTEMPTS && target.failureRate > FAILURE_RATE
}

/** Each ejection of a target lasts twice as long as the one before; its record starts anew. */
function eject (target: TargetState, now: number): void {
  target.ejectedUntil = now + Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** target.ejections)
  target.ejections++
  target.consecutiveFailures = 0
  target.failureRate = 0
  target.attempts = 0
}
