import test from 'ava'
import { ATTEMPT_OUTCOMES, mayRetry, type RetryQuestion } from '../outcome.js'

const QUESTION: RetryQuestion = {
  outcome: 'notSent',
  status: 0,
  idempotent: false,
  bodyReplayable: true,
  attempts: 1,
  maxAttempts: 3,
  upstreamAttempts: 0,
  remainingMs: 100
}

/** Guards against a second run of a non-idempotent request, and against needless failures of the others. */
test('which outcomes are retried', (t) => {
  const retried = (idempotent: boolean, status: number): string[] =>
    ATTEMPT_OUTCOMES.filter((outcome) => mayRetry({ ...QUESTION, outcome, idempotent, status }))
  t.deepEqual(retried(false, 0), ['notSent', 'refusedUnrun'])
  t.deepEqual(retried(false, 503), ['notSent', 'refusedUnrun'])
  t.deepEqual(retried(true, 0), ['notSent', 'refusedUnrun', 'unknown'])
  t.deepEqual(retried(true, 503), ['notSent', 'refusedUnrun', 'answered', 'unknown'])
})

/** Guards against retries that can't help or that multiply. */
test('what forbids every retry', (t) => {
  const changes: Partial<RetryQuestion>[] = [
    { attempts: 3 }, { upstreamAttempts: 1 }, { remainingMs: 0 }, { bodyReplayable: false }
  ]
  for (const change of changes) t.false(mayRetry({ ...QUESTION, idempotent: true, ...change }), JSON.stringify(change))
})
