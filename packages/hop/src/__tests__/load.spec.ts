import test from 'ava'
import type { ClassResult, LoadOptions } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { ATELIER_WORKLOAD, CARVERS_WORKLOAD, FLOOR_SHOPS_WORKLOAD, type Workload } from './workloads.js'

const SEEDS = [1, 2, 3]
/** Requirements of the users under low load: fraction of the requests served, and of the possible value earned. */
const CALM_SERVED = 0.99
const CALM_VALUE = 0.97
/** A more urgent class may be served less often than a less urgent one of its service by at most this fraction of its requests. */
const MAX_INVERSION = 0.05
/** Maximum rejections that come later than a quarter of the target latency, as a fraction of the requests. */
const MAX_LATE_REJECTIONS = 0.05
/** Retries allowed for a service in 10 s, over all daemons: `ratio` of its requests, and `slack` in addition. */
const RETRY_BUDGET = { ratio: 0.2, slack: 56 }

function runSeeds (opts: Omit<LoadOptions, 'seed' | 'seconds'>): Record<string, ClassResult>[] {
  return SEEDS.map((seed) => new LoadSimulator(ATELIER_WORKLOAD, { seed, seconds: 20, ...opts }).run())
}

/** Fractions of all requests served, and of their possible value earned. */
function total (results: Record<string, ClassResult>, workload: Workload = ATELIER_WORKLOAD): { served: number, value: number } {
  let requests = 0
  let served = 0
  let earnedValue = 0
  let maxValue = 0
  for (const { name, value, lateValue } of workload.classes) {
    const result = results[name]!
    requests += result.requests
    served += result.onTime + result.late
    earnedValue += result.onTime * value + result.late * lateValue
    maxValue += result.requests * value
  }
  return { served: served / requests, value: earnedValue / maxValue }
}

function servedShare ({ requests, onTime, late }: ClassResult): number {
  return (onTime + late) / requests
}

test('guards against failures and late responses under low load', (t) => {
  for (const results of runSeeds({ rateAt: () => 0.6 })) {
    const { served, value } = total(results)
    t.true(served >= CALM_SERVED && value >= CALM_VALUE, JSON.stringify(results))
  }
})

test('guards against a burst leaving the service overloaded after it has ended', (t) => {
  for (const seed of SEEDS) {
    const withBurst = new LoadSimulator(ATELIER_WORKLOAD, { seed, seconds: 30, rateAt: (second) => second > 4 && second < 10 ? 2.5 : 0.7 }).run()
    const withoutBurst = new LoadSimulator(ATELIER_WORKLOAD, { seed, seconds: 30, rateAt: () => 0.7 }).run()
    const failed = withBurst['browse']!.rejected + withBurst['browse']!.failed
    // For 6 s the burst exceeds the base load by 1.8 times the rate of the class (57/s); no more than this excess may fail.
    t.true(failed <= 6 * 57 * 1.8, `${failed}`)
    t.is(withoutBurst['browse']!.rejected + withoutBurst['browse']!.failed, 0)
  }
})

test('guards against requests being queued for long before they are rejected', (t) => {
  for (const results of runSeeds({ rateAt: () => 1.8 })) {
    const { rejected, lateRejections, requests } = results['browse']!
    t.true(rejected > 0, 'the load must be too high')
    t.true(lateRejections <= MAX_LATE_REJECTIONS * requests, `${lateRejections} of ${requests}`)
  }
})

test('guards against urgent requests being served less often than less urgent ones', (t) => {
  for (const results of runSeeds({ rateAt: () => 2 })) {
    t.true(servedShare(results['lookup']!) >= servedShare(results['sheet']!) - MAX_INVERSION)
    t.true(servedShare(results['order']!) >= servedShare(results['browse']!) - MAX_INVERSION)
  }
})

test('guards against urgent requests being starved by the nested calls of less urgent ones', (t) => {
  for (const seed of SEEDS) {
    const slowness = (_host: string, service: string): number => service === 'commissions' ? 1.8 : 1
    const results = new LoadSimulator(CARVERS_WORKLOAD, { seed, seconds: 6, rateAt: () => 1, slowness }).run()
    t.true(results['deposit']!.rejected + results['browse']!.rejected > 0, 'the load must be too high')
    t.true(servedShare(results['deposit']!) >= servedShare(results['browse']!) - MAX_INVERSION, JSON.stringify(results))
    t.true(results['deposit']!.lateRejections <= MAX_LATE_REJECTIONS * results['deposit']!.requests, JSON.stringify(results['deposit']))
  }
})

test('guards against a Retry-After so long that the response to the retry is late', (t) => {
  for (const results of runSeeds({ rateAt: () => 1.6 })) {
    const { servedAfterRejection, onTimeAfterRejection } = results['browse']!
    t.true(servedAfterRejection > 0, 'some rejected callers must be served on retry')
    t.true(onTimeAfterRejection >= servedAfterRejection / 2, `${onTimeAfterRejection} of ${servedAfterRejection}`)
  }
})

test('guards against orders failing because one target sheds part of its requests', (t) => {
  for (const results of runSeeds({ rateAt: () => 0.7, shedding: (host) => host === 'h05' ? 0.5 : 0 })) {
    t.true(servedShare(results['order']!) >= CALM_SERVED, JSON.stringify(results['order']))
  }
})

test('guards against the nested calls of retried runs exceeding the retry budget of the service that they call', (t) => {
  for (const seed of SEEDS) {
    // Shorter than the window of the budget, so that all retries fall into one window.
    const simulator = new LoadSimulator(ATELIER_WORKLOAD, { seed, seconds: 9, rateAt: () => 0.9, failing: () => 0.4 })
    simulator.run()
    for (const [service, { requests, retries }] of simulator.counts) {
      const allowed = RETRY_BUDGET.ratio * requests + RETRY_BUDGET.slack
      t.true(retries <= allowed, `${service}, seed ${seed}: ${retries} of ${requests}, ${allowed} allowed`)
    }
  }
})

test('guards against one slow target making the responses of a service late under low load', (t) => {
  for (const results of runSeeds({ rateAt: () => 0.6, slowness: (host) => host === 'h02' ? 6 : 1 })) {
    t.true(total(results).value >= 0.94, JSON.stringify(results))
  }
})

test('guards against large bodies being sent to other data centres under low load, and against requests waiting to avoid that', (t) => {
  const { requestBytes: size } = FLOOR_SHOPS_WORKLOAD.classes.find(({ name }) => name === 'upload')!
  for (const seed of SEEDS) {
    const simulator = new LoadSimulator(FLOOR_SHOPS_WORKLOAD, { seed, seconds: 12, rateAt: () => 0.65 })
    const results = simulator.run()
    const { served, value } = total(results, FLOOR_SHOPS_WORKLOAD)
    t.true(served >= CALM_SERVED && value >= CALM_VALUE, JSON.stringify(results))
    // Every daemon tries every target once, to learn its load; at most a tenth of the requests may come on top of that.
    const firstUses = 13 * 3
    const remoteRequests = simulator.remoteBytes.get('upload')! / size!
    t.true(remoteRequests <= firstUses + results['upload']!.requests / 10, `${remoteRequests} of ${results['upload']!.requests}`)
  }
})
