import { create } from '@bufbuild/protobuf'
import type {
  Cancel, Endpoint, EndpointView, EvidenceReport, MoveFact, MoveFacts, TimelineEvent
} from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import type { Account } from '@lentilwheel/platform'
import { MAX_ENDPOINTS, PROBE_PERIOD_MS } from './constants.js'
import type { SnapshotSource } from './context.js'
import { addressOf, Dispatcher } from './dispatcher.js'
import { Puller } from './dissemination/puller.js'
import { byUse, differInState, EndpointViews } from './endpointViews.js'
import { fetchAccounts, fetchEvents } from './events/fetch.js'
import { sendEvidence } from './evidence/evidenceRouter.js'
import { Starter } from './floor/starter.js'
import { RecordSchema, type Header, type Record as MemberRecord } from './gen/mesh_pb.js'
import { Exchanger } from './membership/exchanger.js'
import { Prober } from './membership/prober.js'
import type { MemberStatus, MembershipEffect } from './membership/table.js'
import { MeshState } from './meshState.js'
import { coordinatorOf } from './relay/election.js'
import { RelayRole } from './relay/relayRole.js'
import { StatusCollector } from './status/collector.js'
import { StatusReporter } from './status/reporter.js'
import type { MeshTransport } from './transport/transport.js'
import type { MemberView, Mesh, MeshListener, MeshOptions, Readiness } from './types.js'
import { ipToNumber, numberToIp, type MeshAddress } from './wire/address.js'
import { endpointToWire, factToWire } from './wire/codec.js'

/** Changes of membership within this time reach the listener as one list of endpoints. */
const ENDPOINTS_DELAY_MS = 10
/** Longest that stopping waits for the others to hear of it. */
const LEAVE_LIMIT_MS = 1_500

/** The mesh of one daemon over any transport; `createMesh` gives it the real one. */
export class MeshNode implements Mesh {
  readonly #opts: MeshOptions
  readonly #state: MeshState
  readonly #dispatcher: Dispatcher
  readonly #prober: Prober
  readonly #exchanger: Exchanger
  readonly #puller: Puller
  readonly #starter: Starter
  readonly #relay: RelayRole
  readonly #reporter: StatusReporter
  readonly #views = new EndpointViews()
  readonly #listeners: MeshListener[] = []
  #endpointsDue: Cancel | undefined
  #cancelTick: Cancel = () => {}

