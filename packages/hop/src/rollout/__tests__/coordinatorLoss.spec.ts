import test, { type ExecutionContext } from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { MoveFleet, SERVICE, type MoveFleetOptions, type SimHost } from './moveFleet.js'

const ROLLBACK_MS = 5_000
const EXPOSURE_SHARE = 0.1
const EXPOSURE_REQUESTS = 50
const DURATION_MS = 16_000
const ORDER_AT_MS = 3_000
/** When the hosts of the new version start, and when all know them, before the order. */
const NEW_HOSTS_AT_MS = -500
const STEP_MS = 10
/** Time in which a daemon that has started finds its peers. */
const WARM_UP_MS = 1_000
/** When a version that is bad late turns bad, after the order. */
const BAD_AT_MS = 3_000
/** Time that a move may take whose coordinator is lost: the next one begins the time of the present step anew. */
const MAX_GOOD_MS = 2 * DURATION_MS
/** Seeds in CI; more are played by hand. */
const SEEDS = Number(process.env['COORDINATOR_SEEDS'] ?? 1)

interface Scenario {
  /** What happens, by the time since the order. */
  events: Record<number, (sim: MoveFleet) => void>
  fleet: Omit<MoveFleetOptions, 'seed' | 'failingShare' | 'failingFromMs'>
  /** When the new version turns bad, after the order; undefined for a good one. */
  badAtMs?: number
  durationMs: number
}

const SMALL: Scenario['fleet'] = { hosts: 12, requestsPerS: 60 }
/** Load, and silence of idle links, of 195 hosts. */
const LARGE: Scenario['fleet'] = { hosts: 24, requestsPerS: 930, idlePingMs: 19_500 }

async function play (seed: number, { events, fleet, badAtMs = Infinity, durationMs }: Scenario): Promise<MoveFleet> {
  const timers = new VirtualTimers()
  const sim = new MoveFleet(timers, { ...fleet, seed, failingShare: 0.5, failingFromMs: ORDER_AT_MS + badAtMs })
  const addNewHosts = (): void => { for (let n = 0; n < fleet.hosts / 3; n++) sim.join(`n${String(n).padStart(3, '0')}`, 'v2') }
  const all: [number, (sim: MoveFleet) => void][] = [[NEW_HOSTS_AT_MS, addNewHosts], [0, () => sim.order('v2', DURATION_MS)], ...Object.entries(events).map(([at, happens]) => [Number(at), happens] as [number, typeof happens])]
  for (const [at, happens] of all.sort(([a], [b]) => a - b)) {
    await timers.advanceAsync(ORDER_AT_MS + at - timers.now(), STEP_MS)
    happens(sim)
  }
  await timers.advanceAsync(ORDER_AT_MS + durationMs - timers.now(), STEP_MS)
  return sim
}

function assertTakenBack (t: ExecutionContext, sim: MoveFleet, name: string): void {
  t.is(sim.lateRequests(ROLLBACK_MS), 0, `${name}: requests to the bad version later than ${ROLLBACK_MS} ms after its 50th bad answer, of ${sim.newRequestsAt.length}`)
  t.true(sim.newRequestsAt.length <= EXPOSURE_SHARE * sim.requests + EXPOSURE_REQUESTS, `${name}: ${sim.newRequestsAt.length} of ${sim.requests}`)
  t.is(sim.moveState, 'rolledBack', name)
}

const lost = (sim: MoveFleet): void => sim.lose(sim.coordinator, 'lost')
const dark = (sim: MoveFleet): void => sim.lose(sim.coordinator, 'dark')

function pauseFor (ms: number): (sim: MoveFleet) => void {
  return (sim) => {
    const host = sim.coordinator
    host.state = 'paused'
    sim.timers.after(ms, () => host.resume())
  }
}

/** Cuts the coordinator off from all others, in one direction, and heals that later. */
function cutFor (ms: number, direction: 'to' | 'from'): (sim: MoveFleet) => void {
  return (sim) => {
    const { host } = sim.coordinator.own
    for (const { own } of sim.hosts) sim.cuts.add(direction === 'to' ? `${own.host} ${host}` : `${host} ${own.host}`)
    sim.timers.after(ms, () => sim.cuts.clear())
  }
}

/** Loses the coordinator as soon as it knows how the move ends, before any other does. */
function loseAtEnd (state: 'lost' | 'dark'): (sim: MoveFleet) => void {
  return (sim) => {
    const { coordinator } = sim
    const cancel = sim.timers.every(1, () => {
      const order = coordinator.moves.orders().find(({ service }) => service === SERVICE)
      const facts = order && coordinator.fleet.facts.of(order.id)
      if (!facts?.rollback && !facts?.outcome) return
      cancel()
      sim.lose(coordinator, state)
    })
  }
}

/** Loses the coordinator; another host gets its address, with a target of the old version or none. */
function reuse (afterMs: number, version?: string): (sim: MoveFleet) => void {
  return (sim) => {
    const { coordinator } = sim
    sim.lose(coordinator, 'dark')
    sim.timers.after(afterMs, () => sim.join('h999', version, coordinator.own.address))
  }
}

