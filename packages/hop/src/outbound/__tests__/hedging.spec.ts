import test from 'ava'
import { SeededRandom } from '@lentilwheel/core'
import { TEST_ROUTE as route } from '../../__tests__/fixtures.js'
import type { MeshRoute } from '../../routing/meshConfig.js'
import type { Candidate } from '../costEstimate.js'
import { HedgeCredit } from '../hedgeCredit.js'
import { Hedging, type HedgeRequest } from '../hedging.js'
import { RetryBudget } from '../retryBudget.js'

const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 10 }
const URGENCY = 1

function candidate (host: string, runMs: number): Candidate {
  return { host, targetId: `t-${host}`, version: 'v1', isLocal: true, costMs: 1, runMs, isBusy: false, isQueueFull: false }
}

function request (overrides: Partial<HedgeRequest> = {}): HedgeRequest {
  return { service: 's', urgency: URGENCY, daemons: 1, now: 0, hasFreeTarget: true, utilisation: () => 0.3, ...overrides }
}

/** A hedging whose service had a number of requests at time 0. */
function afterRequests (maxShare: number | undefined, requests: number): { hedging: Hedging, budget: RetryBudget } {
  const budget = new RetryBudget(BUDGET)
  const hedging = new Hedging(budget, maxShare === undefined ? undefined : { maxShare })
  for (let i = 0; i < requests; i++) {
    budget.deposit('s', URGENCY, 0)
    hedging.policy.recordRequest('s')
  }
  return { hedging, budget }
}

/** Latencies in milliseconds whose slow part takes `slowMs`. */
function latencies (count: number, slowShare: number, slowMs: number): number[] {
  return Array.from({ length: count }, (_, i) => i % 100 < slowShare * 100 ? slowMs : 100)
}

interface DelayCase { maxShare?: number, seenMs?: number[], runMs?: number, othersMs?: number[], of?: MeshRoute }

// The target latency of the route is 600 ms.
const delays: Record<string, DelayCase> = {
  'no limit': { seenMs: latencies(200, 0.1, 300) },
  'limit 0': { maxShare: 0 },
  'nothing seen': { maxShare: 0.05 },
  'few seen': { maxShare: 0.05, seenMs: latencies(40, 0.1, 300) },
  'tenth of the answers takes 300 ms': { maxShare: 0.05, seenMs: latencies(200, 0.1, 300) },
  'tenth of the answers takes 300 ms, larger share': { maxShare: 0.5, seenMs: latencies(200, 0.1, 300) },
  'one in thirty takes 400 ms, share for these': { maxShare: 0.02, seenMs: latencies(200, 0.03, 400) },
  'one in thirty takes 400 ms, share for more': { maxShare: 0.05, seenMs: latencies(200, 0.03, 400) },
  'all slow': { maxShare: 0.05, seenMs: latencies(200, 1, 900) },
  'nothing seen of this route': { maxShare: 0.05, seenMs: latencies(200, 0.1, 300), of: { ...route, name: 'other' } },
  'target slower than others': { maxShare: 0.05, seenMs: latencies(200, 0.1, 400), runMs: 200, othersMs: [100, 100] },
  'target much slower than others': { maxShare: 0.05, seenMs: latencies(200, 0.1, 400), runMs: 2_000, othersMs: [100, 100] },
  'target faster than others': { maxShare: 0.05, seenMs: latencies(200, 0.1, 400), runMs: 50, othersMs: [100, 100] },
  'target slower than others, no limit': { runMs: 200, othersMs: [100, 100] },
  'times recovered from slow ones': { maxShare: 0.05, seenMs: [...latencies(200, 1, 900), ...latencies(3_000, 0.1, 300)] }
}

test('guards the time after which a request is hedged', (t) => {
  const lines = Object.entries(delays).map(([name, { maxShare, seenMs = [], runMs = 100, othersMs = [100, 100], of = route }]) => {
    const { policy } = afterRequests(maxShare, 0).hedging
    for (const ms of seenMs) policy.recordLatency(route, ms)
    const slow = candidate('a', runMs)
    return `${name}: ${Math.round(policy.delayMs(of, slow, [slow, ...othersMs.map((ms) => candidate('b', ms))]))}`
  })
  t.snapshot(lines)
})

interface DecisionCase { maxShare?: number, requests?: number, hedges?: number, retries?: number, request?: Partial<HedgeRequest> }

