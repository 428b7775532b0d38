import { create } from '@bufbuild/protobuf'
import type {
  Cancel, Endpoint, EndpointView, EvidenceReport, MoveFact, MoveFacts, TimelineEvent
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import type { Account } from '@lentilwheel/platform'
import { MAX_ENDPOINTS, PROBE_PERIOD_MS } from './constants.js'
import type { SnapshotSource } from './context.js'
import { senderAddress, Dispatcher } from './dispatcher.js'
import { ConfigPuller } from './dissemination/configPuller.js'
import { compareByUse, differInState, EndpointViewCache } from './endpointViewCache.js'
import { fetchAccounts, fetchEvents } from './events/fetchEvents.js'
import { sendEvidence } from './evidence/sendEvidence.js'
import { Bootstrapper } from './floor/bootstrapper.js'
import { RecordSchema, type Header, type Record as MemberRecord } from './gen/mesh_pb.js'
import { AntiEntropy } from './membership/antiEntropy.js'
import { Prober } from './membership/prober.js'
import type { MemberStatus, MembershipChange } from './membership/memberTable.js'
import { MeshState } from './meshState.js'
import { coordinatorOf } from './relay/election.js'
import { RelayRole } from './relay/relayRole.js'
import { StatusCollector } from './status/statusCollector.js'
import { StatusReporter } from './status/statusReporter.js'
import type { MeshTransport } from './transport/meshTransport.js'
import type { MemberView, Mesh, MeshListener, MeshOptions, Readiness } from './types.js'
import { ipToNumber, numberToIp, type MeshAddress } from './wire/address.js'
import { endpointToWire, factToWire } from './wire/codec.js'

/** Changes of membership within this time reach the listeners as one list of endpoints. */
const ENDPOINTS_DELAY_MS = 10
/** Longest time for which `stop` waits until peers have acknowledged the leave and the lease is released. */
const LEAVE_TIMEOUT_MS = 1_500

/**
 * The mesh of one daemon: creates its components, connects their callbacks and implements the public `Mesh` interface.
 * Works over any transport; `createMesh` passes the one with real sockets.
 */
export class MeshNode implements Mesh {
  readonly #opts: MeshOptions
  readonly #state: MeshState
  readonly #dispatcher: Dispatcher
  readonly #prober: Prober
  readonly #antiEntropy: AntiEntropy
  readonly #configPuller: ConfigPuller
  readonly #bootstrapper: Bootstrapper
  readonly #relayRole: RelayRole
  readonly #statusReporter: StatusReporter
  readonly #endpointViews = new EndpointViewCache()
  readonly #listeners: MeshListener[] = []
  #cancelEndpointsUpdate: Cancel | undefined
  #cancelTick: Cancel = () => {}

  constructor (opts: MeshOptions, transport: MeshTransport) {
    this.#opts = opts
    this.#state = new MeshState(opts, createSelfRecord(opts), transport, {
      onHeader: (header, from) => this.#onHeader(header, from),
      onMembersChanged: () => this.#onMembersChanged(),
      onFactMerged: (fact) => this.#emit((listener) => listener.onFact?.(fact)),
      onVersionApplied: (snapshot, source) => this.#onVersionApplied(snapshot, source),
      onVersionRefused: (refusal) => this.#statusReporter.onVersionRefused(refusal),
      isReady: () => this.#bootstrapper.readiness.ready,
      onDatagram: (from, datagram) => this.#dispatcher.onDatagram(from, datagram),
      onCall: async (method, req) => await this.#dispatcher.onCall(method, req)
    })
    const ctx = this.#state
    const collector = new StatusCollector()
    this.#prober = new Prober(ctx, (member) => {
      if (ctx.table.recordProbeFailure(member, opts.timers.now())) ctx.gossip.add('suspicion', member.record.id, ctx.gossipCopies())
      this.#onMembersChanged()
    })
    this.#antiEntropy = new AntiEntropy(ctx)
    this.#configPuller = new ConfigPuller(ctx)
    this.#bootstrapper = new Bootstrapper(
      ctx, this.#antiEntropy, (readiness) => this.#emit((listener) => listener.onReadiness?.(readiness))
    )
    this.#relayRole = new RelayRole(ctx, collector, {
      onHeadRead: () => this.#bootstrapper.onHeadRead(),
      onFactsLoaded: () => this.#bootstrapper.onFactsLoaded(),
      canBecomeRelay: () => this.#bootstrapper.canBecomeRelay
    })
    this.#statusReporter = new StatusReporter(ctx, collector)
    this.#dispatcher = new Dispatcher({
      ctx,
      collector,
      prober: this.#prober,
      antiEntropy: this.#antiEntropy,
      configPuller: this.#configPuller,
      bootstrapper: this.#bootstrapper,
      account: () => this.#relayRole.account(),
      deliverEvidence: (report) => this.#emit((listener) => listener.onEvidence?.(report))
    })
  }

  async start (): Promise<void> {
    await this.#state.messenger.listen()
    this.#prober.start()
    this.#antiEntropy.start()
    this.#relayRole.start()
    this.#bootstrapper.start()
    this.#cancelTick = this.#opts.timers.every(PROBE_PERIOD_MS, () => this.#tick(), { jitter: 0.1 })
  }

  async stop (): Promise<void> {
    this.#cancelTick()
    this.#prober.stop()
    this.#antiEntropy.stop()
    this.#bootstrapper.stop()
    this.#configPuller.stop()
    this.#statusReporter.stop()
    await Promise.race([
      Promise.all([this.#state.announceLeave(), this.#relayRole.stop()]),
      new Promise<void>((resolve) => this.#opts.timers.after(LEAVE_TIMEOUT_MS, resolve))
    ])
    this.#cancelEndpointsUpdate?.()
    await this.#state.close()
  }

  snapshot (): Snapshot {
    return this.#state.snapshots.snapshot
  }

  readiness (): Readiness {
    return this.#bootstrapper.readiness
  }

  members (): MemberView[] {
    const { table, snapshots } = this.#state
    const self = toMemberView(table.self, 'alive', snapshots.snapshot.version)
    return [self, ...table.members().map((member) => toMemberView(member.record, table.status(member), member.version))]
  }

  endpoints (): readonly EndpointView[] {
    return this.#endpointViews.list(this.#state.table)
  }

  setEndpoints (own: readonly Endpoint[]): void {
    const { self } = this.#state.table
    const endpoints = [...own].sort(compareByUse).slice(0, MAX_ENDPOINTS).map((endpoint) => endpointToWire(endpoint, self.address))
    if (differInState(self.endpoints, endpoints)) this.#state.changeSelf({ endpoints })
  }

  facts (): ReadonlyMap<string, MoveFacts> {
    return this.#state.facts.all
  }

  publishFact (fact: MoveFact): void {
    if (!this.#state.facts.merge(fact)) return
    this.#emit((listener) => listener.onFact?.(fact))
    this.#state.runInBackground(this.#state.broadcaster.push({ facts: [factToWire(fact)] }, this.#state.table.members()))
  }

  sendEvidence (report: EvidenceReport): void {
    sendEvidence(this.#state, report, (own) => this.#emit((listener) => listener.onEvidence?.(own)))
  }

  isCoordinator (move: string): boolean {
    return coordinatorOf(this.#state.table, move) === this.#state.table.self.id
  }

  on (listener: MeshListener): void {
    this.#listeners.push(listener)
  }

  async fetchEvents (daemon?: string): Promise<TimelineEvent[]> {
    return await fetchEvents(this.#state, daemon)
  }

  async fetchAccounts (): Promise<Account[]> {
    return await fetchAccounts(this.#state, () => this.#relayRole.account())
  }

  #tick (): void {
    const { table, gossip } = this.#state
    const { metrics, timers } = this.#opts
    for (const change of table.tick(timers.now())) {
      this.#recordMembershipChange(change)
      if (change.kind === 'removed') gossip.add('record', change.member.record.id, this.#state.gossipCopies())
      this.#onMembersChanged()
    }
    metrics.gauge('mesh.members', table.size)
  }

  #recordMembershipChange (change: MembershipChange): void {
    const { events } = this.#opts
    if (change.kind === 'removed') return this.#state.recordMemberEvent('memberRemoved', change.member.record)
    if (!this.#relayRole.isRelay) return
    const { dataCentre } = change
    if (change.kind === 'healed') events.record('partitionHealed', { dataCentre })
    else events.record('partitionSuspected', { dataCentre, unreachable: change.unreachable, members: change.members })
  }

  #onHeader (header: Header, from: MeshAddress | undefined): void {
    this.#bootstrapper.recordAnswer(header)
    if (from) this.#antiEntropy.compareDigests(header, from)
    const address = from ?? senderAddress(this.#state, header)
    if (!address || header.version <= this.#state.snapshots.snapshot.version) return
    this.#configPuller.onNewerVersion(address, header.version, 'pull', !this.#bootstrapper.readiness.ready)
  }

  #onMembersChanged (): void {
    this.#statusReporter.onMembersChanged()
    this.#bootstrapper.updateReadiness()
    this.#cancelEndpointsUpdate ??= this.#opts.timers.after(ENDPOINTS_DELAY_MS, () => {
      this.#cancelEndpointsUpdate = undefined
      const endpoints = this.endpoints()
      this.#emit((listener) => listener.onEndpoints?.(endpoints))
    })
  }

  #onVersionApplied (snapshot: Snapshot, source: SnapshotSource): void {
    const shouldPush = source === 'notice' || source === 'head' || (source === 'pull' && this.#relayRole.isPrimary)
    // Pushed before the listeners get it: the others receive the version even if applying it crashes this process.
    if (shouldPush) this.#state.pushConfig()
    if (source === 'head') this.#state.notifyOtherDataCentres()
    this.#emit((listener) => listener.onSnapshot?.(snapshot))
    this.#statusReporter.onVersionApplied(snapshot.version)
    this.#bootstrapper.updateReadiness()
  }

  /** Calls all listeners; an error thrown by one must not stop the mesh or the others. */
  #emit (call: (listener: MeshListener) => void): void {
    for (const listener of this.#listeners) {
      try {
        call(listener)
      } catch (err) {
        this.#opts.log.error('mesh listener threw an error', { err })
      }
    }
  }
}

function createSelfRecord (opts: MeshOptions): MemberRecord {
  const { id, address, ports, dataCentre, region } = opts.identity
  return create(RecordSchema, {
    id,
    address: ipToNumber(address),
    meshPort: ports.mesh,
    proxyPort: ports.proxy ?? 0,
    adminPort: ports.admin ?? 0,
    dataCentre,
    region,
    // Start time in seconds: a later run has a higher incarnation. If the clock was set back, this run raises its own
    // when it receives the record of the earlier one.
    incarnation: Math.floor(opts.timers.wallNow() / 1000),
    sequence: 1
  })
}

function toMemberView (record: MemberRecord, status: MemberStatus, version: number): MemberView {
  return {
    id: record.id,
    address: numberToIp(record.address),
    ports: { mesh: record.meshPort, proxy: record.proxyPort, admin: record.adminPort },
    dataCentre: record.dataCentre,
    region: record.region,
    status,
    isRelay: record.relay > 0,
    version
  }
}
