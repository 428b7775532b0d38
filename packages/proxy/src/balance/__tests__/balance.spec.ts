import test from 'ava'
import fc from 'fast-check'
import { SeededRandom, type EndpointView } from '@lentilwheel/core'
import { ejectOutliers } from '../ejection.js'
import { chooseSubset, likelyPickers, SUBSET_SIZE } from '../subset.js'
import { TargetGroup } from '../targetGroup.js'
import { TargetState } from '../targetState.js'

function view (i: number, change: Partial<EndpointView> = {}): EndpointView {
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
  return Array.from({ length: count }, (_, i) => new TargetState(view(i, change), 0, true))
}

function groupOf (all: readonly TargetState[], seed = 1): TargetGroup {
  return new TargetGroup(all, (target) => target.view.dataCentre === 'here', new SeededRandom(seed), 0)
}

/** Share of `draws` that goes to one target when nothing stays in flight. */
function shareOf (group: TargetGroup, target: TargetState, draws = 4_000): number {
  let hits = 0
  for (let i = 0; i < draws; i++) if (group.choose([]) === target) hits++
  return hits / draws
}

/** Guards against a slow target that gets a fair share of the calls. */
test('a slow target is avoided while others have room', (t) => {
  const all = targets(6)
  for (const [i, target] of all.entries()) target.observe(true, i === 0 ? 20 : 1, 0)
  const group = groupOf(all)
  t.is(shareOf(group, all[0]!), 0)
  for (const target of all.slice(1)) target.inFlight = 6
  t.is(group.choose([]), all[0])
  all[0]!.inFlight = 6
  t.is(group.choose([]), undefined)
})

/** Guards against a slow target that is never tried again after it has recovered. */
test('an unused slow target returns to the level of its peers', (t) => {
  const [target] = targets(1)
  target!.observe(true, 100, 0)
  for (let now = 250; now <= 60_000; now += 250) target!.tick(now, 250, 1)
  t.true(target!.latencyMs < 1.5)
})

/** Guards against a cold target that is hit with its full share at once. */
test('a new target gets a share that grows over its slow start', (t) => {
  const cold = new TargetState(view(9), 0)
  const all = [...targets(5), cold]
  const group = groupOf(all)
  const first = shareOf(group, cold)
  for (const target of all) target.tick(20_000, 250, 1)
  const last = shareOf(group, cold)
  t.true(first < 0.08 && last > 0.12, `${first}, ${last}`)
})

/** Guards against retries on the target that has just failed. */
test('a target that was tried is not chosen again', (t) => {
  const all = targets(3)
  const group = groupOf(all)
  for (let i = 0; i < 100; i++) t.false(all.slice(0, 2).includes(group.choose(all.slice(0, 2))!))
})

/** Guards against overloading the own data centre while others are idle, and against leaving it without need. */
test('the own data centre comes first and gives way under load', (t) => {
  const local = targets(2)
  const remote = [5, 6].map((i) => new TargetState(view(i, { dataCentre: 'there' }), 0, true))
  const group = groupOf([...local, ...remote])
  for (let i = 0; i < 200; i++) t.true(local.includes(group.choose([])!))
  for (const target of local) target.inFlight = 5
  t.true(remote.includes(group.choose([])!))
})

/** Guards against a load report that contradicts what is observed. */
test('a report of load is a hint that observation overrules and that ages', (t) => {
  const [target] = targets(1)
  target!.update(view(0, { load: 1 }), 100, 1_000)
  target!.tick(1_250, 250, 10)
  t.true(target!.penalty > 1, 'believed while nothing is observed')
  target!.observe(true, 9, 1_300)
  target!.tick(1_500, 250, 10)
  t.is(target!.penalty, 1, 'overruled by an answer as fast as the peers')
  target!.observe(true, 500, 1_600)
  target!.tick(1_750, 250, 10)
  t.true(target!.penalty > 1)
  target!.tick(20_000, 250, 10)
  t.is(target!.penalty, 1, 'forgotten')
})

/** Guards against a service that is emptied by its own symptoms. */
test('failing targets are ejected, but never more than half and never for a common cause', (t) => {
  const fail = (target: TargetState): void => { for (let i = 0; i < 6; i++) target.observe(false, 1, 0) }
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
  t.true(most[0]!.ejected(1_000) && !most[0]!.ejected(5_000))
})

/** Guards against targets whose connections are exceeded and against targets that no daemon picks. */
test('subsets are stable, share out connections and starve no target', (t) => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 60 }), fc.integer({ min: 20, max: 300 }), (count, callers) => {
    const endpoints = Array.from({ length: count }, (_, i) => view(i))
    const used = new Map<string, number>()
    for (let d = 0; d < callers; d++) {
      const question = { daemon: `caller${d}`, dataCentre: 'here', callers, endpoints }
      const subset = chooseSubset(question)
      t.deepEqual(subset, chooseSubset({ ...question, endpoints: endpoints.toReversed() }))
      t.true(subset.length >= 2 && subset.length <= SUBSET_SIZE)
      for (const entry of subset) used.set(entry.endpoint.id, (used.get(entry.endpoint.id) ?? 0) + entry.connections)
    }
    const most = Math.max(...used.values())
    const feasible = likelyPickers(callers, 2, count) <= 100
    t.true(!feasible || most <= 100, `${count} targets, ${callers} callers: ${most} connections`)
    t.true(used.size === count || callers * 2 < count * 20, `${count - used.size} of ${count} targets are not used`)
  }), { seed: 11, numRuns: 60 })
})
