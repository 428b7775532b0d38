import type { TargetResult } from './targetResult.js'

/** Weight of a new result in the moving average of failures. */
const FAILURE_EWMA_WEIGHT = 0.08
/** Time for which a target gets no requests after it crashed or a connection to it could not be opened. */
const UNREACHABLE_BACKOFF_MS = 300
/** Time without any response after which a target that has missed an announcement counts as unresponsive. */
const UNRESPONSIVE_MS = 800

/** What the results of its requests tell about the health of the target beside this daemon. */
export class TargetHealth {
  /** Moving average of the share of requests that the target failed, 0 to 1. */
  #failureRate = 0
  #unreachableAt = -Infinity
  /** When the first request since the target's last response was started; undefined when none was started since. */
  #unansweredSince: number | undefined

  get failureRate (): number {
    return this.#failureRate
  }

  /** Forgets the failures of a target that has been replaced. */
  reset (): void {
    this.#failureRate = 0
    this.#unreachableAt = -Infinity
  }

  recordStart (now: number): void {
    this.#unansweredSince ??= now
  }

  /** `isIdle`: no other request is queued or running. */
  recordResult (result: TargetResult, isIdle: boolean, now: number): void {
    if (result.kind !== 'failed' || isIdle) this.#unansweredSince = undefined
    if (result.kind === 'failed' && result.reason === 'cancelled') return
    this.#failureRate += FAILURE_EWMA_WEIGHT * ((isSuccess(result) ? 0 : 1) - this.#failureRate)
    if (result.kind === 'notRun' && result.reason === 'unreachable') this.#unreachableAt = now
  }

  /** Records that the target has crashed. */
  recordCrash (now: number): void {
    this.#unreachableAt = now
    this.#unansweredSince = undefined
  }

  /**
   * Whether requests can't be expected to reach the target: a connection failed just now, or it neither responds nor
   * announces itself, as it may be down although its connections are still open.
   */
  isUnreachable (isAnnouncementOverdue: boolean, now: number): boolean {
    const isUnresponsive = this.#unansweredSince !== undefined && now - this.#unansweredSince > UNRESPONSIVE_MS && isAnnouncementOverdue
    return now - this.#unreachableAt < UNREACHABLE_BACKOFF_MS || isUnresponsive
  }
}

/** Whether the target responded, other than with a failure of its own. */
export function isSuccess (result: TargetResult): boolean {
  return result.kind === 'response' && result.status < 500
}
