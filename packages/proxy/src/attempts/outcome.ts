/** How one attempt ended; see docs/design/calls.md. */
export const ATTEMPT_OUTCOMES = ['notSent', 'refusedUnrun', 'answered', 'unknown'] as const
export type AttemptOutcome = typeof ATTEMPT_OUTCOMES[number]

/** Whether a target may have run the request in this attempt. */
export function mayHaveRun (outcome: AttemptOutcome): boolean {
  return outcome === 'answered' || outcome === 'unknown'
}

export interface RetryQuestion {
  outcome: AttemptOutcome
  /** Status of the answer; 0 when there was none. */
  status: number
  idempotent: boolean
  /** False once a part of a streamed body is gone. */
  bodyReplayable: boolean
  /** Attempts made by this hop, the one that just ended included. */
  attempts: number
  maxAttempts: number
  /** Attempts made by upstream hops; above 0 this hop doesn't retry, so retries don't multiply. */
  upstreamAttempts: number
  remainingMs: number
}

/** Retries with less time left than this would only add load. */
const MIN_RETRY_MS = 1
const OVERLOADED_STATUS = 503

/** Whether another attempt is allowed; the retry budget is asked after this. */
export function mayRetry (question: RetryQuestion): boolean {
  if (question.upstreamAttempts > 0) return false
  if (question.attempts >= question.maxAttempts) return false
  if (question.remainingMs < MIN_RETRY_MS) return false
  if (!question.bodyReplayable) return false
  if (question.outcome === 'notSent' || question.outcome === 'refusedUnrun') return true
  if (!question.idempotent) return false
  return question.outcome === 'unknown' || question.status === OVERLOADED_STATUS
}
