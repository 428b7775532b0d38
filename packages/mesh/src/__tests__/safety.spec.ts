import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import test from 'ava'
import fc from 'fast-check'
import type { MoveFact } from '@lentilwheel/core'
import { checkConfig, rootHash, toObjects, type Delta } from '@lentilwheel/config'
import { accountKey, decodeMoveRecord, moveKey } from '@lentilwheel/platform'
import { SnapshotStore } from '../dissemination/snapshotStore.js'
import { splitIntoSubtrees } from '../dissemination/broadcastTree.js'
import { FactStore } from '../facts/factStore.js'
import { decideReadiness, type ReadinessInput } from '../floor/decideReadiness.js'
import { DatagramSchema, HeaderSchema, PushSchema } from '../gen/mesh_pb.js'
import { MeshAuth } from '../wire/meshAuth.js'
import { packDelta, unpackDelta } from '../wire/codec.js'
import { addressOf, configOf, Fleet } from './fakes/fleet.js'

function deltaOf (to: number, services = to): Delta {
  const objects = toObjects(checkConfig(configOf(services)))
  return { from: 0, to, changeId: `c${to}`, acceptedAt: 1, changed: [...objects.values()], removed: [], rootHash: rootHash(objects.values()) }
}

function pushOf (delta: Delta, key = 'key'): Uint8Array {
  return signedPush({ delta: packDelta(delta) }, delta.to, key)
}

function signedPush (content: MessageInitShape<typeof PushSchema>, version = 2, key = 'key'): Uint8Array {
  const header = create(HeaderSchema, { from: 'd1', floor: version, version })
  const value = create(PushSchema, content)
  return new MeshAuth(key).signDatagram(toBinary(DatagramSchema, create(DatagramSchema, { header, seq: 1, body: { case: 'push', value } })))
}

test('guards against a start below the version floor: the floor must be known and reached', (t) => {
  const input: ReadinessInput = { version: 5, floor: 5, isHeadKnown: false, readyAnswers: 0, answers: 0, peers: 0, isAwaitingAnnouncedPeer: false, hasFacts: true }
  const rows: [string, Partial<ReadinessInput>, boolean][] = [
    ['the platform answers', { isHeadKnown: true }, true],
    ['three ready peers answer', { readyAnswers: 3, answers: 3, peers: 9 }, true],
    ['a peer that the previous run told of a version is silent', { readyAnswers: 3, answers: 3, peers: 9, isAwaitingAnnouncedPeer: true }, false],
    ['two of nine peers answer', { readyAnswers: 2, answers: 2, peers: 9 }, false],
    ['three starting peers of nine answer', { answers: 3, peers: 9 }, false],
    ['all of two peers answer', { readyAnswers: 2, answers: 2, peers: 2 }, true],
    ['nobody answers', {}, false],
    ['a peer knows a higher version', { isHeadKnown: true, floor: 6 }, false],
    ['nothing is held', { isHeadKnown: true, version: 0, floor: 0 }, false],
    ['facts are missing', { isHeadKnown: true, hasFacts: false }, false]
  ]
  for (const [name, change, ready] of rows) t.is(decideReadiness({ ...input, ...change }).ready, ready, name)
})

/**
 * Guards against a version that is applied before it is announced: one relay alone reads and applies a version, and is
 * partitioned and dies before its push arrives. Restarted, it must not serve the previous version.
 */
test('a relay that alone applied a version does not serve an older one after a restart', async (t) => {
  const fleet = await Fleet.ready({ daemons: 4, dataCentres: 1 })
  const { host, mesh, address, index } = fleet.relays()[0]!
  const hosts = new Set(fleet.members.map((member) => member.host))
  fleet.platform.isBlocked = (other) => hosts.has(other) && other !== host
  mesh.on({
    onSnapshot: () => {
      fleet.platform.isDown = true
      fleet.network.isPartitioned = (from, to) => [from, to].includes(address)
    }
  })
  await fleet.apply(2)
  await fleet.until(() => mesh.snapshot().version === 2, 10_000, 'held by the relay')
  t.true(fleet.members.every((member) => member.host === host || member.mesh.snapshot().version === 1))
  fleet.kill(index)
  const restarted = fleet.start(index)
  fleet.network.isPartitioned = () => false
  await fleet.run(5_000)
  t.false(restarted.mesh.readiness().ready)
  t.is(fleet.reverts, 0)
  fleet.platform.isDown = false
  fleet.platform.isBlocked = () => false
  await fleet.untilActive(2)
  await fleet.until(() => restarted.mesh.readiness().ready, 5_000, 'ready')
})

