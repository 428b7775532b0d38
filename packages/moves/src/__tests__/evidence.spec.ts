import test from 'ava'
import fc from 'fast-check'
import { SeededRandom } from '@lentilwheel/core'
import { Comparison } from '../comparison.js'
import { CallTotals } from '../counters.js'
import { Baseline, EvidenceWindow, ZERO_RATES, type Stratum } from '../evidence.js'
import { HoldMonitor } from '../holdMonitor.js'
import { addLogLikelihoodRatios } from '../hypergeometric.js'
import { bucketUpperMs, latencyBucket } from '../latencyBuckets.js'

function choose (n: number, k: number): number {
  let result = 1
  for (let i = 0; i < k; i++) result = result * (n - i) / (i + 1)
  return result
}

/** Guards against a biased statistic: for equal versions the mean likelihood ratio is exactly 1. */
test('the likelihood ratio has mean 1 over the hypergeometric distribution', (t) => {
  const size = fc.integer({ min: 1, max: 25 })
  fc.assert(fc.property(size, size, fc.integer({ min: 1, max: 20 }), fc.constantFrom(1.5, 6, 1000), (n, m, bad, odds) => {
    fc.pre(bad <= n + m)
    let mean = 0
    for (let x = Math.max(0, bad - m); x <= Math.min(bad, n); x++) {
      const logs = new Float64Array(1)
      addLogLikelihoodRatios({ callsNew: n, badNew: x, callsOld: m, badOld: bad - x }, [odds], logs)
      mean += choose(n, x) * choose(m, bad - x) / choose(n + m, bad) * Math.exp(logs[0]!)
    }
    t.true(Math.abs(mean - 1) < 1e-9)
  }), { seed: 11, numRuns: 200 })
})

/** Guards against false alarms from bursts of failures of both versions: an e-value of 20 has a chance of at most 1/20 overall. */
test('the e-value of equal versions rarely exceeds a limit, however often it is looked at', (t) => {
  const random = new SeededRandom(5)
  let alarms = 0
  for (let run = 0; run < 200; run++) {
    const comparison = new Comparison(['a', 'b'], [2, 10])
    let maxEValue = 0
    for (let second = 0; second < 60; second++) {
      const rate = second % 20 < 5 ? 0.4 : 0.01
      const draw = (n: number): number => Array.from({ length: n }).filter(() => random.next() < rate).length
      const table = () => [{ callsNew: 5, badNew: draw(5), callsOld: 20, badOld: draw(20) }]
      comparison.update(new Map([['a', table()], ['b', table()]]))
      maxEValue = Math.max(maxEValue, comparison.eValue)
    }
    if (maxEValue >= 20) alarms++
  }
  t.true(alarms <= 10, `${alarms} of 200`)
})

/** Guards against an infinite likelihood at a baseline rate of 1, after which no alarm would be raised any more. */
test('the hold monitor still raises alarms after a time in which every call of the old version failed', (t) => {
  const stratum = (route: string, calls: number, errors: number): Stratum => {
    const totals = new CallTotals()
    totals.add({ calls, errors, buckets: [calls - errors] })
    return { route, new: totals, old: new CallTotals() }
  }
  const monitor = new HoldMonitor(['a'])
  const baseline = new Baseline()
  for (let i = 0; i < 5; i++) monitor.update([stratum('a', 10, 10)], baseline, { errors: 1, slow: 1 }, true)
  t.is(monitor.alarm, undefined)
  for (let i = 0; i < 20; i++) monitor.update([stratum('a', 10, 8)], baseline, ZERO_RATES, true)
  t.like(monitor.alarm, { kind: 'errors' })
})

/** Guards against damaged reports that would distort every later comparison. */
test('a report whose numbers do not add up is dropped whole', (t) => {
  const row = { route: 'a', version: 'v1', calls: 3, errors: 1, buckets: [0, 2] }
  const counted = (change: Partial<typeof row>): number => {
    const window = new EvidenceWindow('v1', 'v2')
    window.add({ move: 'm', daemon: 'd', rows: [row, { ...row, ...change }] }, 1)
    return [...window.strata()].reduce((sum, stratum) => sum + stratum.old.calls, 0)
  }
  t.is(counted({}), 6)
  for (const change of [{ calls: 4 }, { errors: -1 }, { calls: Number.NaN }, { buckets: [0.5, 1.5] }, { calls: 1e308 }]) {
    t.is(counted(change), 0)
  }
})

test('a latency falls in the bucket whose bounds hold it', (t) => {
  fc.assert(fc.property(fc.double({ min: 0.51, max: 60_000, noNaN: true }), (ms) => {
    const bucket = latencyBucket(ms)
    t.true(ms <= bucketUpperMs(bucket) * 1.0001 && ms >= bucketUpperMs(bucket - 1) * 0.9999)
  }), { seed: 12 })
  t.is(latencyBucket(Number.NaN), 0)
})
