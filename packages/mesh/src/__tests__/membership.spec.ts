import { create } from '@bufbuild/protobuf'
import test from 'ava'
import fc from 'fast-check'
import type { Endpoint } from '@lentilwheel/core'
import { TOMBSTONE_MS } from '../constants.js'
import { RecordSchema, SuspicionSchema, type Record as MemberRecord } from '../gen/mesh_pb.js'
import { compareRecords } from '../membership/memberRecord.js'
import { MemberTable } from '../membership/memberTable.js'
import { addressOf, Fleet, type FleetMember } from './fakes/fleet.js'

function record (index: number, change: Partial<MemberRecord> = {}): MemberRecord {
  const dataCentre = `dc${index % 2}`
  return { ...create(RecordSchema, { id: `d${index}`, address: 1, meshPort: index, dataCentre, incarnation: 1, sequence: 1 }), ...change }
}

function tableOf (members: number): MemberTable {
  const table = new MemberTable(record(0))
  for (let i = 1; i < members; i++) table.merge(record(i), 0)
  return table
}

function suspect (table: MemberTable, index: number, observers: string[], now: number) {
  return table.mergeSuspicion(create(SuspicionSchema, { subject: `d${index}`, incarnation: 1, sequence: 1, observers }), now)
}

const ids = (table: MemberTable): string[] => table.members().map((member) => member.record.id)

test('records merge to the same table in any order', (t) => {
  const entry = fc.record({ index: fc.integer({ min: 1, max: 3 }), incarnation: fc.integer({ min: 1, max: 3 }), sequence: fc.integer({ min: 1, max: 3 }), gone: fc.boolean() })
  fc.assert(fc.property(fc.array(entry, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (entries, keys) => {
    const records = entries.map(({ index, ...change }) => record(index, change))
    const mixed = records.map((item) => ({ item, key: keys.next().value as number })).sort((a, b) => a.key - b.key)
    const one = tableOf(1)
    const two = tableOf(1)
    for (const item of records) one.merge(item, 0)
    for (const { item } of mixed) two.merge(item, 0)
    t.deepEqual(ids(one).sort(), ids(two).sort())
    t.is(one.digest, two.digest)
  }), { seed: 7, numRuns: 200 })
})

test('a member is removed only after the suspicion period and with three observers', (t) => {
  const rows = [
    { observers: ['a', 'b', 'c'], afterMs: 20_000, removed: true },
    { observers: ['a', 'b'], afterMs: 20_000, removed: false },
    { observers: ['a', 'b', 'c'], afterMs: 3_000, removed: false }
  ]
  for (const { observers, afterMs, removed } of rows) {
    const table = tableOf(10)
    suspect(table, 3, observers, 0)
    const changes = [...table.tick(afterMs)]
    t.is(changes.some((change) => change.kind === 'removed'), removed, observers.join())
    t.is(ids(table).includes('d3'), !removed)
  }
})

test('fewer observers suffice when fewer members can observe', (t) => {
  const table = new MemberTable(record(0))
  for (const index of [2, 4]) table.merge(record(index), 0)
  suspect(table, 2, ['d0', 'd4'], 0)
  t.is([...table.tick(20_000)].length, 1)
})

test('members of a data centre of which more than half is unreachable are kept, as for a partition', (t) => {
  const table = tableOf(10)
  for (const index of [1, 3, 5]) suspect(table, index, ['a', 'b', 'c'], 0)
  t.deepEqual([...table.tick(20_000)].map((change) => change.kind), ['partition'])
  t.is(table.size, 10)
  t.is(table.status(table.get('d1')!), 'unreachable')
  for (const index of [1, 3]) table.recordContact(`d${index}`, 21_000, { version: 0, ready: true })
  t.deepEqual([...table.tick(21_000)].map((change) => change.kind), ['healed'])
  t.deepEqual([...table.tick(22_000)], [], 'the rest gets a full suspicion period again')
})

test('a daemon refutes its suspicions and tombstones with a record that overrides them', (t) => {
  const table = tableOf(3)
  t.is(table.mergeSuspicion(create(SuspicionSchema, { subject: 'd0', incarnation: 1, sequence: 1, observers: ['d1'] }), 0), 'refute')
  for (const seen of [{ gone: true, sequence: 9 }, { incarnation: 50, sequence: 3 }, { incarnation: 60, gone: true }]) {
    t.is(table.merge(record(0, seen), 0), 'refute')
    t.true(compareRecords(table.self, record(0, seen)) > 0)
  }
})

test('a tombstone keeps the record of a removed run out until it expires', (t) => {
  const table = tableOf(3)
  table.merge(record(1, { gone: true }), 0)
  t.is(table.merge(record(1), 1_000), 'old')
  t.deepEqual([...table.tick(TOMBSTONE_MS)], [])
  t.is(table.merge(record(1), TOMBSTONE_MS), 'joined')
})

test('a dead daemon is removed everywhere, and one that a single other can\'t reach is not', async (t) => {
  const fleet = await Fleet.ready({ daemons: 16 })
  fleet.network.isPartitioned = (from, to) => [from, to].includes(addressOf(5)) && [from, to].includes(addressOf(6))
  fleet.kill(4)
  const gone = (): boolean => fleet.live().every((member) => !member.mesh.members().some((other) => other.id === 'd4'))
  await fleet.until(gone, 40_000, 'removed')
  await fleet.run(120_000)
  t.true(fleet.live().every((member) => member.mesh.members().length === 15))
  const views = fleet.live().map((member) => member.mesh.members().find((other) => other.id === 'd5')!.status)
  t.true(views.filter((status) => status === 'alive').length >= 12)
})

test('a daemon that was removed during a pause rejoins by itself', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const member = fleet.members[7]!
  member.host.pause()
  await fleet.run(60_000)
  t.false(fleet.members[1]!.mesh.members().some((other) => other.id === 'd7'))
  member.host.resume()
  await fleet.until(() => fleet.live().every((other) => other.mesh.members().length === 12), 20_000, 'back')
  t.pass()
})