/**
 * Guards against a floor that only the two peers of an announcement know: a relay dies right after it applied a version,
 * and these peers can send to nobody but the restarted relay.
 */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`a restarted relay asks the peers to which its previous run announced a version, seed ${seed}`, async (t) => {
    const fleet = await Fleet.ready({ daemons: 24, dataCentres: 2, seed })
    const { host, mesh, address, index } = fleet.relays()[0]!
    const hosts = new Set(fleet.members.map((member) => member.host))
    fleet.platform.isBlocked = (other) => hosts.has(other) && other !== host
    mesh.on({
      onSnapshot: () => {
        fleet.platform.isDown = true
        fleet.network.isPartitioned = () => true
      }
    })
    await fleet.apply(2)
    await fleet.until(() => mesh.snapshot().version === 2, 10_000, 'held by the relay')
    fleet.kill(index)
    const restarted = fleet.start(index)
    fleet.network.isPartitioned = (from, to) => ![from, to].includes(address)
    await fleet.run(5_000)
    t.false(restarted.mesh.readiness().ready)
    t.is(fleet.reverts, 0)
  })
}

/**
 * Guards against announcing a version to peers that die together with the announcer: all relays are partitioned when one
 * of them serves a new version, and are killed. Restarted, none of them may serve the previous version.
 */
for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`no restarted relay serves an older version than one that only relays served before all died, seed ${seed}`, async (t) => {
    const fleet = await Fleet.ready({ daemons: 8, dataCentres: 2, seed })
    const relays = fleet.relays()
    const addresses = new Set(relays.map(({ address }) => address))
    let isServed = false
    for (const { mesh } of relays) {
      mesh.on({
        onSnapshot: () => {
          isServed = true
          fleet.platform.isDown = true
          fleet.network.isPartitioned = (from, to) => addresses.has(from) || addresses.has(to)
        }
      })
    }
    await fleet.apply(2)
    await fleet.until(() => isServed, 10_000, 'served by a relay')
    fleet.kill(...relays.map(({ index }) => index))
    fleet.network.isPartitioned = () => false
    for (const { index } of relays) fleet.start(index)
    await fleet.run(10_000)
    t.is(fleet.reverts, 0)
    fleet.platform.isDown = false
    await fleet.untilActive(2)
  })
}

/** Datagrams that must have no effect: malformed, forged or inconsistent. */
const badDatagrams: { name: string, datagram: () => Uint8Array }[] = [
  { name: 'meaningless bytes', datagram: () => new Uint8Array(200).fill(7) },
  { name: 'no content', datagram: () => new Uint8Array() },
  { name: 'an undecodable body and a valid MAC', datagram: () => new MeshAuth('key').signDatagram(new Uint8Array(50).fill(255)) },
  { name: 'a body without a header', datagram: () => new MeshAuth('key').signDatagram(new Uint8Array()) },
  { name: 'a version signed with another key', datagram: () => pushOf(deltaOf(7), 'other key') },
  { name: 'an older version', datagram: () => pushOf(deltaOf(1, 3)) },
  { name: 'objects that don\'t match the root hash', datagram: () => pushOf({ ...deltaOf(7), changed: deltaOf(7).changed.slice(1) }) },
  { name: 'a delta that can\'t be inflated', datagram: () => signedPush({ delta: { content: { case: 'deflated', value: new Uint8Array(9).fill(255) } } }) },
  { name: 'a fact of an unknown kind', datagram: () => signedPush({ facts: [{ move: 'm', kind: 9 }] }) },
  { name: 'a truncated delegated list', datagram: () => signedPush({ delegated: new Uint8Array(7) }) },
  {
    name: 'a version with a reference to an object that it lacks',
    datagram: () => {
      const changed = deltaOf(7).changed.filter((object) => object.key !== 'service/s0')
      return pushOf({ ...deltaOf(7), changed, rootHash: rootHash(changed) })
    }
  }
]

for (const { name, datagram } of badDatagrams) {
  test(`a datagram with ${name} changes nothing`, async (t) => {
    const fleet = await Fleet.ready({ daemons: 6 })
    await fleet.untilActive(await fleet.apply(2))
    for (const { address } of fleet.members) fleet.network.inject(addressOf(1), address, datagram())
    await fleet.run(2_000)
    t.true(fleet.live().every((member) => member.mesh.snapshot().version === 2))
    t.true(fleet.live().every((member) => member.mesh.snapshot().objects.size === 4))
    await fleet.untilActive(await fleet.apply(3))
    t.deepEqual(fleet.errors, [])
  })
}

