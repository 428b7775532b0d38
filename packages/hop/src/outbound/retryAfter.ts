import type { Random } from '@lentilwheel/core'

/** A request that is rejected without having run. */
export interface RejectedRequest {
  targetLatencyMs: number
  /** Milliseconds until the caller's deadline; Infinity when it sets none. */
  remainingMs: number
  /** Whether the caller has been rejected before. */
  isCallerRetry: boolean
  /** Milliseconds for which no target of the service takes requests, by the limits that they state. */
  limitedMs: number
}

interface Range {
  min: number
  max: number
}

/** Wait after a first rejection, as a fraction of the target latency, so that the response to the retry can still come within it. */
const FIRST_RETRY_AFTER: Range = { min: 1 / 6, max: 1 / 3 }
/** Wait after a later rejection, as a fraction of the time until the deadline; callers wait no longer than a third of it. */
const LATER_RETRY_AFTER: Range = { min: 0.15, max: 0.3 }
const MIN_RETRY_AFTER_MS = 20

/** Milliseconds after which a rejected caller should retry, with jitter so that callers don't retry all at once. */
export function retryAfterMs ({ targetLatencyMs, remainingMs, isCallerRetry, limitedMs }: RejectedRequest, random: Random): number {
  const [range, baseMs] = isCallerRetry && Number.isFinite(remainingMs) ? [LATER_RETRY_AFTER, remainingMs] : [FIRST_RETRY_AFTER, targetLatencyMs]
  const jitter = range.min + (range.max - range.min) * random.next()
  const usualMs = Math.max(MIN_RETRY_AFTER_MS, baseMs * jitter)
  if (limitedMs <= usualMs) return usualMs
  return Math.max(usualMs, Math.min(limitedMs + usualMs * jitter, remainingMs * LATER_RETRY_AFTER.max))
}

/** A request with at least this fraction of the longest deadline of its route is taken for a first attempt. */
const FIRST_ATTEMPT_SHARE = 0.97
/** Factor on the longest deadline of a route at each request, so that it follows callers that use shorter ones. */
const MAX_DEADLINE_DECAY = 0.9999

/** Tells retries of callers from first attempts: a retry has less time left than first attempts on the same route. */
export class CallerRetryDetector {
  readonly #maxDeadlineMs = new Map<string, number>()

  /** Records the deadline of a request; true if its caller seems to retry. */
  isRetry (route: string, deadlineMs: number): boolean {
    if (!Number.isFinite(deadlineMs)) return false
    const maxMs = Math.max(deadlineMs, (this.#maxDeadlineMs.get(route) ?? 0) * MAX_DEADLINE_DECAY)
    this.#maxDeadlineMs.set(route, maxMs)
    return deadlineMs < FIRST_ATTEMPT_SHARE * maxMs
  }

  /** Drops the state of routes that no longer exist. */
  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#maxDeadlineMs.keys()) if (!routes.has(name)) this.#maxDeadlineMs.delete(name)
  }
}
