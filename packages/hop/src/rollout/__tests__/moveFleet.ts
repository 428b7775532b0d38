import { SeededRandom, type VirtualTimers } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, testQuarantine } from '../../__tests__/fixtures.js'
import type { StoreCodec } from '../../daemon/storeCodec.js'
import { PeerLost } from '../../errors.js'
import { Fleet } from '../../fleet/fleet.js'
import type { PeerLink } from '../../fleet/fleetTypes.js'
import type { HostRecord } from '../../fleet/hostRecord.js'
import type { SyncMessage } from '../../link/messages.js'
import { SilenceDetector } from '../../link/silenceDetector.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { MoveController } from '../moveController.js'
import type { MoveState } from '../moveOrder.js'
import { ProcessTimers, SharedStore } from './sharedStore.js'

// Daemons that move a service to a new version, in virtual time: their real fleets and move controllers, with simulated
// links and a simulated store.

export const SERVICE = 's'
export const MOVE_KIND = 'moves'
const ONE_WAY_MS = 1
const REQUEST_TIMEOUT_MS = 700
const RUN_MS = 50
const SLOTS = 6

interface OrderStatus {
  state: MoveState
  givenAt: number
}

const CODEC: StoreCodec = {
  config: { kind: 'config', name: 'main' },
  moves: { kind: MOVE_KIND },
  evacuations: { kind: 'evacuations' },
  decodeConfig: () => undefined,
  decodeMove: ({ name, spec, status, revision }) => {
    const { to, durationMs } = spec as { to: string, durationMs: number }
    const { state, givenAt } = (status as OrderStatus | null) ?? { state: 'ordered', givenAt: revision.number }
    return { id: `${name}/${to}@${givenAt}`, givenAt, service: name, to, durationMs, state, revision }
  },
  decodeEvacuation: () => undefined,
  encodeMoveStatus: ({ givenAt }, state): OrderStatus => ({ state, givenAt: givenAt! })
}

/** `lost`: it has ended and says so, as its system refuses connections; `dark`: nothing comes back from it; `paused`: what reaches it waits. */
type HostState = 'running' | 'paused' | 'lost' | 'dark'

export class SimHost {
  readonly own: HostRecord
  readonly fleet: Fleet
  readonly moves: MoveController
  state: HostState = 'running'
  #waiting: (() => void)[] = []

  constructor (sim: MoveFleet, own: HostRecord, seed: number) {
    this.own = own
    const timers = new ProcessTimers(sim.timers, (fn) => this.run(fn))
    const log = new NoopCallLog()
    const store = sim.store.client(timers)
    this.fleet = new Fleet({
      ...NO_FLEET_EVENTS,
      own,
      timers,
      random: new SeededRandom(seed),
      log,
      openLink: (peer, address) => new SimLink(sim, this, peer, address),
      onChange: () => this.moves.setHosts(this.fleet.records()),
      onFact: (fact) => this.moves.onFact(fact),
      orders: () => this.moves.orders(),
      onOrder: (order, from) => this.moves.onOrder(order, from),
      onReport: (report) => this.moves.onReport(report),
      trustedVersions: () => this.moves.trustedVersions(),
      onTrustedVersions: (versions) => this.moves.onTrustedVersions(versions),
      epochs: store.epochs,
      quarantine: testQuarantine(timers)
    })
    this.moves = new MoveController({ fleet: this.fleet, store, codec: CODEC, timers, random: new SeededRandom(seed), log })
    this.moves.start()
  }

  /** Calls something in the process of the daemon. */
  run (fn: () => void): void {
    if (this.state === 'running') fn()
    else if (this.state === 'paused') this.#waiting.push(fn)
  }

  resume (): void {
    this.state = 'running'
    for (const fn of this.#waiting.splice(0)) fn()
  }
}

interface PendingSync {
  sentAt: number
  fail (): void
}

/** Link to the daemon of a host; the peer is found to be silent as by a real link. */
class SimLink implements PeerLink {
  readonly endpoint
  readonly #sim: MoveFleet
  readonly #owner: SimHost
  readonly #peer: string
  readonly #silence = new SilenceDetector()
  readonly #pending = new Set<PendingSync>()
  #isConnecting = false
  #isClosed = false
  #lastReceivedAt = 0
  isUp = false
  isRefused = false

