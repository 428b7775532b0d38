import test, { type ExecutionContext } from 'ava'
import { createChange, checkConfig, toObjects } from '@lentilwheel/config'
import { acceptChange, HEAD_KEY, leaseKey, readHead } from '@lentilwheel/platform'
import { configOf, Fleet } from './fakes/fleet.js'

interface FaultCase {
  fault: string
  /** What must hold despite the fault. */
  guards: string
  run (fleet: Fleet, t: ExecutionContext): Promise<void>
  daemons?: number
  dataCentres?: number
}

const json = (value: unknown): Uint8Array => new TextEncoder().encode(JSON.stringify(value))

const cases: FaultCase[] = [
  {
    fault: 'the platform is down for a minute and comes back',
    guards: 'daemons stay ready with the active version, and the next change arrives once the platform is back',
    run: async (fleet, t) => {
      fleet.platform.isDown = true
      await fleet.run(60_000)
      t.true(fleet.live().every((member) => member.mesh.readiness().ready && member.mesh.snapshot().version === 1))
      fleet.platform.isDown = false
      await fleet.untilActive(await fleet.apply(2))
    }
  },
  {
    fault: 'the platform goes down between the writes of the bundle and of the head',
    guards: 'the change is accepted as a whole or not at all',
    run: async (fleet, t) => {
      const client = fleet.platform.client(fleet.operator)
      const base = await fleet.awaitSettled(readHead(client))
      const change = createChange(base.head, toObjects(checkConfig(configOf(2))), { id: 'x', author: 'a', acceptedAt: 0 })
      let writes = 0
      const failing = {
        ...client,
        put: async (...args: Parameters<typeof client.put>) => {
          fleet.platform.isDown = ++writes > 1
          return await client.put(...args)
        }
      }
      await t.throwsAsync(fleet.awaitSettled(acceptChange(failing, base, change)), { any: true })
      await fleet.run(5_000)
      fleet.platform.isDown = false
      await fleet.run(10_000)
      t.is((await fleet.awaitSettled(readHead(client))).head.version, 1)
      t.true(fleet.live().every((member) => member.mesh.snapshot().version === 1))
    }
  },
  {
    fault: 'the platform goes down right after a change was accepted',
    guards: 'the accepted version is active everywhere soon after the platform is back',
    run: async (fleet) => {
      const version = await fleet.apply(2)
      fleet.platform.isDown = true
      await fleet.run(20_000)
      fleet.platform.isDown = false
      await fleet.untilActive(version)
    }
  },
  {
    fault: 'the platform answers 3 s late',
    guards: 'a change arrives late but complete, and no lease is lost',
    run: async (fleet, t) => {
      fleet.platform.delayMs = 3_000
      await fleet.untilActive(await fleet.apply(2), 20_000)
      await fleet.run(30_000)
      t.true(fleet.relays().every((relay) => !fleet.eventTypes(relay.index).has('leaseLost')))
    }
  },
  ...(['ends', 'repeats'] as const).map((watchFault): FaultCase => ({
    fault: `each watch of the head ${watchFault} at once`,
    guards: 'no version is missed, and the platform is not flooded with watches',
    run: async (fleet, t) => {
      fleet.platform.watchFault = watchFault
      await fleet.untilActive(await fleet.apply(2))
      const before = fleet.platform.counts.reads
      await fleet.run(1_000)
      t.true(fleet.platform.counts.reads - before <= fleet.relays().length * 25)
      t.true(fleet.live().every((member) => member.versions.join() === [...new Set(member.versions)].join()))
    }
  })),
  {
    fault: 'versions are accepted faster than they propagate',
    guards: 'every daemon reaches the last version, although versions are skipped and pushes overlap',
    run: async (fleet) => {
      for (let n = 2; n < 8; n++) await fleet.apply(n)
      await fleet.untilActive(7)
    }
  },
  {
    fault: 'one data centre can\'t reach the platform',
    guards: 'a notice from another data centre brings each version within a second',
    daemons: 24,
    run: async (fleet, t) => {
      const cut = new Set(fleet.members.filter((member) => member.index % 2 === 1).map((member) => member.host))
      fleet.platform.isBlocked = (host) => cut.has(host)
      await fleet.run(40_000)
      for (let n = 2; n < 6; n++) t.true(await fleet.untilActive(await fleet.apply(n)) <= 1_000)
    }
  },
  {
    fault: 'a relay is paused for 40 s and resumes',
    guards: 'another daemon takes its lease with a higher token, and the resumed relay steps down',
    run: async (fleet, t) => {
      const relay = fleet.relays().find((member) => member.id.length > 0 && member.index % 2 === 0)!
      const tokens = (): number[] => [0, 1].map((slot) => {
        return JSON.parse(new TextDecoder().decode(fleet.platform.store.get(leaseKey('dc0', slot))!.value)).token
      })
      const before = tokens()
      relay.host.pause()
      await fleet.run(40_000)
      t.true(tokens().some((token, slot) => token > before[slot]!))
      await fleet.untilActive(await fleet.apply(2), 10_000, [relay])
      relay.host.resume()
      await fleet.untilActive(2)
      await fleet.until(() => fleet.relays().filter((member) => member.index % 2 === 0).length === 2, 20_000, 'two relays')
    }
  },
  {
    fault: 'all relays are killed at once',
    guards: 'other daemons read the platform within seconds instead of waiting for the leases to expire',
    daemons: 24,
    run: async (fleet, t) => {
      fleet.kill(...fleet.relays().map((relay) => relay.index))
      const version = await fleet.apply(2)
      t.true(await fleet.untilActive(version, 10_000) <= 5_000)
    }
  },
  {
    fault: 'half of all daemons are killed and restarted at once',
    guards: 'they are ready again within 5 s, and the next change reaches all',
    daemons: 24,
    run: async (fleet) => {
      const half = fleet.members.filter((member) => member.index % 4 < 2).map((member) => member.index)
      fleet.kill(...half)
      await fleet.run(1_000)
      for (const index of half) fleet.start(index)
      await fleet.until(() => fleet.live().every((member) => member.mesh.readiness().ready), 5_000, 'ready again')
      await fleet.untilActive(await fleet.apply(2))
    }
  },
  {
    fault: 'daemons are restarted one after the other while the platform is down',
    guards: 'each becomes ready with the active version, which it gets from its peers',
    run: async (fleet, t) => {
      await fleet.untilActive(await fleet.apply(2))
      fleet.platform.isDown = true
      for (const { index } of [...fleet.members]) {
        fleet.kill(index)
        await fleet.run(500)
        const member = fleet.start(index)
        await fleet.until(() => member.mesh.readiness().ready, 10_000, `${member.id} ready`)
        t.is(member.mesh.snapshot().version, 2)
      }
    }
  },
  {
    fault: 'all daemons are restarted at once with the platform up',
    guards: 'all become ready, and only a few read the platform',
    daemons: 24,
    run: async (fleet, t) => {
      await fleet.untilActive(await fleet.apply(2))
      fleet.kill(...fleet.members.map((member) => member.index))
      const before = fleet.platform.counts.reads
      for (const { index } of [...fleet.members]) fleet.start(index)
      await fleet.until(() => fleet.live().every((member) => member.mesh.readiness().ready), 10_000, 'ready')
      t.true(fleet.platform.counts.reads - before < 60)
    }
  },
  {
    fault: 'all daemons are restarted at once with the platform down',
    guards: 'none becomes ready with a version that may be old; all do once the platform is back',
    run: async (fleet, t) => {
      fleet.platform.isDown = true
      fleet.kill(...fleet.members.map((member) => member.index))
      for (const { index } of [...fleet.members]) fleet.start(index)
      await fleet.run(30_000)
      t.true(fleet.live().every((member) => !member.mesh.readiness().ready))
      fleet.platform.isDown = false
      await fleet.until(() => fleet.live().every((member) => member.mesh.readiness().ready), 10_000, 'ready')
    }
  },
  {
    fault: 'a data centre is partitioned from the others for 5 minutes',
    guards: 'no member is removed, and all see each other alive and reach a new version afterwards',
    daemons: 18,
    dataCentres: 3,
    run: async (fleet, t) => {
      const isFirstDataCentre = (address: string): boolean => (Number(address.split(':')[1]) - 1000) % 3 === 0
      fleet.network.isPartitioned = (from, to) => isFirstDataCentre(from) !== isFirstDataCentre(to)
      await fleet.run(300_000)
      t.true(fleet.live().every((member) => member.mesh.members().length === 18))
      t.true(fleet.members[0]!.mesh.endpoints().every((endpoint) => endpoint.reachable === (endpoint.dataCentre === 'dc0')))
      fleet.network.isPartitioned = () => false
      await fleet.untilActive(await fleet.apply(2))
      await fleet.until(() => fleet.live().every((member) => {
        return member.mesh.members().every((other) => other.status === 'alive')
      }), 60_000, 'all alive to all')
    }
  },
  {
    fault: 'the head is restored from a backup',
    guards: 'the newer version stays active, and the accounts report the old head to the operator',
    run: async (fleet, t) => {
      const backup = fleet.platform.store.get(HEAD_KEY)!.value
      await fleet.untilActive(await fleet.apply(2))
      fleet.platform.store.restore(HEAD_KEY, backup)
      for (const relay of fleet.relays()) fleet.kill(relay.index)
      await fleet.run(30_000)
      t.true(fleet.live().every((member) => member.mesh.snapshot().version === 2))
      const reports = ['dc0', 'dc1'].map((dataCentre) => fleet.account(dataCentre)!.refusals.map((refusal) => refusal.reason))
      t.true(reports.every((reasons) => reasons.some((reason) => reason.includes('restored from a backup'))))
    }
  },
  {
    fault: 'the head names a version with a reference to an object that it lacks',
    guards: 'the version is refused as a whole, the old one stays active, and the account lists the refusal',
    run: async (fleet, t) => {
      const stored = fleet.platform.store.get(HEAD_KEY)!
      const head = JSON.parse(new TextDecoder().decode(stored.value))
      delete head.objects['service/s0']
      fleet.platform.store.put(HEAD_KEY, json({ ...head, version: 2 }), stored.revision)
      await fleet.run(10_000)
      t.true(fleet.live().every((member) => member.mesh.snapshot().version === 1))
      t.is(fleet.account('dc0')!.refusals[0]!.version, 2)
    }
  },
  {
    fault: 'wall clocks are minutes apart and are set back',
    guards: 'restarted daemons override the records of their earlier runs, and changes still reach all',
    run: async (fleet) => {
      for (const member of fleet.members) member.host.wallOffsetMs = (member.index - 4) * 60_000
      fleet.timers.stepWall(-120_000)
      fleet.kill(5, 7)
      await fleet.run(500)
      const restarted = [5, 7].map((index) => fleet.start(index))
      await fleet.until(() => restarted.every((member) => member.mesh.readiness().ready), 5_000, 'ready')
      await fleet.untilActive(await fleet.apply(2))
      await fleet.until(() => fleet.live().every((member) => {
        return restarted.every(({ id }) => member.mesh.members().some((other) => other.id === id && other.status === 'alive'))
      }), 30_000, 'alive to all')
    }
  },
  {
    fault: 'a fifth of all datagrams is lost and a fifth arrives twice',
    guards: 'pushes are resent, and gossip, exchanges and pulls repair the rest',
    daemons: 24,
    run: async (fleet, t) => {
      Object.assign(fleet.network, { dropRate: 0.2, duplicateRate: 0.2 })
      for (let n = 2; n < 6; n++) t.true(await fleet.untilActive(await fleet.apply(n)) <= 6_000)
      const isCounted = (dataCentre: string): boolean => fleet.account(dataCentre)?.inForce['5'] === 12
      await fleet.until(() => isCounted('dc0') && isCounted('dc1'), 20_000, 'accounts count all daemons')
      await fleet.run(60_000)
      t.true(fleet.live().every((member) => member.mesh.members().length === 24))
    }
  }
]

