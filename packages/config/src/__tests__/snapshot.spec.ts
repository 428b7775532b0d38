import test from 'ava'
import { HashMismatch } from '../errors.js'
import { canonicalJson, rootHash, toObjects } from '../objects.js'
import { checkConfig } from '../parse.js'
import { applyDelta, buildSnapshot, diffSnapshots, EMPTY_SNAPSHOT, fullDelta } from '../snapshot.js'

function snapshotOf (version: number, services: string[]) {
  const cfg = checkConfig({
    services: Object.fromEntries(services.map((name) => [name, { versions: ['v1'], current: 'v1' }])),
    routes: Object.fromEntries(services.map((name) => [name, { service: name, path: `/${name}` }]))
  })
  const objects = toObjects(cfg)
  return buildSnapshot({ version, changeId: `c${version}`, acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}

test('a delta turns the current version into the next one', (t) => {
  const one = snapshotOf(1, ['a', 'b'])
  const two = snapshotOf(2, ['b', 'c'])
  for (const result of [applyDelta(one, diffSnapshots(one, two)), applyDelta(EMPTY_SNAPSHOT, fullDelta(two))]) {
    t.is(result.rootHash, two.rootHash)
    t.is(canonicalJson(result.config), canonicalJson(two.config))
  }
})

/** Guards against a version that is applied in part: a damaged delta must be rejected as a whole. */
test('damaged deltas are rejected', (t) => {
  const one = snapshotOf(1, ['a'])
  const delta = diffSnapshots(one, snapshotOf(2, ['a', 'b']))
  const first = delta.changed[0]!
  t.throws(() => applyDelta(one, { ...delta, changed: delta.changed.slice(1) }), { any: true, instanceOf: HashMismatch })
  t.throws(() => applyDelta(one, { ...delta, changed: [{ ...first, text: '{}' }] }), { any: true, instanceOf: HashMismatch })
  t.throws(() => applyDelta(one, { ...delta, rootHash: 'x' }), { any: true, instanceOf: HashMismatch })
  t.throws(() => applyDelta(EMPTY_SNAPSHOT, delta), { any: true, message: /starts from version 1/ })
})
