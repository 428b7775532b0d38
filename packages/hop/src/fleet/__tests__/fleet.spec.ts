import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, testQuarantine } from '../../__tests__/fixtures.js'
import type { SyncMessage } from '../../link/messages.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { NewsSpreader } from '../../quarantine/newsSpreader.js'
import type { Quarantine } from '../../quarantine/quarantine.js'
import { EpochTracker } from '../../store/epochTracker.js'
import { Fleet } from '../fleet.js'
import { availableTarget, type Departure, type HostRecord, type TargetRecord } from '../hostRecord.js'

const FLEET_SIZE = 30
const TARGET: TargetRecord = { id: 'i', startedAt: 1_000, service: 's', version: 'v1', slots: 4, state: 'ready', coldMs: 0 }

const ONE_WAY_DELAY_MS = 20

/** Many daemons, each with its own `Fleet`, connected by simulated links with a fixed delay. */
class FleetSimulation {
  readonly timers = new VirtualTimers()
  readonly byHost = new Map<string, Fleet>()
  /** Ids of targets, by host, in the departures that peers reported to the daemon about its own host. */
  readonly departedIds = new Map<string, string[]>()
  /** Newest configuration version that each daemon has learned of from a peer. */
  readonly learnedVersions = new Map<string, number>()
  readonly quarantines = new Map<string, Quarantine>()
  messagesSent = 0
  recordsSent = 0
  /** Number of links that were checked. */
  checks = 0

  constructor (size: number) {
    for (let i = 0; i < size; i++) this.add(`h${i}`, i)
    const records = [...this.byHost.values()].map(({ own }) => own)
    for (const fleet of this.byHost.values()) fleet.merge(records)
    for (const fleet of this.byHost.values()) for (const { host } of records) if (host !== fleet.own.host) fleet.onLinkState(host, 1)
  }

  /** Advances the clock and lets pending messages arrive. */
  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      this.timers.advance(50)
      for (let i = 0; i < 10; i++) await Promise.resolve()
    }
  }

  resetCounts (): void {
    this.messagesSent = 0
    this.recordsSent = 0
  }

  add (host: string, n: number, incarnation = 1): void {
    const own: HostRecord = { host, dataCentre: `dc${n % 4}`, address: host, port: 1, incarnation, sequence: 0, stopping: false }
    // A daemon that has been replaced by a later start sends nothing more.
    const isRunning = (): boolean => this.byHost.get(host) === fleet
    const spreader = new NewsSpreader({ timers: this.timers, send: (news, peers) => fleet.sendQuarantineNews(news, peers) })
    const quarantine = testQuarantine(this.timers, { idPrefix: () => `${host}/${incarnation}`, onNews: (news, isOwn) => spreader.spread(news, isOwn) })
    this.quarantines.set(host, quarantine)
    const fleet: Fleet = new Fleet({
      quarantine,
      own,
      timers: this.timers,
      random: new SeededRandom(Math.imul(n + 1, 0x9e3779b1)),
      log: new NoopCallLog(),
      openLink: (peer) => ({
        get isUp () { return isRunning() },
        isRefused: false,
        endpoint: { address: peer, port: 1 },
        call: () => () => {},
        sync: async (message) => {
          await new Promise<void>((resolve) => { this.timers.after(ONE_WAY_DELAY_MS, resolve) })
          return this.#deliver(peer, message)
        },
        fetchConfig: async () => undefined,
        askQuota: () => {},
        askReach: () => {},
        keepAlive: () => {},
        reopen: () => {},
        check: () => { this.checks++ },
        close: () => {}
      }),
      ...NO_FLEET_EVENTS,
      onNewerPeerVersion: () => this.learnedVersions.set(host, Math.max(0, ...fleet.records().map((record) => fleet.configVersionOf(record.host)))),
      onDepartures: (departures) => this.departedIds.set(host, departures.map(({ id }) => id)),
      epochs: new EpochTracker(new NoopCallLog())
    })
    this.byHost.set(host, fleet)
  }

  #deliver (peer: string, message: SyncMessage): SyncMessage {
    const reply = this.byHost.get(peer)!.onSync(message)
    this.messagesSent += 2
    this.recordsSent += message.records.length + reply.records.length
    return reply
  }
}

test('guards against a configuration change costing a number of messages quadratic in the fleet size', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  await sim.advance(4_000)
  sim.resetCounts()
  for (const fleet of sim.byHost.values()) fleet.setConfigVersion(5, fleet.turnInDataCentres(2) !== undefined)
  await sim.advance(1_000)
  t.true(sim.messagesSent <= FLEET_SIZE * 12, `${sim.messagesSent} messages`)
  t.is(sim.recordsSent, 0)
})

test('guards against daemons exchanging all records when several targets change at the same time', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  await sim.advance(4_000)
  sim.resetCounts()
  const changed = [...sim.byHost.values()].slice(0, FLEET_SIZE / 3)
  for (const fleet of changed) fleet.setTarget(TARGET)
  await sim.advance(1_000)
  for (const { own } of changed) for (const fleet of sim.byHost.values()) t.is(fleet.record(own.host)?.target?.id, 'i')
  // Each change goes to each peer once; a few periodic exchanges may overlap with it and send it again.
  t.true(sim.recordsSent <= changed.length * FLEET_SIZE + 2 * FLEET_SIZE, `${sim.recordsSent} records`)
})

test('guards against a daemon that cannot reach the store never learning of a new configuration', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  const hosts = [...sim.byHost.keys()]
  await sim.advance(4_000)
  for (const host of hosts.slice(0, FLEET_SIZE / 2)) sim.byHost.get(host)!.setConfigVersion(5, false)
  await sim.advance(6_000)
  t.deepEqual(hosts.slice(FLEET_SIZE / 2).map((host) => sim.learnedVersions.get(host)), Array.from({ length: FLEET_SIZE / 2 }, () => 5))
})

