import test from 'ava'
import type { HostRecord } from '../../fleet/hostRecord.js'
import { targetSubset } from '../targetSubset.js'

const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e', 'f']

function targets (count: number, version = 'v1'): HostRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `h-${version}-${i}`, dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!, address: '10.0.0.1', port: 1, incarnation: 1, sequence: 1, stopping: false, target: { id: `t${i}`, startedAt: 1_000, service: 's', version, slots: 6, state: 'ready', coldMs: 0 }
  }))
}

function owner (i: number): { host: string, dataCentre: string } {
  return { host: `daemon-${i}`, dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]! }
}

test('guards against a daemon using too many targets, or leaving out targets of its own data centre', (t) => {
  const records = targets(93)
  const subset = targetSubset(records, owner(2))
  t.true(subset.length <= 24, `${subset.length}`)
  t.is(subset.filter(({ dataCentre }) => dataCentre === 'c').length, records.filter(({ dataCentre }) => dataCentre === 'c').length)
  t.is(targetSubset(targets(12), owner(2)).length, 12, 'all are used when there are few')
})

test('guards against a target being used by too few or too many daemons', (t) => {
  const picks = new Map<string, number>()
  for (let i = 0; i < 195; i++) for (const { host } of targetSubset(targets(93), owner(i))) picks.set(host, (picks.get(host) ?? 0) + 1)
  const mean = [...picks.values()].reduce((sum, n) => sum + n, 0) / 93
  t.is(picks.size, 93)
  for (const [host, n] of picks) t.true(n > mean / 1.5 && n < mean * 1.5, `${host}: ${n}, mean ${mean}`)
})

test('guards against the removal of one target changing the rest of a subset', (t) => {
  const before = targetSubset(targets(93), owner(7)).map(({ host }) => host)
  const after = new Set(targetSubset(targets(93).filter(({ host }) => host !== before[20]), owner(7)).map(({ host }) => host))
  t.deepEqual(before.filter((host) => !after.has(host)), [before[20]])
})

test('guards against a version of which a daemon uses no target', (t) => {
  const subset = targetSubset([...targets(60), ...targets(20, 'v2')], owner(1))
  t.true(subset.some(({ target }) => target!.version === 'v2'))
})
