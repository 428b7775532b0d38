import test, { type ExecutionContext } from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, NO_LAG, testQuarantine, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import type { DaemonIdentity, SyncMessage } from '../../link/messages.js'
import { NodeHopServer } from '../../link/nodeHopServer.js'
import { NodePeerLink } from '../../link/nodePeerLink.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { quotaFleetView } from '../../quota/quotaFleetView.js'
import { EpochTracker } from '../../store/epochTracker.js'
import { Fleet } from '../fleet.js'
import type { HostRecord } from '../hostRecord.js'

const WARM_UP_MS = 1_000
const GONE_MS = 60_000
/** Steps of the clock in which a link comes up if it does. */
const MAX_ROUNDS = 200

function sync (from: string): SyncMessage {
  return { from, configVersion: 0, storeEpoch: 0, records: [], facts: [], orders: [], reports: [] }
}

function recordOf (host: string, port: number, incarnation: number, dataCentre = 'dc'): HostRecord {
  return { host, dataCentre, address: '127.0.0.1', port, incarnation, sequence: 1, stopping: false }
}

/** A server at an address of which the daemon can be exchanged, as when its host is lost and another gets the address. */
class Address {
  identity: DaemonIdentity
  readonly #server: NodeHopServer

  constructor (identity: DaemonIdentity) {
    this.identity = identity
    this.#server = new NodeHopServer({
      address: '127.0.0.1', port: 0, identity: () => this.identity, timers: new VirtualTimers(), queue: unlimitedQueue(), handler: {} as InboundHandler, log: new NoopCallLog(), lag: NO_LAG, isUp: () => true, deltaSince: () => undefined, onQuota: () => {}, onSync: () => sync(this.identity.host)
    })
  }

  async listen (): Promise<number> {
    await this.#server.listen()
    return this.#server.port
  }

  close (): void {
    this.#server.close()
  }
}

interface Setup {
  fleet: Fleet
  timers: VirtualTimers
  /** Opens an address with a daemon. */
  open (host: string, incarnation: number): Promise<{ address: Address, port: number }>
  /** Waits until the link to a host has come up, or has had ample time for it. */
  linked (host: string): Promise<void>
}

/** The fleet of host `z`, with real links. */
function setUp (t: ExecutionContext, ownPort = 1): Setup {
  const timers = new VirtualTimers()
  const log = new NoopCallLog()
  const fleet: Fleet = new Fleet({
    own: recordOf('z', ownPort, 100),
    timers,
    random: new SeededRandom(1),
    log,
    openLink: (host, address, port) => new NodePeerLink({ host, address, port, timers, log, queue: unlimitedQueue(), idlePingMs: () => 3_000, onStateChange: (peer, incarnation) => fleet.onLinkState(peer, incarnation), onSilent: () => {} }),
    ...NO_FLEET_EVENTS,
    epochs: new EpochTracker(log),
    quarantine: testQuarantine(timers)
  })
  t.teardown(() => fleet.close())
  return {
    fleet,
    timers,
    open: async (host, incarnation) => {
      const address = new Address({ host, incarnation })
      t.teardown(() => address.close())
      return { address, port: await address.listen() }
    },
    linked: async (host) => {
      for (let i = 0; i < MAX_ROUNDS && !fleet.isUp(host); i++) {
        timers.advance(50)
        await new Promise((resolve) => setTimeout(resolve, 1))
      }
    }
  }
}

test('guards against duties being assigned to lost hosts whose addresses went to others, several in a row and to another data centre', async (t) => {
  const { fleet, timers, open, linked } = setUp(t)
  const first = await open('n1', 11)
  const second = await open('n3', 13)
  // `a1`, then `a2`, then `n1` have had the first address; `b1` has had the second one.
  fleet.merge([recordOf('a1', first.port, 1), recordOf('a2', first.port, 2), recordOf('b1', second.port, 1)])
  fleet.merge([recordOf('n1', first.port, 11), recordOf('n3', second.port, 13, 'dc2')])
  await linked('n1')
  await linked('n3')
  timers.advance(WARM_UP_MS)
  t.deepEqual(fleet.live().map(({ host }) => host).sort(), ['n1', 'n3', 'z'])
  t.is(fleet.firstRanked(1)[0], 'n1', 'coordinator, and receiver of reports')
  t.deepEqual(fleet.turnInDataCentres(2), { position: 2, watchers: 3 })
  t.deepEqual(fleet.turnInFleet(3), { position: 2, watchers: 3 })
  t.is(fleet.live().length, 3, 'daemons that share the retry budget')
  t.deepEqual(quotaFleetView(fleet.records(), fleet), { candidates: ['z', 'n1', 'n3'], reachable: ['z', 'n1', 'n3'], unreachable: [] })
  timers.advance(GONE_MS + 1_000)
  t.deepEqual(fleet.goneHosts().sort(), ['a1', 'a2', 'b1'])
})

test('guards against a lost host counting as alive whose record arrives after that of the host that has its address', async (t) => {
  const { fleet, open, linked } = setUp(t)
  const { port } = await open('new', 5)
  fleet.merge([recordOf('new', port, 5)])
  await linked('new')
  fleet.merge([recordOf('lost', port, 1)])
  await linked('lost')
  t.false(fleet.isUp('lost'))
  t.true(fleet.isUp('new'))
})

test('guards against a new daemon taking itself for its predecessor at its address', async (t) => {
  const own = new Address({ host: 'z', incarnation: 100 })
  t.teardown(() => own.close())
  const port = await own.listen()
  const { fleet, linked } = setUp(t, port)
  fleet.merge([recordOf('predecessor', port, 1)])
  await linked('predecessor')
  t.false(fleet.isUp('predecessor'))
  t.is(fleet.firstRanked(1)[0], 'z')
  t.is(fleet.live().length, 1)
})

test('guards against a host that comes back elsewhere, after another got its address, being taken for lost', async (t) => {
  const { fleet, timers, open, linked } = setUp(t)
  const former = await open('new', 5)
  const present = await open('back', 9)
  fleet.merge([recordOf('back', former.port, 1)])
  timers.advance(GONE_MS + 1_000)
  await linked('back')
  timers.advance(GONE_MS + 1_000)
  t.deepEqual(fleet.goneHosts(), ['back'])
  fleet.merge([recordOf('back', present.port, 9)])
  t.deepEqual(fleet.goneHosts(), [], 'it has not had the time to be reached')
  await linked('back')
  t.true(fleet.isUp('back'))
})

test('guards against a daemon that restarted being held to what the daemon before it said', async (t) => {
  const { fleet, open, linked } = setUp(t)
  const { port } = await open('p', 2)
  fleet.merge([recordOf('p', port, 1)])
  fleet.onSync({ ...sync('p'), configVersion: 7, isStoreLost: true })
  t.is(fleet.configVersionOf('p'), 7)
  await linked('p')
  t.is(fleet.configVersionOf('p'), 0)
})