test('a MAC is valid only for one purpose, one context and unchanged bytes', (t) => {
  const auth = new MeshAuth('key')
  const body = new TextEncoder().encode('body')
  const mac = auth.computeMac('request', '/a', body)
  t.notThrows(() => auth.verify('request', '/a', body, mac))
  t.throws(() => auth.verify('request', '/b', body, mac), { any: true })
  t.throws(() => auth.verify('response', '/a', body, mac), { any: true })
  t.throws(() => auth.verify('request', '/a', body, mac.subarray(1)), { any: true })
  const signed = auth.signDatagram(body)
  for (let i = 0; i < signed.length; i++) {
    const changed = signed.slice()
    changed[i]! ^= 1
    t.throws(() => auth.verifyDatagram(changed), { any: true })
  }
})

test('a delta leads from each of the last 32 versions to the newest; older ones get the full configuration', (t) => {
  const store = new SnapshotStore()
  const roots: string[] = [store.snapshot.rootHash]
  for (let n = 1; n <= 40; n++) {
    const delta = deltaOf(n, 1 + n % 5)
    t.is(store.apply(delta).kind, 'held')
    roots.push(store.snapshot.rootHash)
  }
  t.is(store.deltaSince(39, roots[39]!).from, 39)
  t.is(store.deltaSince(3, roots[3]!).from, 0, 'too old')
  t.is(store.deltaSince(39, 'other content').from, 0, 'same number, other content')
  const lagging = new SnapshotStore()
  for (let n = 1; n <= 20; n++) lagging.apply(deltaOf(n, 1 + n % 5))
  t.is(lagging.apply(unpackDelta(packDelta(store.deltaSince(20, roots[20]!)))!).kind, 'held')
  t.is(lagging.snapshot.rootHash, store.snapshot.rootHash)
  t.is(lagging.apply(deltaOf(39)).kind, 'old')
})

test('the subtrees of a push contain each member exactly once', (t) => {
  fc.assert(fc.property(fc.nat(300), fc.option(fc.integer({ min: 1, max: 50 })), (count, max) => {
    const members = Array.from({ length: count }, (_, i) => `m${i}`)
    const subtrees = splitIntoSubtrees(members, max ?? Infinity)
    t.deepEqual(subtrees.flat(), members)
    t.true(subtrees.every((subtree) => subtree.length > 0 && subtree.length <= Math.max(max ?? Infinity, 1)))
  }), { seed: 3 })
})

const rollback: MoveFact = { kind: 'rollback', move: 'm', reason: 'errors', at: 5, daemon: 'd1' }
const stage: MoveFact = { kind: 'stage', move: 'm', stage: 3, share: 0.2, at: 4 }

test('facts merge to the same store in any order and only grow', (t) => {
  const fact = fc.oneof(
    fc.record({ kind: fc.constant('stage' as const), move: fc.constantFrom('m', 'n'), stage: fc.nat(4), share: fc.constantFrom(0.1, 1), at: fc.nat(3) }),
    fc.record({ kind: fc.constant('rollback' as const), move: fc.constantFrom('m', 'n'), reason: fc.constantFrom('a', 'b'), at: fc.nat(3), daemon: fc.constantFrom('d', 'e') }),
    fc.record({ kind: fc.constant('outcome' as const), move: fc.constantFrom('m', 'n'), outcome: fc.constantFrom('done' as const, 'late' as const, 'takenBack' as const), reason: fc.constant('r'), at: fc.nat(3) })
  )
  fc.assert(fc.property(fc.array(fact, { maxLength: 10 }), (facts) => {
    const stores = [facts, facts.toReversed()].map((order) => {
      const store = new FactStore()
      for (const item of order) store.merge(item)
      return store
    })
    t.is(stores[0]!.digest, stores[1]!.digest)
    t.deepEqual(new Map([...stores[0]!.all].sort()), new Map([...stores[1]!.all].sort()))
    for (const item of facts) t.truthy(stores[0]!.all.get(item.move)![item.kind])
  }), { seed: 5, numRuns: 300 })
})

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`a rollback is known everywhere within 2 s on a lossy network and is recorded, seed ${seed}`, async (t) => {
    const fleet = await Fleet.ready({ daemons: 30, dataCentres: 3, seed })
    fleet.network.dropRate = 0.1
    fleet.members[4]!.mesh.publishFact(stage)
    fleet.members[9]!.mesh.publishFact(rollback)
    const known = (): boolean => fleet.live().every((member) => member.mesh.facts().get('m')?.rollback !== undefined)
    t.true(await fleet.until(known, 2_000, 'known') <= 2_000)
    const stored = () => fleet.platform.store.get(moveKey('m'))
    const recorded = () => stored() && decodeMoveRecord(stored()!.value)?.rollback
    await fleet.until(() => recorded() !== undefined, 10_000, 'recorded')
    t.is(recorded()!.reason, 'errors')
  })
}

