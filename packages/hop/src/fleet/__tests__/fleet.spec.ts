import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import type { SyncMessage } from '../../link/messages.js'
import { NoCallLog } from '../../observe/callLog.js'
import { Fleet } from '../fleet.js'
import type { HostRecord, TargetRecord } from '../records.js'

const SIZE = 30
const TARGET: TargetRecord = { id: 'i', service: 's', version: 'v1', slots: 4, state: 'ready', coldMs: 0 }

const WAY_MS = 20

/** Fleets of many daemons that talk to each other without a network. */
class Fleets {
  readonly timers = new VirtualTimers()
  readonly all = new Map<string, Fleet>()
  /** Leavings that a daemon heard of its own host. */
  readonly recalled = new Map<string, string[]>()
  /** Highest configuration version that each daemon has heard of from a peer. */
  readonly heard = new Map<string, number>()
  messages = 0
  records = 0

  constructor (size: number) {
    for (let i = 0; i < size; i++) this.add(`h${i}`, i)
    const records = [...this.all.values()].map(({ own }) => own)
    for (const fleet of this.all.values()) fleet.merge(records)
    for (const fleet of this.all.values()) for (const { host } of records) if (host !== fleet.own.host) fleet.onLinkState(host, true)
  }

  /** Lets pending messages arrive. */
  async settle (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      this.timers.advance(50)
      for (let i = 0; i < 10; i++) await Promise.resolve()
    }
  }

  reset (): void {
    this.messages = 0
    this.records = 0
  }

  add (host: string, n: number, incarnation = 1): void {
    const own: HostRecord = { host, dataCentre: `dc${n % 4}`, address: host, port: 1, incarnation, sequence: 0, stopping: false }
    const fleet: Fleet = new Fleet({
      own,
      timers: this.timers,
      random: new SeededRandom(Math.imul(n + 1, 0x9e3779b1)),
      log: new NoCallLog(),
      openLink: (peer) => ({
        isUp: true,
        target: { address: peer, port: 1 },
        call: () => () => {},
        sync: async (message) => {
          await new Promise<void>((resolve) => { this.timers.after(WAY_MS, resolve) })
          return this.#deliver(peer, message)
        },
        config: async () => undefined,
        upkeep: () => {},
        close: () => {}
      }),
      onChange: () => {},
      onPeerVersion: () => this.heard.set(host, Math.max(0, ...fleet.records().map((record) => fleet.configVersionOf(record.host)))),
      onLeavings: (leavings) => this.recalled.set(host, leavings.map(({ id }) => id)),
      onFact: () => {},
      orders: () => [],
      onOrder: () => {},
      onReport: () => {}
    })
    this.all.set(host, fleet)
  }

  #deliver (peer: string, message: SyncMessage): SyncMessage {
    const answer = this.all.get(peer)!.onSync(message)
    this.messages += 2
    this.records += message.records.length + answer.records.length
    return answer
  }
}

test('guards against a change of configuration costing messages in proportion to the square of the fleet', async (t) => {
  const fleets = new Fleets(SIZE)
  await fleets.settle(4_000)
  fleets.reset()
  for (const fleet of fleets.all.values()) fleet.setConfigVersion(5, fleet.rankNear() < 2)
  await fleets.settle(1_000)
  t.true(fleets.messages <= SIZE * 12, `${fleets.messages} messages`)
  t.is(fleets.records, 0)
})

test('guards against targets that change at the same time making daemons exchange whole tables', async (t) => {
  const fleets = new Fleets(SIZE)
  await fleets.settle(4_000)
  fleets.reset()
  const changed = [...fleets.all.values()].slice(0, SIZE / 3)
  for (const fleet of changed) fleet.setTarget(TARGET)
  await fleets.settle(1_000)
  for (const { own } of changed) for (const fleet of fleets.all.values()) t.is(fleet.record(own.host)?.target?.id, 'i')
  // Each change goes to each peer once; a few exchanges may cross it on its way.
  t.true(fleets.records <= changed.length * SIZE + 2 * SIZE, `${fleets.records} records`)
})

test('guards against a daemon that the store turns away never hearing of a new configuration', async (t) => {
  const fleets = new Fleets(SIZE)
  const hosts = [...fleets.all.keys()]
  await fleets.settle(4_000)
  for (const host of hosts.slice(0, SIZE / 2)) fleets.all.get(host)!.setConfigVersion(5, false)
  await fleets.settle(6_000)
  t.deepEqual(hosts.slice(SIZE / 2).map((host) => fleets.heard.get(host)), Array.from({ length: SIZE / 2 }, () => 5))
})

test('guards against a daemon whose table lacks another one staying so', async (t) => {
  const fleets = new Fleets(SIZE)
  await fleets.settle(4_000)
  const [first] = fleets.all.values()
  const lost: HostRecord = { host: 'late', dataCentre: 'dc0', address: 'late', port: 1, incarnation: 1, sequence: 1, stopping: false, target: TARGET }
  first!.merge([lost])
  await fleets.settle(12_000)
  for (const fleet of fleets.all.values()) t.is(fleet.record('late')?.target?.id, 'i')
})

test('guards against a daemon that restarts not hearing of the targets that left before, however late it asks', async (t) => {
  const fleets = new Fleets(SIZE)
  const [host] = [...fleets.all.keys()]
  await fleets.settle(4_000)
  const before = fleets.all.get(host!)!
  before.setTarget(TARGET)
  before.setLeavings([{ id: 'i', startedAt: 1_000, state: 'gone' }])
  before.setTarget(undefined)
  await fleets.settle(2_000)
  for (const incarnation of [2, 3]) {
    fleets.recalled.clear()
    fleets.add(host!, 0, incarnation)
    const restarted = fleets.all.get(host!)!
    restarted.merge([fleets.all.get([...fleets.all.keys()][1]!)!.own])
    restarted.setStopping()
    await fleets.settle(2_000)
    t.deepEqual(fleets.recalled.get(host!), ['i'], `start ${incarnation}`)
  }
})

test('guards against a daemon that knows no peer yet taking the duties of the first', async (t) => {
  const fleets = new Fleets(0)
  fleets.add('z', 0)
  const alone = fleets.all.get('z')!
  t.is(alone.rank(), 0)
  t.false(alone.isSettled)
  await fleets.settle(500)
  t.false(alone.isSettled)
  await fleets.settle(500)
  t.true(alone.isSettled)
})
