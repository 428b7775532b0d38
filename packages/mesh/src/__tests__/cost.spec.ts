import test from 'ava'
import { toBinary } from '@bufbuild/protobuf'
import { diffSnapshots } from '@lentilwheel/config'
import { PackedSchema } from '../gen/mesh_pb.js'
import { packDelta } from '../wire/codec.js'
import { Fleet } from './fakes/fleet.js'

/** Bytes sent so far by all daemons, by kind of message. */
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

test('per daemon, a change sends less than three times its encoded delta, and idling less than 2 KiB per second', async (t) => {
  const daemons = 60
  const fleet = await Fleet.ready({ daemons, dataCentres: 4 })
  await fleet.run(60_000)
  const idleFrom = total(sent(fleet))
  await fleet.run(20_000)
  const idlePerSecond = (total(sent(fleet)) - idleFrom) / 20 / daemons
  const held = fleet.members[0]!.mesh.snapshot()
  const before = sent(fleet)
  const startedAt = fleet.timers.now()
  await fleet.untilActive(await fleet.apply(2))
  await fleet.run(10_000 - (fleet.timers.now() - startedAt))
  const after = sent(fleet)
  const perDaemon = (total(after) - total(before)) / daemons - 10 * idlePerSecond
  const deltaBytes = toBinary(PackedSchema, packDelta(diffSnapshots(held, fleet.members[0]!.mesh.snapshot()))).length
  t.true(idlePerSecond < 2_048)
  t.true(perDaemon < 3 * deltaBytes)
})

/** Guards the platform's limit of 2,000 reads per second when a whole fleet starts, and against load that grows with the fleet. */
test('platform calls do not grow with the number of daemons', async (t) => {
  const counts = []
  for (const daemons of [20, 80]) {
    const fleet = new Fleet({ daemons, dataCentres: 2 })
    await fleet.apply(1)
    for (let i = 0; i < daemons; i++) fleet.start(i)
    await fleet.until(() => fleet.live().every((member) => member.mesh.readiness().ready), 30_000, 'ready')
    await fleet.run(30_000)
    const start = { ...fleet.platform.counts }
    await fleet.run(60_000)
    counts.push({ start, reads: fleet.platform.counts.reads - start.reads, writes: fleet.platform.counts.writes - start.writes })
  }
  const [few, many] = counts
  // If each daemon called the platform, four times the daemons would make four times the calls; variation stays below two.
  t.true(many!.start.reads < few!.start.reads * 2, JSON.stringify(counts))
  t.true(many!.start.writes < few!.start.writes * 2, JSON.stringify(counts))
  t.true(many!.reads < few!.reads * 2, JSON.stringify(counts))
  t.true(many!.writes < few!.writes * 2, JSON.stringify(counts))
})
