import type { TargetState } from './targetState.js'

/** Failures in a row from which a target counts as failing. */
const MAX_CONSECUTIVE_FAILURES = 5
/** Failure rate, 0 to 1, above which a target counts as failing. */
const MAX_FAILURE_RATE = 0.5
/** Least distance of an outlier's failure rate to the median of all targets. */
const MIN_RATE_ABOVE_MEDIAN = 0.2
/** Attempts below which a failure rate says too little. */
const MIN_ATTEMPTS = 10
const BASE_EJECTION_MS = 2_000
const MAX_EJECTION_MS = 30_000
/** Largest share of the targets that may be ejected, so that a failing service keeps targets to call. */
const MAX_EJECTED_SHARE = 0.5

/**
 * Outlier ejection: takes targets that fail while their peers don't out of load balancing for a while. Returns the ones
 * ejected now.
 */
export function ejectOutliers (targets: readonly TargetState[], now: number): TargetState[] {
  let maxEjections = Math.floor(targets.length * MAX_EJECTED_SHARE)
  for (const target of targets) if (target.isEjected(now)) maxEjections--
  const ejected: TargetState[] = []
  const medianRate = medianFailureRate(targets)
  const outliers = targets.filter((target) => !target.isEjected(now) && isFailing(target) &&
    target.failureRate >= medianRate + MIN_RATE_ABOVE_MEDIAN)
  outliers.sort((a, b) => b.failureRate - a.failureRate)
  for (const target of outliers.slice(0, Math.max(0, maxEjections))) {
    eject(target, now)
    ejected.push(target)
  }
  return ejected
}

/** The rate to compare with: where all targets fail alike the cause is elsewhere, and ejecting some overloads the rest. */
function medianFailureRate (targets: readonly TargetState[]): number {
  const rates = targets.map((target) => target.failureRate).sort((a, b) => a - b)
  return rates[(rates.length - 1) >> 1] ?? 0
}

function isFailing (target: TargetState): boolean {
  if (target.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) return true
  return target.attemptCount >= MIN_ATTEMPTS && target.failureRate > MAX_FAILURE_RATE
}

/** Each ejection of a target lasts twice as long as the one before; its failure statistics are reset. */
function eject (target: TargetState, now: number): void {
  target.ejectedUntil = now + Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** target.ejectionCount)
  target.ejectionCount++
  target.consecutiveFailures = 0
  target.failureRate = 0
  target.attemptCount = 0
}