test('guards against records of moves and accounts missing for good because the platform was restored from a backup', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const { store } = fleet.platform
  fleet.members[4]!.mesh.publishFact(rollback)
  const keys = [moveKey('m'), accountKey('dc0')]
  const areStored = (): boolean => keys.every((key) => store.get(key) !== undefined)
  await fleet.until(areStored, 10_000, 'written')
  await fleet.run(5_000)
  for (const key of keys) store.remove(key, store.get(key)!.revision)
  t.true(await fleet.until(areStored, 60_000, 'written again') > 0)
})

test('a daemon that missed the push of a fact gets it by an exchange within 5 s', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const isPush = (signed: Uint8Array): boolean => {
    return fromBinary(DatagramSchema, new MeshAuth('key').verifyDatagram(signed)).body.case === 'push'
  }
  fleet.network.tamper = (_from, to, signed) => to === addressOf(5) && isPush(signed) ? undefined : signed
  fleet.members[4]!.mesh.publishFact(rollback)
  t.true(await fleet.until(() => fleet.members[5]!.mesh.facts().has('m'), 5_000, 'known') > 200)
})

test('a restarted daemon knows a rollback before it is ready', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  fleet.members[4]!.mesh.publishFact(rollback)
  await fleet.run(20_000)
  const restart = (index: number) => {
    fleet.kill(index)
    const member = fleet.start(index)
    return new Promise<boolean>((resolve) => member.mesh.on({
      onReadiness: ({ ready }) => { if (ready) resolve(member.mesh.facts().get('m')?.rollback !== undefined) }
    }))
  }
  fleet.platform.isDown = true
  t.true(await fleet.awaitSettled(restart(7)), 'with the platform down')
  fleet.platform.isDown = false
  const all = fleet.members.map((member) => member.index).map(restart)
  t.deepEqual(await fleet.awaitSettled(Promise.all(all)), all.map(() => true), 'all at once with the platform up')
})

test('evidence reaches only the coordinator, and only its successor when it dies', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const got: string[] = []
  const stages = new Set<number | undefined>()
  for (const { id, mesh } of fleet.members) {
    mesh.on({
      onEvidence: (report) => {
        got.push(`${id}<${report.daemon}`)
        stages.add(report.stage)
      }
    })
  }
  const buckets = Array.from({ length: 200 }, (_, i) => i)
  const rows = Array.from({ length: 9 }, (_, i) => ({ route: `r${i}`, version: 'v2', calls: 5, errors: 1, buckets }))
  const send = async (): Promise<string[]> => {
    got.length = 0
    for (const { mesh, id } of fleet.live()) mesh.sendEvidence({ move: 'm', daemon: id, stage: 3, rows })
    await fleet.run(500)
    return [...new Set(got.map((entry) => entry.split('<')[0]!))]
  }
  const [first, ...others] = await send()
  t.deepEqual(others, [])
  t.is(new Set(got).size, 12)
  t.deepEqual([...stages], [3])
  t.deepEqual(fleet.live().filter((member) => member.mesh.isCoordinator('m')).map((member) => member.id), [first])
  fleet.kill(Number(first!.slice(1)))
  await fleet.run(10_000)
  const [next, ...more] = await send()
  t.not(next, first)
  t.deepEqual(more, [])
})

test('events and accounts can be fetched from the other daemons while the platform is down', async (t) => {
  const fleet = await Fleet.ready({ daemons: 8 })
  await fleet.run(10_000)
  fleet.platform.isDown = true
  const { mesh } = fleet.members[2]!
  const events = await fleet.awaitSettled(mesh.fetchEvents())
  t.deepEqual([...new Set(events.map((event) => event.daemon))].sort(), fleet.members.map((member) => member.id).sort())
  const accounts = await fleet.awaitSettled(mesh.fetchAccounts())
  t.deepEqual(accounts.map((account) => [account.dataCentre, account.inForce]).sort(), [['dc0', { 1: 4 }], ['dc1', { 1: 4 }]])
  await t.throwsAsync(fleet.awaitSettled(mesh.fetchEvents('nobody')), { any: true, message: /no daemon/ })
})
