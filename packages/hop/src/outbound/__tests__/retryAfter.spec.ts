import test from 'ava'
import { SeededRandom } from '@lentilwheel/core'
import { CallerRetryDetector, retryAfterMs } from '../retryAfter.js'

const waits = (request: Parameters<typeof retryAfterMs>[0]): number[] => {
  const random = new SeededRandom(1)
  return Array.from({ length: 200 }, () => retryAfterMs(request, random))
}

test('guards against a first rejection using up the target latency, and against callers retrying all at once', (t) => {
  const all = waits({ targetLatencyMs: 600, remainingMs: 2_500, isCallerRetry: false, limitedMs: 0 })
  t.true(Math.max(...all) <= 200)
  t.true(Math.max(...all) - Math.min(...all) > 80)
})

test('guards against callers being told to wait longer than they are willing to', (t) => {
  for (const remainingMs of [300, 2_500]) t.true(Math.max(...waits({ targetLatencyMs: 600, remainingMs, isCallerRetry: true, limitedMs: 0 })) <= remainingMs / 3)
  t.true(Math.max(...waits({ targetLatencyMs: 600, remainingMs: Infinity, isCallerRetry: true, limitedMs: 0 })) <= 200)
})

test('guards against retries of callers being taken for first attempts, and first attempts for retries', (t) => {
  const detector = new CallerRetryDetector()
  t.deepEqual([2_000, 2_000, 1_600, 1_990, 1_200].map((ms) => detector.isRetry('r', ms)), [false, false, true, false, true])
  t.false(detector.isRetry('other', 900))
  t.false(detector.isRetry('r', Infinity))
})

test('guards against first attempts being taken for retries for ever after the callers of a route shorten their deadline', (t) => {
  const detector = new CallerRetryDetector()
  detector.isRetry('r', 3_000)
  const last = Array.from({ length: 10_000 }, () => detector.isRetry('r', 2_000)).at(-1)
  t.false(last)
})
