import test from 'ava'
import fc from 'fast-check'
import { collectEffects, MOVE_OUTCOMES, type EndpointView, type MoveFact } from '@lentilwheel/core'
import {
  buildSnapshot, checkConfig, moveWarnings, rootHash, SHORTEST_RAMP_MS, toObjects, type MoveControl
} from '@lentilwheel/config'
import { createMoveEngine, type MoveEngine } from '../engine.js'
import { LocalBreaker } from '../localBreaker.js'
import { MIN_BASELINE_MS } from '../constants.js'
import { firstShare, minMsToFullTraffic, plannedStageMs } from '../rampPlan.js'
import { rampStep, type RampState } from '../ramp.js'

const BY = '2026-12-04T18:00:00Z'

function snapshot (control: MoveControl = 'run', profile: 'kitaboshi' | 'addis' = 'kitaboshi') {
  const cfg = checkConfig({
    services: { orders: { versions: ['v1', 'v2'], current: 'v1', profile } },
    routes: { order: { service: 'orders', path: '/orders' } },
    moves: { m: { service: 'orders', from: 'v1', to: 'v2', by: BY, control } }
  })
  const objects = toObjects(cfg)
  return buildSnapshot({ version: 1, changeId: 'c', acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}

function endpoints (oldCount: number, newCount: number): EndpointView[] {
  const endpoint = (version: string, i: number): EndpointView => ({
    id: `${version}-${i}`,
    service: 'orders',
    version,
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'a',
    slots: 6,
    connections: 1,
    state: 'ready',
    reachable: true
  })
  return [
    ...Array.from({ length: oldCount }, (_, i) => endpoint('v1', i)), ...Array.from({ length: newCount }, (_, i) => endpoint('v2', i))
  ]
}

function newEngine (control?: MoveControl, now = () => 0): MoveEngine {
  const engine = createMoveEngine({ daemon: 'd1', isCoordinator: () => false, timers: { now } })
  engine.setConfig(snapshot(control))
  engine.setEndpoints(endpoints(4, 4))
  return engine
}

const stage = (n: number, share: number): MoveFact => ({ kind: 'stage', move: 'm', stage: n, share, at: 1 })
const rollback: MoveFact = { kind: 'rollback', move: 'm', reason: 'bad', at: 1, daemon: 'd2' }
const outcomeFact = (outcome: 'done' | 'takenBack' | 'late'): MoveFact =>
  ({ kind: 'outcome', move: 'm', outcome, reason: 'x', at: 1 })

const SHARES: readonly { title: string, facts: MoveFact[], control?: MoveControl, share: number }[] = [
  { title: 'the new version gets no calls before the first stage', facts: [], share: 0 },
  { title: 'the current stage determines the share', facts: [stage(2, 0.2)], share: 0.2 },
  { title: 'an older stage that arrives late is ignored', facts: [stage(2, 0.2), stage(1, 0.5)], share: 0.2 },
  { title: 'a later stage may be smaller', facts: [stage(100, 1), stage(101, 0.2)], share: 0.2 },
  { title: 'a rollback stops all calls to the new version, whatever fact follows', facts: [rollback, stage(9, 1)], share: 0 },
  { title: 'a rollback wins over a concurrent outcome', facts: [outcomeFact('done'), rollback], share: 0 },
  { title: 'the outcome late sends all calls to the old version', facts: [stage(3, 0.5), outcomeFact('late')], share: 0 },
  { title: 'the outcome done sends all calls to the new version', facts: [outcomeFact('done')], share: 1 },
  { title: 'an operator takes the move back without a fact', facts: [stage(2, 0.2)], control: 'takeBack', share: 0 },
  { title: 'a paused move keeps its share', facts: [stage(2, 0.2)], control: 'paused', share: 0.2 }
]

for (const { title, facts, control, share } of SHARES) {
  test(`share: ${title}`, (t) => {
    const engine = newEngine(control)
    for (const fact of facts) engine.onFact(fact)
    t.deepEqual(engine.shareOf('orders'), { from: 'v1', to: 'v2', share })
    t.is(engine.shareOf('other'), undefined)
  })
}

/** Guards against daemons that send different shares after hearing the same facts, before or after the configuration. */
test('the share does not depend on the order of facts and configuration', (t) => {
  const fact = fc.oneof(
    fc.tuple(fc.integer({ min: 1, max: 4 }), fc.constantFrom(0.05, 0.2, 1)).map(([n, share]) => stage(n, share)),
    fc.constant(rollback), fc.constantFrom(...MOVE_OUTCOMES).map(outcomeFact)
  )
  const orders = fc.array(fact, { maxLength: 6 }).chain((facts) =>
    fc.tuple(fc.constant(facts), fc.shuffledSubarray(facts, { minLength: facts.length })))
  fc.assert(fc.property(orders, ([facts, shuffled]) => {
    const inOrder = newEngine()
    for (const each of facts) inOrder.onFact(each)
    const other = createMoveEngine({ daemon: 'd2', isCoordinator: () => false, timers: { now: () => 0 } })
    other.setEndpoints(endpoints(4, 4))
    for (const each of [...shuffled, ...shuffled]) other.onFact(each)
    other.setConfig(snapshot())
    t.deepEqual(other.shareOf('orders'), inOrder.shareOf('orders'))
  }), { seed: 21, numRuns: 200 })
})

/** Guards against more traffic than the new version's ready targets can take after some of them are lost. */
test('ready slots of the new version limit its share at once', (t) => {
  const engine = newEngine()
  engine.onFact(stage(4, 1))
  engine.setEndpoints(endpoints(4, 2))
  t.is(engine.shareOf('orders')?.share, 0.5)
  engine.setEndpoints(endpoints(2, 0))
  t.is(engine.shareOf('orders')?.share, 0)
})

/** Guards against hung calls sent at a larger share that count as failures of the new version after the share fell. */
test('calls sent before the share was reduced are not counted', (t) => {
  let now = 10_000
  const engine = newEngine('run', () => now)
  engine.onFact(stage(100, 1))
  engine.onFact(stage(101, 0.2))
  now += 1_000
  engine.onCall('orders', 'order', 'v2', false, 5_000)
  engine.onCall('orders', 'order', 'v2', true, 10)
  const [effect] = collectEffects(engine.tick(now, now))
  t.like(effect, { kind: 'sendEvidence', report: { rows: [{ calls: 1, errors: 0 }] } })
})

/** Guards against a daemon that rolls back because a dependency of both versions fails, or that misses a failing version. */
test('the local breaker trips on failures of the new version only', (t) => {
  const run = (oldFails: boolean, newFails: boolean, share: number): string => {
    const breaker = new LocalBreaker()
    breaker.setShare(share)
    for (let i = 0; i < 200; i++) {
      breaker.onOldCall(!oldFails, 1)
      breaker.onNewCall(!newFails, 1)
    }
    return breaker.trip
  }
  t.is(run(false, true, 0.2), 'failing')
  t.is(run(false, true, 1), 'suspect')
  t.is(run(true, true, 0.2), 'none')
  t.is(run(false, false, 0.2), 'none')
})

test('deadlines that no ramp can meet are reported', (t) => {
  const { moves, services } = snapshot().config
  const warn = (msLeft: number, control: MoveControl = 'run') =>
    moveWarnings({ ...moves['m']!, control }, services['orders']!, Date.parse(BY) - msLeft).map((warning) => warning.code)
  t.is(SHORTEST_RAMP_MS, MIN_BASELINE_MS + minMsToFullTraffic(0))
  t.deepEqual(warn(SHORTEST_RAMP_MS), [])
  t.deepEqual(warn(SHORTEST_RAMP_MS - 1), ['deadline-impossible'])
  t.deepEqual(warn(-1), ['deadline-past'])
  t.deepEqual(warn(-1, 'takeBack'), [])
})

test('the plan fits into the time left and raises the first share of a quiet service', (t) => {
  t.true([0.01, 0.05, 0.2, 0.5].reduce((left, share) => left - plannedStageMs(share, left), 60_000) > 0)
  t.is(firstShare(4_000, 15, 300_000), 0.01)
  t.is(firstShare(20, 15, 20_000), 0.1)
})

const RAMP: RampState = {
  share: 0.2,
  firstShare: 0,
  elapsedMs: 20_000,
  plannedMs: 15_000,
  remainingMs: 60_000,
  whenUnsure: 'keepOld',
  newCalls: 1_000,
  isSuspicious: false,
  maxShare: 1,
  readySlots: 24,
  neededSlots: 24,
  from: 'v1',
  to: 'v2'
}

const STEPS: readonly { title: string, change: Partial<RampState>, kind: string, share?: number }[] = [
  { title: 'goes on after its time', change: {}, kind: 'advance', share: 0.5 },
  { title: 'stays for its time', change: { elapsedMs: 9_000 }, kind: 'wait' },
  { title: 'waits without enough evidence', change: { newCalls: 5 }, kind: 'wait' },
  { title: 'waits while the new version is suspicious', change: { isSuspicious: true }, kind: 'wait' },
  { title: 'goes on as far as the ready slots allow', change: { maxShare: 0.4, readySlots: 10 }, kind: 'advance', share: 0.4 },
  { title: 'goes on early when the deadline is near', change: { elapsedMs: 3_000, remainingMs: 5_500 }, kind: 'advance', share: 0.5 },
  { title: 'ends late without enough evidence with `keepOld`', change: { newCalls: 5, remainingMs: 2_000 }, kind: 'late' },
  {
    title: 'goes on without enough evidence near the deadline with `finish`',
    change: { newCalls: 5, remainingMs: 2_000, whenUnsure: 'finish' },
    kind: 'advance',
    share: 0.5
  },
  {
    title: 'waits near the deadline while the new version is suspicious',
    change: { isSuspicious: true, remainingMs: 2_000, whenUnsure: 'finish' },
    kind: 'wait'
  },
  {
    title: 'ends late when a suspicion outlasts the deadline',
    change: { isSuspicious: true, remainingMs: -20_000, whenUnsure: 'finish' },
    kind: 'late'
  }
]

for (const { title, change, kind, share } of STEPS) {
  test(`ramp: ${title}`, (t) => {
    t.like(rampStep({ ...RAMP, ...change }), { kind, ...(share === undefined ? {} : { share }) })
  })
}