function endpoint (daemon: string, state: Endpoint['state'], load?: number): Endpoint {
  const common = { address: '10.0.0.9', port: 80, dataCentre: 'dc0', slots: 6, connections: 100 }
  return { id: `${daemon}/a`, service: 's0', version: 'v1', state, ...common, ...(load === undefined ? {} : { load }) }
}

/** Guards against new calls to a draining target: all daemons must know within 3 s, even on a lossy network. */
test('a draining target is known everywhere within 3 s', async (t) => {
  const fleet = await Fleet.ready({ daemons: 40, dataCentres: 4 })
  const [member] = fleet.members
  const seen = (state: string): boolean => fleet.live().every((other) => {
    return other.mesh.endpoints().some((view) => view.id === 'd0/a' && view.state === state)
  })
  member!.mesh.setEndpoints([endpoint('d0', 'ready', 0.2)])
  t.true(await fleet.until(() => seen('ready'), 3_000, 'ready') <= 1_000)
  const before = fleet.network.bytes.datagrams
  member!.mesh.setEndpoints([endpoint('d0', 'ready', 0.7)])
  await fleet.run(100)
  t.true(fleet.network.bytes.datagrams - before < 2_000, 'a change of load is not pushed')
  fleet.network.dropRate = 0.1
  fleet.kill(11, 22)
  member!.mesh.setEndpoints([endpoint('d0', 'draining')])
  t.true(await fleet.until(() => seen('draining'), 3_000, 'draining') <= 3_000)
})

/** Guards against a push that is given up after one resend: gossip alone took 4 to 8 s. */
test('a draining target is known within 3 s by a daemon that loses all datagrams for a second', async (t) => {
  const fleet = await Fleet.ready({ daemons: 40, dataCentres: 4 })
  const [member] = fleet.members
  const delays: number[] = []
  for (const index of [5, 11, 17, 23, 29, 35, 38]) {
    member!.mesh.setEndpoints([endpoint('d0', 'ready')])
    await fleet.run(10_000)
    const until = fleet.timers.now() + 1_000
    const isLost = (to: string): boolean => to === addressOf(index) && fleet.timers.now() < until
    fleet.network.tamper = (_from, to, signed) => isLost(to) ? undefined : signed
    member!.mesh.setEndpoints([endpoint('d0', 'draining')])
    const seen = (): boolean => fleet.members[index]!.mesh.endpoints().some((view) => view.state === 'draining')
    delays.push(await fleet.until(seen, 20_000, 'draining'))
  }
  t.true(Math.max(...delays) <= 3_000, delays.join(' '))
})

test('a stopping daemon and its targets are removed everywhere at once', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  fleet.members[3]!.mesh.setEndpoints([endpoint('d3', 'ready')])
  await fleet.run(500)
  const stopped = fleet.awaitSettled(fleet.members[3]!.mesh.stop())
  await stopped
  fleet.kill(3)
  await fleet.run(100)
  t.true(fleet.live().every((member) => member.mesh.endpoints().length === 0 && member.mesh.members().length === 11))
})

/** Guards against overload of slow hosts: if timeouts are shorter than the round trips, retries add to the load that slows them. */
test('slow answers lengthen timeouts instead of causing more messages', async (t) => {
  const fleet = await Fleet.ready({ daemons: 24 })
  fleet.network.delayMs = 350
  await fleet.run(60_000)
  const before = fleet.network.bytes.datagrams
  await fleet.run(20_000)
  t.true((fleet.network.bytes.datagrams - before) / 24 / 20 < 1_000)
  t.true(fleet.live().every((member) => member.mesh.members().every((other) => other.status === 'alive')))
})

test('a record too large for a datagram does not block other gossip', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const long = 'x'.repeat(100)
  const many = Array.from({ length: 10 }, (_, i) => ({ ...endpoint('d2', 'ready'), id: `d2/${i}${long}`, service: long, version: long }))
  fleet.members[2]!.mesh.setEndpoints(many)
  fleet.members[3]!.mesh.setEndpoints([endpoint('d3', 'draining')])
  const countOf = (member: FleetMember, id: string): number => {
    return member.mesh.endpoints().filter((view) => view.id.startsWith(`${id}/`)).length
  }
  await fleet.until(() => fleet.live().every((member) => countOf(member, 'd2') === 8), 1_000, 'at most 8 of d2')
  fleet.kill(9)
  await fleet.until(() => fleet.live().every((member) => member.mesh.members().length === 11), 40_000, 'd9 removed')
  t.true(fleet.live().every((member) => countOf(member, 'd3') === 1))
})

/** Guards against endless refutation: two daemons with one id each override the other's record as fast as the network delivers. */
test('two daemons with one id do not flood the mesh', async (t) => {
  const fleet = await Fleet.ready({ daemons: 12 })
  const identity = { id: 'd3', address: '10.0.0.1', ports: { mesh: 2_000 }, dataCentre: 'dc1', region: 'r' }
  const { host } = fleet.members[3]!
  fleet.start(12, { identity })
  await fleet.run(5_000)
  const before = fleet.network.bytes.datagrams
  await fleet.run(10_000)
  t.true((fleet.network.bytes.datagrams - before) / 13 / 10 < 2_048)
  host.kill()
})