test('guards against daemons never learning of a record that only one of them received', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  await sim.advance(4_000)
  const [first] = sim.byHost.values()
  const missed: HostRecord = { host: 'late', dataCentre: 'dc0', address: 'late', port: 1, incarnation: 1, sequence: 1, stopping: false, target: TARGET }
  first!.merge([missed])
  await sim.advance(12_000)
  for (const fleet of sim.byHost.values()) t.is(fleet.record('late')?.target?.id, 'i')
})

test('guards against a restarted daemon not getting its earlier departures back from peers, also after a second restart', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  const [host] = [...sim.byHost.keys()]
  await sim.advance(4_000)
  const beforeRestart = sim.byHost.get(host!)!
  beforeRestart.setTarget(TARGET)
  beforeRestart.setDepartures([{ id: 'i', startedAt: 1_000, state: 'gone' }])
  beforeRestart.setTarget(undefined)
  await sim.advance(2_000)
  for (const incarnation of [2, 3]) {
    sim.departedIds.clear()
    sim.add(host!, 0, incarnation)
    const restarted = sim.byHost.get(host!)!
    restarted.merge([sim.byHost.get([...sim.byHost.keys()][1]!)!.own])
    restarted.setStopping()
    await sim.advance(2_000)
    t.deepEqual(sim.departedIds.get(host!), ['i'], `start ${incarnation}`)
  }
})

test('guards against a daemon that has not found its peers yet performing the duties of the leader', async (t) => {
  const sim = new FleetSimulation(0)
  sim.add('z', 0)
  const fleet = sim.byHost.get('z')!
  t.is(fleet.rank(), 0)
  t.false(fleet.isWarmedUp)
  await sim.advance(500)
  t.false(fleet.isWarmedUp)
  await sim.advance(500)
  t.true(fleet.isWarmedUp)
})

test('guards against a departure that one daemon heard from the target being lost with the daemon beside it', async (t) => {
  const sim = new FleetSimulation(4)
  const [host, hearer] = [...sim.byHost.keys()]
  const departure: Departure = { id: 'i', startedAt: 1_000, state: 'draining' }
  sim.byHost.get(host!)!.setTarget(TARGET)
  await sim.advance(2_000)
  const fleet = sim.byHost.get(hearer!)!
  const isAvailable = (): boolean => availableTarget(fleet.record(host!)!) !== undefined
  t.true(isAvailable())
  fleet.recordDeparture(host!, departure)
  t.false(isAvailable())
  sim.byHost.get(host!)!.setTarget(TARGET)
  await sim.advance(2_000)
  t.false(isAvailable(), 'a record without the departure, as one that was sent before it')
  sim.add(host!, 0, 2)
  const restarted = sim.byHost.get(host!)!
  restarted.merge([fleet.own])
  restarted.setTarget(TARGET)
  await sim.advance(2_000)
  t.false(isAvailable(), 'a record of the restarted daemon')
  t.deepEqual(sim.departedIds.get(host!), ['i'], 'the restarted daemon hears of it')
  restarted.setTarget({ ...TARGET, startedAt: 2_000 })
  await sim.advance(2_000)
  t.true(isAvailable(), 'the target started again under its id')
})

const DEADLY = 'd'.repeat(24)

function standings (sim: FleetSimulation): string[] {
  return [...new Set([...sim.quarantines.values()].map((quarantine) => quarantine.standing(DEADLY)))]
}

for (const size of [14, FLEET_SIZE, 150]) {
  test(`guards against a daemon hearing late of a request that crashes targets, or at a cost that grows with the fleet: ${size} daemons`, async (t) => {
    const sim = new FleetSimulation(size)
    await sim.advance(4_000)
    sim.resetCounts()
    const messagesBefore = await countMessages(sim, 2_000)
    for (let i = 0; i < 3; i++) {
      sim.quarantines.get(`h${i}`)!.reportCrash('s', [DEADLY])
      await sim.advance(200)
    }
    await sim.advance(1_400)
    t.deepEqual(standings(sim), ['blocked'])
    const perDaemon = (sim.messagesSent - messagesBefore) / size
    t.true(perDaemon <= 40, `${perDaemon} messages for each daemon`)
  })
}

test('guards against a restarted daemon and one that was cut off never hearing of a request that crashes targets', async (t) => {
  const sim = new FleetSimulation(FLEET_SIZE)
  await sim.advance(4_000)
  for (let i = 0; i < 3; i++) {
    sim.quarantines.get('h0')!.reportCrash('s', [DEADLY])
    await sim.advance(200)
  }
  sim.add('h9', 9, 2)
  const fleet = sim.byHost.get('h9')!
  fleet.merge([sim.byHost.get('h0')!.own])
  fleet.onLinkState('h0', 1)
  await sim.advance(100)
  t.is(sim.quarantines.get('h9')!.standing(DEADLY), 'blocked')
})

/** Messages sent within a time in which nothing happens. */
async function countMessages (sim: FleetSimulation, ms: number): Promise<number> {
  await sim.advance(ms)
  const { messagesSent } = sim
  sim.resetCounts()
  return messagesSent
}

test('guards against a daemon checking none of its links, or all of them again and again, when some turn out to be silent', (t) => {
  const sim = new FleetSimulation(100)
  const [fleet] = sim.byHost.values()
  fleet!.onSilentLink()
  fleet!.onSilentLink()
  t.is(sim.checks, 64)
  sim.timers.advance(1_000)
  fleet!.onSilentLink()
  t.is(sim.checks, 128)
})