  constructor (opts: MeshOptions, transport: MeshTransport) {
    this.#opts = opts
    this.#state = new MeshState(opts, ownRecord(opts), transport, {
      observed: (header, from) => this.#observed(header, from),
      membersChanged: () => this.#membersChanged(),
      factMerged: (fact) => this.#emit((listener) => listener.onFact?.(fact)),
      snapshotHeld: (snapshot, source) => this.#snapshotHeld(snapshot, source),
      versionRefused: (refusal) => this.#reporter.refused(refusal),
      isReady: () => this.#starter.readiness.ready,
      onDatagram: (from, datagram) => this.#dispatcher.datagram(from, datagram),
      onCall: async (method, req) => await this.#dispatcher.call(method, req)
    })
    const ctx = this.#state
    const collector = new StatusCollector()
    this.#prober = new Prober(ctx, (member) => {
      if (ctx.table.probeFailed(member, opts.timers.now())) ctx.news.add('suspicion', member.record.id, ctx.gossipCopies())
      this.#membersChanged()
    })
    this.#exchanger = new Exchanger(ctx)
    this.#puller = new Puller(ctx)
    this.#starter = new Starter(ctx, this.#exchanger, (readiness) => this.#emit((listener) => listener.onReadiness?.(readiness)))
    this.#relay = new RelayRole(ctx, collector, {
      sawHead: () => this.#starter.sawHead(),
      sawFacts: () => this.#starter.sawFacts(),
      mayLead: () => this.#starter.mayLead
    })
    this.#reporter = new StatusReporter(ctx, collector)
    this.#dispatcher = new Dispatcher({
      ctx,
      collector,
      prober: this.#prober,
      exchanger: this.#exchanger,
      puller: this.#puller,
      starter: this.#starter,
      account: () => this.#relay.account(),
      deliverEvidence: (report) => this.#emit((listener) => listener.onEvidence?.(report))
    })
  }

  async start (): Promise<void> {
    await this.#state.messenger.listen()
    this.#prober.start()
    this.#exchanger.start()
    this.#relay.start()
    this.#starter.start()
    this.#cancelTick = this.#opts.timers.every(PROBE_PERIOD_MS, () => this.#tick(), { jitter: 0.1 })
  }

  async stop (): Promise<void> {
    this.#cancelTick()
    this.#prober.stop()
    this.#exchanger.stop()
    this.#starter.stop()
    this.#puller.stop()
    this.#reporter.stop()
    await Promise.race([
      Promise.all([this.#state.leave(), this.#relay.stop()]),
      new Promise<void>((resolve) => this.#opts.timers.after(LEAVE_LIMIT_MS, resolve))
    ])
    this.#endpointsDue?.()
    await this.#state.close()
  }

  snapshot (): Snapshot {
    return this.#state.holder.snapshot
  }

  readiness (): Readiness {
    return this.#starter.readiness
  }

  members (): MemberView[] {
    const { table, holder } = this.#state
    const self = memberView(table.self, 'alive', holder.snapshot.version)
    return [self, ...table.members().map((member) => memberView(member.record, table.status(member), member.version))]
  }

  endpoints (): readonly EndpointView[] {
    return this.#views.list(this.#state.table)
  }

  setEndpoints (own: readonly Endpoint[]): void {
    const { self } = this.#state.table
    const endpoints = [...own].sort(byUse).slice(0, MAX_ENDPOINTS).map((endpoint) => endpointToWire(endpoint, self.address))
    if (differInState(self.endpoints, endpoints)) this.#state.changeSelf({ endpoints })
  }

  facts (): ReadonlyMap<string, MoveFacts> {
    return this.#state.facts.all
  }

  publishFact (fact: MoveFact): void {
    if (!this.#state.facts.merge(fact)) return
    this.#emit((listener) => listener.onFact?.(fact))
    this.#state.detach(this.#state.spreader.push({ facts: [factToWire(fact)] }, this.#state.table.members()))
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
    return await fetchAccounts(this.#state, () => this.#relay.account())
  }

  #tick (): void {
    const { table, news } = this.#state
    const { metrics, timers } = this.#opts
    for (const effect of table.tick(timers.now())) {
      this.#recordMembership(effect)
      if (effect.kind === 'removed') news.add('record', effect.member.record.id, this.#state.gossipCopies())
      this.#membersChanged()
    }
    metrics.gauge('mesh.members', table.size)
  }

  #recordMembership (effect: MembershipEffect): void {
    const { events } = this.#opts
    if (effect.kind === 'removed') return this.#state.recordMember('memberRemoved', effect.member.record)
    if (!this.#relay.isRelay) return
    const { dataCentre } = effect
    if (effect.kind === 'healed') events.record('partitionHealed', { dataCentre })
    else events.record('partitionSuspected', { dataCentre, unreachable: effect.unreachable, members: effect.members })
  }

  #observed (header: Header, from: MeshAddress | undefined): void {
    this.#starter.answered(header)
    if (from) this.#exchanger.observe(header, from)
    const address = from ?? addressOf(this.#state, header)
    if (!address || header.version <= this.#state.holder.snapshot.version) return
    this.#puller.behind(address, header.version, 'pull', !this.#starter.readiness.ready)
  }

  #membersChanged (): void {
    this.#reporter.relayMayHaveChanged()
    this.#starter.check()
    this.#endpointsDue ??= this.#opts.timers.after(ENDPOINTS_DELAY_MS, () => {
      this.#endpointsDue = undefined
      const endpoints = this.endpoints()
      this.#emit((listener) => listener.onEndpoints?.(endpoints))
    })
  }

  #snapshotHeld (snapshot: Snapshot, source: SnapshotSource): void {
    const isPusher = source === 'notice' || source === 'head' || (source === 'pull' && this.#relay.isFirst)
    // Before the proxy takes it: a version that kills this process at once is on its way to the others.
    if (isPusher) this.#state.pushConfig()
    if (source === 'head') this.#state.notifyOthers()
    this.#emit((listener) => listener.onSnapshot?.(snapshot))
    this.#reporter.held(snapshot.version)
    this.#starter.check()
  }

  /** A fault of one listener must not stop the mesh or the other listeners. */
  #emit (call: (listener: MeshListener) => void): void {
    for (const listener of this.#listeners) {
      try {
        call(listener)
      } catch (err) {
        this.#opts.log.error('listener of the mesh failed', { err })
      }
    }
  }
}

function ownRecord (opts: MeshOptions): MemberRecord {
  const { id, address, ports, dataCentre, region } = opts.identity
  return create(RecordSchema, {
    id,
    address: ipToNumber(address),
    meshPort: ports.mesh,
    proxyPort: ports.proxy ?? 0,
    adminPort: ports.admin ?? 0,
    dataCentre,
    region,
    // A later run has a higher incarnation unless the clock stepped back; then this run raises its own when it hears.
    incarnation: Math.floor(opts.timers.wallNow() / 1000),
    sequence: 1
  })
}

function memberView (record: MemberRecord, status: MemberStatus, version: number): MemberView {
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
