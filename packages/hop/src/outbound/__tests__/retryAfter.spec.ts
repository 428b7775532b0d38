import test from 'ava'
import { SeededRandom } from '@lentilwheel/core'
import { Patience, retryAfterMs } from '../retryAfter.js'

const waits = (refused: Parameters<typeof retryAfterMs>[0]): number[] => {
  const random = new SeededRandom(1)
  return Array.from({ length: 200 }, () => retryAfterMs(refused, random))
}

test('guards against a first refusal using up the target latency, and against callers coming back together', (t) => {
  const all = waits({ targetLatencyMs: 600, leftMs: 2_500, isAgain: false })
  t.true(Math.max(...all) <= 200)
  t.true(Math.max(...all) - Math.min(...all) > 80)
})

test('guards against callers being told to wait longer than they do', (t) => {
  for (const leftMs of [300, 2_500]) t.true(Math.max(...waits({ targetLatencyMs: 600, leftMs, isAgain: true })) <= leftMs / 3)
  t.true(Math.max(...waits({ targetLatencyMs: 600, leftMs: Infinity, isAgain: true })) <= 200)
})

test('guards against callers who come back being taken for new ones, and new ones for those', (t) => {
  const patience = new Patience()
  t.deepEqual([2_000, 2_000, 1_600, 1_990, 1_200].map((ms) => patience.isAgain('r', ms)), [false, false, true, false, true])
  t.false(patience.isAgain('other', 900))
  t.false(patience.isAgain('r', Infinity))
})

test('guards against callers of a route that have become less patient being taken for those who come back for ever', (t) => {
  const patience = new Patience()
  patience.isAgain('r', 3_000)
  const last = Array.from({ length: 10_000 }, () => patience.isAgain('r', 2_000)).at(-1)
  t.false(last)
})
