/**
 * How one attempt ended. `notSent`: no byte was written. `refusedUnrun`: the target stated that it didn't run the request.
 * `answered`: the target gave any other response. `unknown`: it failed after it may have been sent.
 */
export const ATTEMPT_OUTCOMES = ['notSent', 'refusedUnrun', 'answered', 'unknown'] as const
export type AttemptOutcome = typeof ATTEMPT_OUTCOMES[number]

/** Whether a target may have run the request in this attempt. */
export function mayHaveRun (outcome: AttemptOutcome): boolean {
  return outcome === 'answered' || outcome === 'unknown'
}

/** What decides on a retry after an attempt. */
export interface RetryInput {
  outcome: AttemptOutcome
  /** Status of the response; 0 when there was none. */
  status: number
  isIdempotent: boolean
  /** False once a part of a streamed body has been read, as it can't be sent again. */
  isBodyReplayable: boolean
  /** Attempts made by this proxy, the one that just ended included. */
  attempts: number
  maxAttempts: number
  /** Attempts made by upstream hops; above 0 this proxy doesn't retry, so that retries don't multiply. */
  upstreamAttempts: number
  remainingMs: number
}

/** Time left below which a retry would only add load. */
const MIN_RETRY_MS = 1
const OVERLOADED_STATUS = 503

/** Whether another attempt is safe and useful. The retry budget is checked separately, after this. */
export function mayRetry (input: RetryInput): boolean {
  if (input.upstreamAttempts > 0) return false
  if (input.attempts >= input.maxAttempts) return false
  if (input.remainingMs < MIN_RETRY_MS) return false
  if (!input.isBodyReplayable) return false
  if (input.outcome === 'notSent' || input.outcome === 'refusedUnrun') return true
  if (!input.isIdempotent) return false
  return input.outcome === 'unknown' || input.status === OVERLOADED_STATUS
}