const decisions: Record<string, DecisionCase> = {
  'first hedge of few requests': { requests: 30 },
  'second hedge of few requests': { requests: 12, hedges: 1 },
  'hedges within the share': { requests: 100, hedges: 2 },
  'hedges above the share': { requests: 100, hedges: 6 },
  'larger share, but not what retries need': { maxShare: 0.5, requests: 100, hedges: 6 },
  'first hedge where the budget has next to nothing': { requests: 3, request: { daemons: 100 } },
  'retries have taken half of the budget': { requests: 100, retries: 6, hedges: 2 },
  'retries have taken the budget': { requests: 100, retries: 11 },
  'no target with a free slot': { requests: 100, request: { hasFreeTarget: false } },
  'four fifths of the slots in use': { requests: 100, request: { utilisation: () => 0.8 } },
  'more slots in use': { requests: 100, request: { utilisation: () => 0.81 } },
  'no limit, all slots in use': { maxShare: -1, requests: 100, request: { hasFreeTarget: false, utilisation: () => 1 } },
  'no limit, budget taken': { maxShare: -1, requests: 100, retries: 12 }
}

test('guards which requests are hedged', (t) => {
  const lines = Object.entries(decisions).map(([name, { maxShare = 0.05, requests = 0, hedges = 0, retries = 0, request: overrides = {} }]) => {
    const { hedging: { policy }, budget } = afterRequests(maxShare < 0 ? undefined : maxShare, requests)
    for (let i = 0; i < retries; i++) budget.tryWithdraw('s', URGENCY, 1, 0)
    for (let i = 0; i < hedges; i++) policy.tryWithdraw(request())
    const decision = policy.tryWithdraw(request(overrides))
    return `${name}: ${decision.kind === 'granted' ? decision.placement : decision.reason}`
  })
  t.snapshot(lines)
})

test('guards against more hedges than the share of the requests, in any time', (t) => {
  for (const share of [0.01, 0.05, 0.3]) {
    const random = new SeededRandom(share * 100)
    const credit = new HedgeCredit()
    const spentAt: number[] = []
    for (let requests = 1; requests <= 3_000; requests++) {
      credit.earn('s', share)
      // Every third thousand wants no hedge, so that credit is saved up.
      if (requests % 3_000 < 1_000 || random.next() > 0.8 || !credit.suffices('s')) continue
      credit.spend('s')
      spentAt.push(requests)
      t.true(spentAt.length <= 1 + share * requests + 1e-9, `${spentAt.length} of ${requests}`)
    }
    for (const [i, from] of spentAt.entries()) {
      for (const [j, to] of spentAt.slice(i).entries()) {
        if (j + 1 > 10 + share * (to - from) + 1e-9) t.fail(`${j + 1} hedges from request ${from} to ${to}`)
      }
    }
  }
})

test('guards against hedges of one service using up the share of another', (t) => {
  const credit = new HedgeCredit()
  credit.spend('s')
  t.false(credit.suffices('s'))
  t.true(credit.suffices('other'))
})

test('guards against hedges taking the retries of failed requests', (t) => {
  const { budget } = afterRequests(1, 1_000)
  const take = (fn: () => boolean): number => {
    let taken = 0
    while (fn()) taken++
    return taken
  }
  const hedges = take(() => budget.tryWithdrawHedge('s', URGENCY, 1, 0))
  const retries = take(() => budget.tryWithdraw('s', URGENCY, 1, 0))
  t.deepEqual({ hedges, retries }, { hedges: 42, retries: 42 })
  t.is(take(() => budget.tryWithdrawHedge('s', URGENCY, 1, 0)), 0)
  // What is left then is the slack alone: 0.4 of 10, and half of it for hedges.
  t.is(take(() => budget.tryWithdrawHedge('s', URGENCY, 1, 10_000)), 2, 'requests, retries and hedges leave the window together')
})

test('guards against changed limits being ignored, and against unchanged ones starting anew', (t) => {
  const budget = new RetryBudget(BUDGET)
  const hedging = new Hedging(budget, undefined)
  const a = candidate('a', 1)
  const delayMs = (): number => hedging.policy.delayMs(route, a, [a])
  t.is(delayMs(), 540)
  hedging.setLimits({ maxShare: 0 })
  t.is(delayMs(), Infinity)
  hedging.setLimits({ maxShare: 0.1 })
  for (const ms of latencies(100, 0.2, 200)) hedging.policy.recordLatency(route, ms)
  const learntMs = delayMs()
  t.true(learntMs < 540)
  hedging.setLimits({ maxShare: 0.1 })
  t.is(delayMs(), learntMs)
  hedging.policy.retain(new Set())
  t.is(delayMs(), 540, 'latencies of a removed route are dropped')
  hedging.setLimits(undefined)
  t.is(delayMs(), 540)
})
