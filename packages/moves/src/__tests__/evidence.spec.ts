import test from 'ava'
import fc from 'fast-check'
import { SeededRandom } from '@lentilwheel/core'
import { Comparison } from '../comparison.js'
import { addLogRatios } from '../hypergeometric.js'
import { bucketUpperMs, latencyBucket } from '../latency.js'

function choose (n: number, k: number): number {
  let result = 1
  for (let i = 0; i < k; i++) result = result * (n - i) / (i + 1)
  return result
}

/** Guards against a biased statistic: under equality the mean likelihood ratio is exactly 1. */
test('the likelihood ratio has mean 1 over the hypergeometric distribution', (t) => {
  const size = fc.integer({ min: 1, max: 25 })
  fc.assert(fc.property(size, size, fc.integer({ min: 1, max: 20 }), fc.constantFrom(1.5, 6, 1000), (n, m, bad, odds) => {
    fc.pre(bad <= n + m)
    let mean = 0
    for (let x = Math.max(0, bad - m); x <= Math.min(bad, n); x++) {
      const logs = new Float64Array(1)
      addLogRatios({ callsNew: n, badNew: x, callsOld: m, badOld: bad - x }, [odds], logs)
      mean += choose(n, x) * choose(m, bad - x) / choose(n + m, bad) * Math.exp(logs[0]!)
    }
    t.true(Math.abs(mean - 1) < 1e-9)
  }), { seed: 11, numRuns: 200 })
})

/** Guards against false alarms from bursts that hurt both versions: the chance is at most 1/20 at any time. */
test('equal versions rarely exceed a bound, however often they are looked at', (t) => {
  const random = new SeededRandom(5)
  let alarms = 0
  for (let run = 0; run < 200; run++) {
    const comparison = new Comparison(['a', 'b'], [2, 10])
    let most = 0
    for (let second = 0; second < 60; second++) {
      const rate = second % 20 < 5 ? 0.4 : 0.01
      const draw = (n: number): number => Array.from({ length: n }).filter(() => random.next() < rate).length
      const table = () => [{ callsNew: 5, badNew: draw(5), callsOld: 20, badOld: draw(20) }]
      comparison.update(new Map([['a', table()], ['b', table()]]))
      most = Math.max(most, comparison.value)
    }
    if (most >= 20) alarms++
  }
  t.true(alarms <= 10, `${alarms} of 200`)
})

test('a latency falls in the bucket whose bounds hold it', (t) => {
  fc.assert(fc.property(fc.double({ min: 0.51, max: 60_000, noNaN: true }), (ms) => {
    const bucket = latencyBucket(ms)
    t.true(ms <= bucketUpperMs(bucket) * 1.0001 && ms >= bucketUpperMs(bucket - 1) * 0.9999)
  }), { seed: 12 })
  t.is(latencyBucket(Number.NaN), 0)
})
