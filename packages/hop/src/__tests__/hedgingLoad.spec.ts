import test from 'ava'
import type { LoadOptions } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { ATELIER_WORKLOAD as workload } from './workloads.js'

const SEEDS = [1, 2, 3, 4, 5, 6]
const SECONDS = 20
const MODERATE_RATE = 0.5
const OVERLOAD_RATE = 1.6
/** Share of the time in which a target is slow, how slow it is then, and for how long at least. */
const SLOW_SHARE = 0.15
const SLOW_FACTOR = 2.5
const SLOW_S = 0.6
/** Hedges that each daemon may begin with for each service. */
const START_ALLOWANCE = workload.services.length * workload.services.reduce((sum, { targets }) => sum + targets, 0)
/** Part of the requests by which fewer may be served in time under overload. */
const MAX_LOSS = 0.01

interface Result {
  requests: number
  runs: number
  hedges: number
  /** Part of the requests of callers that were served in time. */
  onTime: number
  /** Latencies of the routes that may be hedged, as fractions of their target latency. */
  p50: number
  p95: number
  p99: number
}

/** Whether a target is slow at a time; the same for all runs. */
function isSlow (host: string, second: number): boolean {
  let hash = Math.imul(Number(host.slice(1)), 0x9e3779b1) ^ Math.imul(Math.floor(second / SLOW_S) + 1, 0x85ebca6b)
  hash = Math.imul(hash ^ hash >>> 15, 0xc2b2ae35)
  return ((hash ^ hash >>> 13) >>> 0) / 2 ** 32 < SLOW_SHARE
}

/** Runs the workload with all seeds; `maxShare` undefined for no limit on hedging. */
function run (rate: number, maxShare: number | undefined): Result {
  const opts: Omit<LoadOptions, 'seed'> = {
    seconds: SECONDS,
    rateAt: () => rate,
    slowness: (host, _service, second) => isSlow(host, second) ? SLOW_FACTOR : 1,
    ...maxShare !== undefined && { hedging: { maxShare } }
  }
  const latencies: number[] = []
  const result: Result = { requests: 0, runs: 0, hedges: 0, onTime: 0, p50: 0, p95: 0, p99: 0 }
  let asked = 0
  for (const seed of SEEDS) {
    const simulator = new LoadSimulator(workload, { seed, ...opts })
    const outcomes = simulator.run()
    for (const { name, ratePerS, idempotent, targetLatencyMs } of workload.classes) {
      asked += outcomes[name]!.requests
      result.onTime += outcomes[name]!.onTime
      if (ratePerS > 0 && idempotent) latencies.push(...simulator.sortedLatencies(name).map((ms) => ms / targetLatencyMs))
    }
    for (const { requests } of simulator.counts.values()) result.requests += requests
    for (const times of simulator.arrivals.values()) result.runs += times.length
    result.hedges += simulator.hedges.get('begun') ?? 0
  }
  latencies.sort((a, b) => a - b)
  const quantile = (q: number): number => latencies[Math.floor(q * latencies.length)]!
  return { ...result, onTime: result.onTime / asked, p50: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) }
}

function format (name: string, { requests, runs, hedges, onTime, p50, p95, p99 }: Result): string {
  return `${name}: p50 ${p50.toFixed(3)}, p95 ${p95.toFixed(3)}, p99 ${p99.toFixed(3)} of the target latency; ${(runs / requests).toFixed(4)} runs a request, ${hedges} hedges; ${onTime.toFixed(4)} in time`
}

test('guards against slow moments of targets making the slowest answers slower than hedging allows, and against more hedges than the limit', (t) => {
  const without = run(MODERATE_RATE, 0)
  t.log(format('no limit', run(MODERATE_RATE, undefined)))
  t.log(format('0', without))
  t.is(without.hedges, 0)
  for (const maxShare of [0.02, 0.05, 0.1]) {
    const result = run(MODERATE_RATE, maxShare)
    t.log(format(String(maxShare), result))
    t.true(result.hedges > 0)
    t.true(result.hedges <= maxShare * result.requests + SEEDS.length * START_ALLOWANCE, `${result.hedges} hedges of ${result.requests}`)
    t.true(result.runs <= (1 + maxShare) * result.requests + SEEDS.length * START_ALLOWANCE, `${result.runs} runs of ${result.requests}`)
    t.true(result.p99 < without.p99, `${result.p99}, ${without.p99} without`)
  }
})

test('guards against hedges taking the slots of first runs under overload', (t) => {
  const without = run(OVERLOAD_RATE, 0)
  t.log(format('no limit', run(OVERLOAD_RATE, undefined)))
  t.log(format('0', without))
  t.true(without.onTime < 0.8, 'the load must be too high')
  for (const maxShare of [0.05, 0.1]) {
    const result = run(OVERLOAD_RATE, maxShare)
    t.log(format(String(maxShare), result))
    t.true(result.onTime >= without.onTime - MAX_LOSS, `${result.onTime}, ${without.onTime} without`)
  }
})
