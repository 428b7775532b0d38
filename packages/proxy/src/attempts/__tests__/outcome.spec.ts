import test from 'ava'
import { ATTEMPT_OUTCOMES, mayRetry, type RetryInput } from '../outcome.js'

const RETRYABLE: RetryInput = {
  outcome: 'notSent',
  status: 0,
  isIdempotent: false,
  isBodyReplayable: true,
  attempts: 1,
  maxAttempts: 3,
  upstreamAttempts: 0,
  remainingMs: 100
}

/** Guards against a second run of a non-idempotent request, and against needless failures of idempotent ones. */
test('the outcomes that are retried', (t) => {
  const retried = (idempotent: boolean, status: number): string[] =>
    ATTEMPT_OUTCOMES.filter((outcome) => mayRetry({ ...RETRYABLE, outcome, isIdempotent: idempotent, status }))
  t.deepEqual(retried(false, 0), ['notSent', 'refusedUnrun'])
  t.deepEqual(retried(false, 503), ['notSent', 'refusedUnrun'])
  t.deepEqual(retried(true, 0), ['notSent', 'refusedUnrun', 'unknown'])
  t.deepEqual(retried(true, 503), ['notSent', 'refusedUnrun', 'answered', 'unknown'])
})

/** Guards against retries that can't help, and against retries that multiply from hop to hop. */
test('the conditions that rule out every retry', (t) => {
  const changes: Partial<RetryInput>[] = [
    { attempts: 3 }, { upstreamAttempts: 1 }, { remainingMs: 0 }, { isBodyReplayable: false }
  ]
  for (const change of changes) t.false(mayRetry({ ...RETRYABLE, isIdempotent: true, ...change }), JSON.stringify(change))
})
