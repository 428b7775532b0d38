import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, testQuarantine } from '../../__tests__/fixtures.js'
import { Fleet } from '../../fleet/fleet.js'
import type { HostRecord } from '../../fleet/hostRecord.js'
import { encode } from '../../link/codec.js'
import type { SyncMessage } from '../../link/messages.js'
import { readSyncMessage } from '../../link/readSyncMessage.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../../store/epochTracker.js'
import type { EvacuationRecord } from '../evacuationRecord.js'
import { Evacuations } from '../evacuations.js'

const FLEET_SIZE = 30
const ONE_WAY_DELAY_MS = 20
const ORDER: EvacuationRecord = { dataCentre: 'otaru', isOrdered: true, revision: { epoch: 1, number: 5 } }
const REMOVAL: EvacuationRecord = { ...ORDER, isOrdered: false, revision: { epoch: 1, number: 9 } }

/** Daemons that are connected by simulated links; messages of those that are cut off are lost. */
class Simulation {
  readonly timers = new VirtualTimers()
  readonly fleets = new Map<string, Fleet>()
  readonly evacuations = new Map<string, Evacuations>()
  readonly cutOff = new Set<string>()
  messages = 0
  bytes = 0

  constructor () {
    for (let i = 0; i < FLEET_SIZE; i++) this.start(`h${i}`)
    const records = [...this.fleets.values()].map(({ own }) => own)
    for (const fleet of this.fleets.values()) fleet.merge(records)
  }

  /** Starts a daemon, which knows nothing of what an earlier one on the host knew. */
  start (host: string, incarnation = 1): Fleet {
    const { timers } = this
    const epochs = new EpochTracker(new NoopCallLog())
    const own: HostRecord = { host, dataCentre: 'dc', address: host, port: 1, incarnation, sequence: 0, stopping: false }
    const evacuations = new Evacuations({ timers, epochs, log: new NoopCallLog(), onChange: (_changed, from) => fleet.sendEvacuations(from === 'store') })
    const isRunning = (): boolean => this.fleets.get(host) === fleet
    const fleet: Fleet = new Fleet({
      own,
      timers,
      epochs,
      evacuations,
      quarantine: testQuarantine(timers),
      random: new SeededRandom(this.fleets.size + 1),
      log: new NoopCallLog(),
      openLink: (peer) => ({
        get isUp () { return isRunning() },
        isRefused: false,
        endpoint: { address: peer, port: 1 },
        call: () => () => {},
        sync: async (message) => await this.#send(host, peer, message),
        fetchConfig: async () => undefined,
        askQuota: () => {},
        askReach: () => {},
        reopen: () => {},
        keepAlive: () => {},
        check: () => {},
        close: () => {}
      }),
      ...NO_FLEET_EVENTS
    })
    this.fleets.set(host, fleet)
    this.evacuations.set(host, evacuations)
    return fleet
  }

  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += ONE_WAY_DELAY_MS) {
      this.timers.advance(ONE_WAY_DELAY_MS)
      for (let i = 0; i < 10; i++) await Promise.resolve()
    }
  }

  /** Number of daemons to which the data centre is evacuated. */
  get informed (): number {
    return [...this.evacuations.values()].filter((evacuations) => evacuations.isEvacuated(ORDER.dataCentre)).length
  }

  async #send (from: string, to: string, message: SyncMessage): Promise<SyncMessage> {
    await new Promise<void>((resolve) => { this.timers.after(ONE_WAY_DELAY_MS, resolve) })
    if (this.cutOff.has(from) || this.cutOff.has(to)) throw new Error('cut off')
    this.messages++
    this.bytes += encode(message).length
    return this.fleets.get(to)!.onSync(message)
  }
}

test('guards against an order that one daemon has read reaching the others late, or in too many messages', async (t) => {
  const sim = new Simulation()
  await sim.advance(4_000)
  sim.messages = 0
  sim.evacuations.get('h0')!.merge([ORDER], 'store')
  await sim.advance(200)
  t.is(sim.informed, FLEET_SIZE)
  t.true(sim.messages <= FLEET_SIZE * 6, `${sim.messages} messages`)
})

test('guards against a daemon that was cut off bringing back an order that was removed meanwhile, or missing one', async (t) => {
  const sim = new Simulation()
  sim.evacuations.get('h0')!.merge([ORDER], 'store')
  await sim.advance(4_000)
  sim.cutOff.add('h7')
  sim.evacuations.get('h0')!.merge([REMOVAL], 'store')
  await sim.advance(4_000)
  t.is(sim.informed, 1)
  sim.cutOff.clear()
  await sim.advance(4_000)
  t.is(sim.informed, 0)
  sim.cutOff.add('h8')
  sim.evacuations.get('h0')!.merge([{ ...ORDER, revision: { epoch: 1, number: 12 } }], 'store')
  await sim.advance(1_000)
  sim.cutOff.clear()
  await sim.advance(4_000)
  t.is(sim.informed, FLEET_SIZE)
})

test('guards against a daemon that restarts learning of an evacuation only in a later exchange', async (t) => {
  const sim = new Simulation()
  sim.evacuations.get('h0')!.merge([ORDER], 'store')
  await sim.advance(1_000)
  const restarted = sim.start('h9', 2)
  restarted.merge(sim.fleets.get('h0')!.records())
  restarted.onLinkState('h3', 1)
  await sim.advance(3 * ONE_WAY_DELAY_MS)
  t.true(sim.evacuations.get('h9')!.isEvacuated(ORDER.dataCentre))
})

test('guards against messages growing on deployments without evacuations', async (t) => {
  const sim = new Simulation()
  const reply = sim.fleets.get('h0')!.onSync({ from: 'h1', configVersion: 0, storeEpoch: 0, records: [], facts: [], orders: [], reports: [], digest: 'other' })
  t.false('evacuations' in reply)
})

const badRecords: Record<string, unknown> = {
  null: null,
  'without a data centre': { ...ORDER, dataCentre: undefined },
  'with a line break in its name': { ...ORDER, dataCentre: 'a\nb' },
  'whose revision has no epoch': { ...ORDER, revision: 5 },
  'that says neither': { ...ORDER, isOrdered: 'yes' }
}
for (const [name, record] of Object.entries(badRecords)) {
  test(`guards against an invalid record of a peer being kept: one ${name}`, (t) => {
    const message = { from: 'p', configVersion: 0, storeEpoch: 0, records: [], facts: [], orders: [], reports: [], evacuations: [record, { ...ORDER, extra: 1 }] }
    const { evacuations } = readSyncMessage(message, { timers: new VirtualTimers(), log: new NoopCallLog() })
    t.deepEqual(evacuations, [ORDER])
  })
}