  constructor (sim: MoveFleet, owner: SimHost, peer: string, address: string) {
    this.#sim = sim
    this.#owner = owner
    this.#peer = peer
    this.endpoint = { address, port: 1 }
    sim.links.add(this)
    this.reopen()
  }

  call (): () => void { return () => {} }
  async fetchConfig (): Promise<undefined> { return undefined }
  askQuota (): void {}
  askReach (): void {}

  async sync (message: SyncMessage): Promise<SyncMessage> {
    if (!this.isUp) throw new PeerLost('down')
    const { timers } = this.#sim
    return await new Promise((resolve, reject) => {
      const pending: PendingSync = { sentAt: timers.now(), fail: () => { if (this.#pending.delete(pending)) reject(new PeerLost('no reply')) } }
      this.#pending.add(pending)
      timers.after(REQUEST_TIMEOUT_MS, () => this.#owner.run(pending.fail))
      this.#send((peer) => {
        const reply = peer.fleet.onSync(structuredClone(message))
        this.#reply(peer, () => { if (this.#pending.delete(pending)) resolve(structuredClone(reply)) })
      })
    })
  }

  keepAlive (): void {
    if (!this.isUp) return this.reopen()
    const [oldest] = this.#pending
    const verdict = this.#silence.check({ now: this.#sim.timers.now(), lastReceivedAt: this.#lastReceivedAt, oldestSentAt: oldest?.sentAt, idlePingMs: this.#sim.idlePingMs ?? this.#owner.fleet.idlePingMs })
    if (verdict === 'ping') this.#ping()
    if (verdict !== 'silent') return
    this.#onDown()
    this.#owner.fleet.onSilentLink()
  }

  check (): void {
    const verdict = this.isUp ? this.#silence.checkEarly({ now: this.#sim.timers.now(), lastReceivedAt: this.#lastReceivedAt }) : undefined
    if (verdict) this.#ping()
  }

  reopen (): void {
    if (this.isUp || this.#isConnecting || this.#isClosed) return
    this.#isConnecting = true
    this.#sim.timers.after(REQUEST_TIMEOUT_MS, () => { this.#isConnecting = false })
    this.#send((peer) => this.#reply(peer, () => this.#onUp(peer.own.incarnation)))
  }

  close (): void {
    this.#isClosed = true
    this.#onDown()
  }

  /** The system of a host whose daemon has ended ends the connections to it. */
  onLost (host: SimHost): void {
    if (this.isUp && this.#peer === host.own.host) this.#sim.timers.after(ONE_WAY_MS, () => this.#owner.run(() => this.#onDown()))
  }

  #ping (): void {
    this.#send((peer) => this.#reply(peer, () => {}))
  }

  #send (fn: (peer: SimHost) => void): void {
    this.#sim.timers.after(ONE_WAY_MS, () => {
      const peer = this.#sim.at(this.endpoint.address)
      if (!peer || !this.#sim.isReached(this.#owner, peer)) return
      if (peer.own.host === this.#peer) peer.run(() => fn(peer))
      else this.#owner.run(() => this.#onDown())
    })
  }

  #reply (peer: SimHost, fn: () => void): void {
    this.#sim.timers.after(ONE_WAY_MS, () => {
      if (!this.#sim.isReached(peer, this.#owner)) return
      this.#owner.run(() => {
        this.#lastReceivedAt = this.#sim.timers.now()
        fn()
      })
    })
  }

  #onUp (incarnation: number): void {
    if (this.isUp || this.#isClosed) return
    this.isUp = true
    this.#owner.fleet.onLinkState(this.#peer, incarnation)
  }

  #onDown (): void {
    const wasUp = this.isUp
    this.isUp = false
    for (const { fail } of [...this.#pending]) fail()
    if (wasUp && !this.#isClosed) this.#owner.fleet.onLinkState(this.#peer, undefined)
  }
}

export interface MoveFleetOptions {
  seed: number
  /** Hosts at the start; the last third of them by name has targets of the service. */
  hosts: number
  /** Requests for the service in a second. */
  requestsPerS: number
  /** Share of the requests that the new version fails, from a moment on. */
  failingShare: number
  failingFromMs: number
  /** Silence after which an idle link is pinged, if more hosts are imitated than there are. */
  idlePingMs?: number
}

/** The daemons, and the requests that they route to the versions of the service. */
export class MoveFleet {
  readonly timers: VirtualTimers
  readonly store: SharedStore
  readonly links = new Set<SimLink>()
  readonly hosts: SimHost[] = []
  /** Pairs of hosts, sender first, between which nothing arrives. */
  readonly cuts = new Set<string>()
  readonly #opts: MoveFleetOptions
  readonly #random: SeededRandom
  readonly badAnswersAt: number[] = []
  /** When requests were sent to the new version. */
  readonly newRequestsAt: number[] = []
  requests = 0
  readonly idlePingMs: number | undefined

  constructor (timers: VirtualTimers, opts: MoveFleetOptions) {
    this.timers = timers
    this.#opts = opts
    this.idlePingMs = opts.idlePingMs
    this.#random = new SeededRandom(opts.seed)
    this.store = new SharedStore(timers)
    for (let n = 0; n < opts.hosts; n++) this.add(`h${String(n).padStart(3, '0')}`, n >= opts.hosts * 2 / 3 ? 'v1' : undefined)
    this.#meet(this.hosts)
    timers.every(1_000 / opts.requestsPerS, () => this.#request())
  }

  /** Starts a daemon, with a target of the service if it has a version; all others know of it, and it of the first ones. */
  add (host: string, version?: string, address = host): SimHost {
    const target = { id: `t-${host}`, startedAt: 1, service: SERVICE, version: version ?? '', slots: SLOTS, state: 'ready' as const, coldMs: 0 }
    const own: HostRecord = { host, dataCentre: `dc${this.hosts.length % 4}`, address, port: 1, incarnation: this.timers.wallNow(), sequence: 1, stopping: false, ...version === undefined ? {} : { target } }
    const added = new SimHost(this, own, this.#random.int(1_000_000))
    this.hosts.push(added)
    return added
  }

  /** Adds a host to those that run. */
  join (host: string, version?: string, address = host): SimHost {
    const added = this.add(host, version, address)
    this.#meet(this.hosts.filter(({ state }) => state === 'running'))
    return added
  }

  order (to: string, durationMs: number): void {
    this.store.put(MOVE_KIND, SERVICE, { to, durationMs })
  }

  get moveState (): MoveState | undefined {
    return (this.store.object(MOVE_KIND, SERVICE)?.status as OrderStatus | null | undefined)?.state
  }

  /** The host whose daemon coordinates moves. */
  get coordinator (): SimHost {
    return this.hosts.filter(({ state }) => state === 'running').sort((a, b) => a.own.host < b.own.host ? -1 : 1)[0]!
  }

  lose (host: SimHost, state: 'lost' | 'dark'): void {
    host.state = state
    if (state === 'lost') for (const link of this.links) link.onLost(host)
  }

  /** The host that has an address now. */
  at (address: string): SimHost | undefined {
    return this.hosts.findLast(({ own }) => own.address === address)
  }

  isReached (from: SimHost, to: SimHost): boolean {
    const isSilent = [from, to].some(({ state }) => state === 'lost' || state === 'dark')
    return !isSilent && !this.cuts.has(`${from.own.host} ${to.own.host}`)
  }

  /** Requests that were sent to the new version later than so long after its 50th bad answer. */
  lateRequests (boundMs: number): number {
    const fiftiethAt = this.badAnswersAt[49] ?? Infinity
    return this.newRequestsAt.filter((at) => at > fiftiethAt + boundMs).length
  }

  #meet (hosts: readonly SimHost[]): void {
    const records = hosts.map(({ own }) => own)
    for (const { fleet } of hosts) fleet.merge(records)
  }

  #request (): void {
    const running = this.hosts.filter(({ state }) => state === 'running')
    const origin = this.#random.pick(running)
    const choice = origin.moves.choose(SERVICE)
    const targets = running.filter(({ own }) => own.target && (choice?.accepts(own) ?? true))
    if (targets.length === 0) return
    this.requests++
    const host = this.#random.pick(targets)
    const target = host.own.target!
    const isNew = target.version === 'v2'
    const { failingShare, failingFromMs } = this.#opts
    const ok = !isNew || this.timers.now() < failingFromMs || this.#random.next() >= failingShare
    if (isNew) this.newRequestsAt.push(this.timers.now())
    this.timers.after(RUN_MS, () => {
      if (!ok) this.badAnswersAt.push(this.timers.now())
      host.run(() => host.moves.onResult(target, { route: 'r', ok, ms: RUN_MS, targetLatencyMs: 300 }))
    })
  }
}
