import test from 'ava'
import fc from 'fast-check'
import { SeededRandom, type EndpointView } from '@lentilwheel/core'
import { ejectOutliers } from '../outlierEjection.js'
import { chooseSubset, maxDaemonsPerTarget, SUBSET_SIZE } from '../subset.js'
import { TargetGroup } from '../targetGroup.js'
import { TargetState } from '../targetState.js'

function endpoint (i: number, change: Partial<EndpointView> = {}): EndpointView {
  return {
    id: `d${i}/a`,
    service: 'a',
    version: 'v1',
    address: '127.0.0.1',
    port: 1000 + i,
    dataCentre: 'here',
    slots: 6,
    connections: 100,
    state: 'ready',
    reachable: true,
    ...change
  }
}

function targets (count: number, change: Partial<EndpointView> = {}): TargetState[] {
  return Array.from({ length: count }, (_, i) => new TargetState(endpoint(i, change), 0, true))
}

function newGroup (all: readonly TargetState[], seed = 1): TargetGroup {
  return new TargetGroup(all, (target) => target.endpoint.dataCentre === 'here', new SeededRandom(seed), 0)
}

/** Share of the draws that choose one target while no calls are in flight. */
function drawShare (group: TargetGroup, target: TargetState, draws = 4_000): number {
  let hits = 0
  for (let i = 0; i < draws; i++) if (group.choose([]) === target) hits++
  return hits / draws
}

/** Guards against a slow target that gets as many calls as its peers. */
test('a slow target is avoided while others have free slots', (t) => {
  const all = targets(6)
  for (const [i, target] of all.entries()) target.recordOutcome(true, i === 0 ? 20 : 1, 0)
  const group = newGroup(all)
  t.is(drawShare(group, all[0]!), 0)
  for (const target of all.slice(1)) target.inFlight = 6
  t.is(group.choose([]), all[0])
  all[0]!.inFlight = 6
  t.is(group.choose([]), undefined)
})

/** Guards against a slow target that gets no more calls after it has recovered, because its latency isn't measured anew. */
test('the latency of an unused slow target returns to that of its peers', (t) => {
  const [target] = targets(1)
  target!.recordOutcome(true, 100, 0)
  for (let now = 250; now <= 60_000; now += 250) target!.tick(now, 250, 1)
  t.true(target!.latencyMs < 1.5)
})

/** Guards against a new target that gets its full share of the calls at once. */
test('the share of a new target grows during its slow start', (t) => {
  const cold = new TargetState(endpoint(9), 0)
  const all = [...targets(5), cold]
  const group = newGroup(all)
  const first = drawShare(group, cold)
  for (const target of all) target.tick(20_000, 250, 1)
  const last = drawShare(group, cold)
  t.true(first < 0.08 && last > 0.12, `${first}, ${last}`)
})

/** Guards against retries on a target that has just failed. */
test('a target that was tried is not chosen again', (t) => {
  const all = targets(3)
  const group = newGroup(all)
  for (let i = 0; i < 100; i++) t.false(all.slice(0, 2).includes(group.choose(all.slice(0, 2))!))
})

/** Guards against overloading the own data centre while others are idle, and against calling others without need. */
test('targets in the own data centre are preferred until they are busy', (t) => {
  const local = targets(2)
  const remote = [5, 6].map((i) => new TargetState(endpoint(i, { dataCentre: 'there' }), 0, true))
  const group = newGroup([...local, ...remote])
  for (let i = 0; i < 200; i++) t.true(local.includes(group.choose([])!))
  for (const target of local) target.inFlight = 5
  t.true(remote.includes(group.choose([])!))
})

/** Guards against trusting a load report that contradicts the measured latency, or an old one. */
test('a reported load is overruled by measurements and expires', (t) => {
  const [target] = targets(1)
  target!.updateEndpoint(endpoint(0, { load: 1 }), 100, 1_000)
  target!.tick(1_250, 250, 10)
  t.true(target!.hintPenalty > 1, 'counts while nothing is measured')
  target!.recordOutcome(true, 9, 1_300)
  target!.tick(1_500, 250, 10)
  t.is(target!.hintPenalty, 1, 'overruled by a response as fast as those of the peers')
  target!.recordOutcome(true, 500, 1_600)
  target!.tick(1_750, 250, 10)
  t.true(target!.hintPenalty > 1)
  target!.tick(20_000, 250, 10)
  t.is(target!.hintPenalty, 1, 'expired')
})

/** Guards against a failing service that loses all its targets to ejection. */
test('failing targets are ejected, but never more than half and never when all fail alike', (t) => {
  const fail = (target: TargetState): void => { for (let i = 0; i < 6; i++) target.recordOutcome(false, 1, 0) }
  const one = targets(4)
  fail(one[0]!)
  t.deepEqual(ejectOutliers(one, 0), [one[0]])
  const all = targets(4)
  all.forEach(fail)
  t.deepEqual(ejectOutliers(all, 0), [])
  const single = targets(1)
  fail(single[0]!)
  t.deepEqual(ejectOutliers(single, 0), [])
  const most = targets(5)
  most.slice(0, 2).forEach(fail)
  t.is(ejectOutliers(most, 0).length, 2)
  t.is(ejectOutliers(most, 100).length, 0)
  t.true(most[0]!.isEjected(1_000) && !most[0]!.isEjected(5_000))
})

/** Guards against daemons that together exceed a target's connections, and against targets that no daemon chooses. */
test('subsets are stable, divide the connections and leave no target unused', (t) => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 60 }), fc.integer({ min: 20, max: 300 }), (count, daemonCount) => {
    const endpoints = Array.from({ length: count }, (_, i) => endpoint(i))
    const used = new Map<string, number>()
    for (let d = 0; d < daemonCount; d++) {
      const input = { daemon: `caller${d}`, dataCentre: 'here', daemonCount, endpoints }
      const subset = chooseSubset(input)
      t.deepEqual(subset, chooseSubset({ ...input, endpoints: endpoints.toReversed() }))
      t.true(subset.length >= 2 && subset.length <= SUBSET_SIZE)
      for (const member of subset) used.set(member.endpoint.id, (used.get(member.endpoint.id) ?? 0) + member.connections)
    }
    const most = Math.max(...used.values())
    const isFeasible = maxDaemonsPerTarget(daemonCount, 2, count) <= 100
    t.true(!isFeasible || most <= 100, `${count} targets, ${daemonCount} daemons: ${most} connections`)
    t.true(used.size === count || daemonCount * 2 < count * 20, `${count - used.size} of ${count} targets are not used`)
  }), { seed: 11, numRuns: 60 })
})
