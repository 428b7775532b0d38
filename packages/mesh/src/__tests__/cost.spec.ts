import test from 'ava'
import { toBinary } from '@bufbuild/protobuf'
import { diffSnapshots } from '@lentilwheel/config'
import { PackedSchema } from '../gen/mesh_pb.js'
import { packDelta } from '../wire/codec.js'
import { Fleet } from './fakes/fleet.js'

/** Bytes that all daemons sent so far, by message. */
function sent (fleet: Fleet): Map<string, number> {
  const sums = new Map<string, number>()
  for (const { metrics } of fleet.members) {
    for (const [key, n] of metrics.counters) {
      if (key.startsWith('mesh.bytes_sent')) sums.set(key, (sums.get(key) ?? 0) + n)
    }
  }
  return sums
}

const total = (sums: Map<string, number>): number => [...sums.values()].reduce((sum, n) => sum + n, 0) + 0

test('a change costs less than three times its encoded difference per daemon', async (t) => {
  const daemons = 60
  const fleet = await Fleet.ready({ daemons, dataCentres: 4 })
  await fleet.run(60_000)
  const idleFrom = total(sent(fleet))
  await fleet.run(20_000)
  const idlePerSecond = (total(sent(fleet)) - idleFrom) / 20 / daemons
  const held = fleet.members[0]!.mesh.snapshot()
  const before = sent(fleet)
  const startedAt = fleet.timers.now()
  await fleet.inForce(await fleet.apply(2))
  await fleet.run(10_000 - (fleet.timers.now() - startedAt))
  const after = sent(fleet)
  const perDaemon = (total(after) - total(before)) / daemons - 10 * idlePerSecond
  const difference = toBinary(PackedSchema, packDelta(diffSnapshots(held, fleet.members[0]!.mesh.snapshot()))).length
  t.true(idlePerSecond < 2_048)
  t.true(perDaemon < 3 * difference)
})