function storeAwayFor (ms: number): (sim: MoveFleet) => void {
  return (sim) => {
    sim.store.isAway = true
    sim.timers.after(ms, () => { sim.store.isAway = false })
  }
}

function both (...events: ((sim: MoveFleet) => void)[]): (sim: MoveFleet) => void {
  return (sim) => events.forEach((happens) => happens(sim))
}

const MOMENTS = { 'before the order': -300, 'with the order': 0, 'before the first share': 150, 'at the first share': 1_500, 'as the version turns bad': BAD_AT_MS, 'while reports come in': BAD_AT_MS + 600 }
const LOSSES: Record<string, (sim: MoveFleet) => void> = {
  'is lost': lost,
  'goes dark': dark,
  'stalls for a second': pauseFor(1_000),
  'is paused for 8 s': pauseFor(8_000),
  'hears nothing for 6 s': cutFor(6_000, 'to'),
  'reaches nobody for 6 s': cutFor(6_000, 'from'),
  'is lost, and its address used at once': reuse(0),
  'is lost, and its address used 4 s later for the same service': reuse(4_000, 'v1'),
  'goes dark while the store is away': both(dark, storeAwayFor(4_000))
}

for (const [loss, happens] of Object.entries(LOSSES)) {
  test(`guards against a bad version staying when the coordinator of its move ${loss}, at any moment`, async (t) => {
    for (const [moment, at] of Object.entries(MOMENTS)) {
      for (let seed = 1; seed <= SEEDS; seed++) {
        const sim = await play(seed, { fleet: SMALL, badAtMs: BAD_AT_MS, durationMs: MAX_GOOD_MS, events: { [at]: happens } })
        assertTakenBack(t, sim, `${moment}, seed ${seed}`)
      }
    }
  })
}

const SERIES: Record<string, Scenario['events']> = {
  'three are lost in a row': { 2_900: dark, 3_300: dark, 3_700: lost },
  'it is lost while its end is being written': { 100: loseAtEnd('lost') },
  'it goes dark while its end is being written': { 100: loseAtEnd('dark') }
}

for (const [name, events] of Object.entries(SERIES)) {
  test(`guards against a bad version staying when coordinators go: ${name}`, async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      for (const fleet of [SMALL, LARGE]) assertTakenBack(t, await play(seed, { fleet, badAtMs: BAD_AT_MS, durationMs: 12_000, events }), `${fleet.hosts} hosts, seed ${seed}`)
    }
  })
}

test('guards against a bad version staying until the loss of its coordinator is noticed, at 195 hosts', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) assertTakenBack(t, await play(seed, { fleet: LARGE, badAtMs: BAD_AT_MS, durationMs: 12_000, events: { [BAD_AT_MS]: dark } }), `seed ${seed}`)
})

test('guards against a good version being taken back or left at its share when the coordinator goes dark, at 195 hosts', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const sim = await play(seed, { fleet: { ...LARGE, requestsPerS: 200 }, durationMs: MAX_GOOD_MS, events: { 4_000: dark } })
    t.is(sim.moveState, 'completed', `seed ${seed}`)
  }
})

test('guards against a good version being taken back when its coordinator is paused and comes back with what it knew', async (t) => {
  for (const at of [1_000, 6_000, 9_000, 11_500]) {
    const sim = await play(1, { fleet: SMALL, durationMs: MAX_GOOD_MS, events: { [at]: pauseFor(4_000) } })
    t.is(sim.moveState, 'completed', `paused at ${at}`)
  }
})

test('guards against two daemons that rank differently disagreeing about a move', async (t) => {
  const cut = (sim: MoveFleet): void => {
    const [first, second] = sim.hosts as [SimHost, SimHost]
    for (const pair of [[first, second], [second, first]]) sim.cuts.add(pair.map(({ own }) => own.host).join(' '))
  }
  for (let seed = 1; seed <= SEEDS; seed++) {
    assertTakenBack(t, await play(seed, { fleet: SMALL, badAtMs: BAD_AT_MS, durationMs: MAX_GOOD_MS, events: { 500: cut } }), `bad, seed ${seed}`)
    t.is((await play(seed, { fleet: SMALL, durationMs: MAX_GOOD_MS, events: { 500: cut } })).moveState, 'completed', `good, seed ${seed}`)
  }
})

test('guards against a daemon that has just started, and knows no peer yet, advancing a move', async (t) => {
  const sim = await play(1, { fleet: SMALL, durationMs: 500, events: {} })
  const peers = [...sim.hosts]
  const order = sim.coordinator.moves.orders()[0]!
  const started = sim.add('a000')
  for (const { own } of peers) for (const pair of [[own.host, 'a000'], ['a000', own.host]]) sim.cuts.add(pair.join(' '))
  started.fleet.merge(peers.map(({ own }) => own))
  started.moves.onOrder(order, 'a seed')
  await sim.timers.advanceAsync(WARM_UP_MS - 100, STEP_MS)
  t.deepEqual(started.fleet.facts.all(), [])
})