for (const { fault, guards, run, daemons = 12, dataCentres = 2 } of cases) {
  test(`${fault}: ${guards}`, async (t) => {
    const fleet = await Fleet.ready({ daemons, dataCentres })
    await run(fleet, t)
    t.is(fleet.reverts, 0)
    t.deepEqual(fleet.errors, [])
    t.true(fleet.live().every(({ versions }) => versions.every((version, i) => i === 0 || version > versions[i - 1]!)))
  })
}

for (const seed of [1, 2, 3, 4]) {
  test(`guards against a paused relay that resumes after its lease expired and makes another one step down, seed ${seed}`, async (t) => {
    const fleet = await Fleet.ready({ daemons: 12, seed })
    const relaysOf = (): string[] => fleet.relays().filter(({ index }) => index % 2 === 0).map(({ id }) => id).sort()
    const holders = (): string[] => [0, 1].map((slot) => {
      return JSON.parse(new TextDecoder().decode(fleet.platform.store.get(leaseKey('dc0', slot))!.value)).holder
    })
    for (const paused of fleet.relays().filter(({ index }) => index % 2 === 0)) {
      paused.host.pause()
      await fleet.until(() => !holders().includes(paused.id), 40_000, 'another holder')
      const working = relaysOf().filter((id) => id !== paused.id)
      t.is(working.length, 2)
      // The resumed relay learns late that it lost its lease; until then the others take it for a relay.
      fleet.platform.delayMs = 1_500
      paused.host.resume()
      await fleet.run(20_000)
      fleet.platform.delayMs = 0
      t.deepEqual(relaysOf(), working, `after ${paused.id} resumed`)
      t.deepEqual(holders().sort(), working)
    }
  })
}
