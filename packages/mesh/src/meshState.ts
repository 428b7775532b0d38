import { errorCode, LentilwheelError, type Cancel, type EventType, type MoveFact } from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import { CHILD_TIMEOUT_MS, PIGGYBACK_COPIES } from './constants.js'
import type { MeshContext, SnapshotSource } from './context.js'
import { SnapshotStore, type VersionRefusal } from './dissemination/snapshotStore.js'
import { TreeBroadcaster } from './dissemination/treeBroadcaster.js'
import { FactStore } from './facts/factStore.js'
import { VersionFloor } from './floor/versionFloor.js'
import type { Header, Record as MemberRecord, Suspicion } from './gen/mesh_pb.js'
import { GossipQueue } from './membership/gossipQueue.js'
import { MemberTable } from './membership/memberTable.js'
import { relayRecipients } from './relay/election.js'
import type { MeshTransport } from './transport/meshTransport.js'
import type { MeshOptions } from './types.js'
import { meshAddress, type MeshAddress } from './wire/address.js'
import { MeshAuth } from './wire/meshAuth.js'
import { packDelta } from './wire/codec.js'
import { Messenger, type MessengerHooks, type GossipPayload } from './wire/messenger.js'

/** Callbacks by which `MeshNode` passes changes of the shared state on to the components. */
export interface StateHooks extends Pick<MessengerHooks, 'onDatagram' | 'onCall'> {
  /** Called for the header of each authenticated message; `from` is set only for datagrams. */
  onHeader (header: Header, from: MeshAddress | undefined): void
  onMembersChanged (): void
  onFactMerged (fact: MoveFact): void
  onVersionApplied (snapshot: Snapshot, source: SnapshotSource): void
  onVersionRefused (refusal: VersionRefusal): void
  isReady (): boolean
}

/** Changes of this daemon's own record within this time are sent as one push. */
const SELF_PUSH_DELAY_MS = 10
/** A relay waits between once and twice this long before it sends notices; it sends none if another relay's arrive meanwhile. */
const NOTICE_DELAY_MS = 200
/** Number of peers with waiting direct gossip at which all of it is dropped. */
const MAX_DIRECT_GOSSIP = 1_000

/**
 * State shared by the components of one daemon's mesh: the member table, the configuration, the facts about moves and the
 * version floor. Merges what messages carry into them and decides what is gossiped or pushed on.
 */
export class MeshState implements MeshContext {
  readonly opts: MeshOptions
  readonly table: MemberTable
  readonly snapshots = new SnapshotStore()
  readonly facts = new FactStore()
  readonly floor = new VersionFloor()
  readonly gossip: GossipQueue
  readonly messenger: Messenger
  readonly broadcaster: TreeBroadcaster
  readonly #hooks: StateHooks
  /** Gossip for one peer about itself: that it is suspected or has a tombstone. Sent with the next datagram to it. */
  readonly #directGossip = new Map<MeshAddress, GossipPayload>()
  #cancelSelfPush: Cancel | undefined
  #isStopped = false
  /** Highest version for which another relay sent a notice. */
  #noticedVersion = 0

  constructor (opts: MeshOptions, self: MemberRecord, transport: MeshTransport, hooks: StateHooks) {
    this.opts = opts
    this.#hooks = hooks
    this.table = new MemberTable(self)
    this.gossip = new GossipQueue({
      record: (id) => this.table.record(id),
      suspicion: (id) => {
        const member = this.table.get(id)
        return member && this.table.suspicionOf(member)
      }
    })
    this.messenger = new Messenger({
      auth: new MeshAuth(opts.meshKey),
      timers: opts.timers,
      random: opts.random,
      metrics: opts.metrics,
      transport,
      hooks: {
        header: () => this.header(),
        onHeader: (header, from) => this.#onHeader(header, from),
        piggyback: (to, maxBytes) => this.#piggyback(to, maxBytes),
        onGossip: (payload) => this.#mergeGossip(payload),
        onDatagram: hooks.onDatagram,
        onCall: hooks.onCall,
        onHandlerError: (err) => this.#onBackgroundError(err)
      }
    })
    this.broadcaster = new TreeBroadcaster({ messenger: this.messenger, table: this.table, random: opts.random, metrics: opts.metrics })
  }

  isStopped (): boolean {
    return this.#isStopped
  }

  runInBackground (task: Promise<unknown>): void {
    task.catch((err: unknown) => this.#onBackgroundError(err))
  }

  #onBackgroundError (err: unknown): void {
    this.opts.metrics.count('mesh.background_failed', 1, { code: errorCode(err) })
    if (err instanceof LentilwheelError) return
    this.opts.log.error('background task of the mesh failed', { err })
  }

  header (): Header {
    return {
      $typeName: 'lentilwheel.mesh.v1.Header',
      from: this.table.self.id,
      floor: this.floor.value,
      version: this.snapshots.snapshot.version,
      recordsDigest: this.table.digest,
      factsDigest: this.facts.digest,
      ready: this.#hooks.isReady()
    }
  }

  mergeRecords (records: readonly MemberRecord[], kind: 'gossip' | 'transfer'): void {
    let isChanged = false
    for (const record of records) {
      const result = this.table.merge(record, this.opts.timers.now())
      if (result === 'old') continue
      isChanged = true
      if (result === 'refute') this.#scheduleSelfPush()
      else if (kind === 'gossip') this.gossip.add('record', record.id, PIGGYBACK_COPIES)
      if (kind === 'gossip' && result === 'joined') this.recordMemberEvent('memberJoined', record)
      if (result === 'removed') this.recordMemberEvent('memberRemoved', record)
    }
    if (isChanged) this.#hooks.onMembersChanged()
  }

  /** Only relays record events of members, of their data centre: 3,000 copies of each would push other events out of the logs. */
  recordMemberEvent (type: EventType, member: MemberRecord): void {
    const { relay, dataCentre } = this.table.self
    if (relay > 0 && member.dataCentre === dataCentre) this.opts.events.record(type, { member: member.id })
  }

  mergeSuspicions (suspicions: readonly Suspicion[]): void {
    let isChanged = false
    for (const suspicion of suspicions) {
      const result = this.table.mergeSuspicion(suspicion, this.opts.timers.now())
      if (result === 'old') continue
      isChanged = true
      if (result === 'refute') this.gossip.add('record', this.table.self.id, this.gossipCopies())
      else this.gossip.add('suspicion', suspicion.subject, this.gossipCopies())
    }
    if (isChanged) this.#hooks.onMembersChanged()
  }

  /** Number of datagrams that carry an update which is not pushed through the tree. */
  gossipCopies (): number {
    return PIGGYBACK_COPIES + Math.ceil(Math.log2(this.table.size))
  }

  mergeFacts (facts: readonly MoveFact[]): void {
    for (const fact of facts) {
      if (this.facts.merge(fact)) this.#hooks.onFactMerged(fact)
    }
    this.facts.prune((move) => Object.hasOwn(this.snapshots.snapshot.config.moves, move))
  }

  changeSelf (change: Partial<MemberRecord>): void {
    this.table.updateSelf(change)
    this.#hooks.onMembersChanged()
    this.#scheduleSelfPush()
  }

  onVersionApplied (snapshot: Snapshot, source: SnapshotSource): void {
    this.floor.raise(snapshot.version)
    this.opts.metrics.gauge('mesh.version', snapshot.version)
    this.#hooks.onVersionApplied(snapshot, source)
  }

  onVersionRefused (refusal: VersionRefusal): void {
    this.opts.events.record('versionRefused', { version: refusal.version, reason: refusal.reason }, refusal.changeId)
    this.opts.metrics.count('mesh.refusals')
    this.#hooks.onVersionRefused(refusal)
  }

  /** Pushes the active version through the tree to all members of this daemon's data centre. */
  pushConfig (): void {
    const { dataCentre } = this.table.self
    const members = this.table.members().filter((member) => member.record.dataCentre === dataCentre)
    this.runInBackground(this.broadcaster.push({ delta: packDelta(this.snapshots.lastDelta()), fromHead: true }, members))
  }

  /**
   * Sends a notice of the new version to one relay of each other data centre. All relays watch the head, so only a data
   * centre whose relays can't read it needs the notice. The delay is random, and a relay sends none once it has received
   * a notice of the version itself.
   */
  notifyOtherDataCentres (): void {
    const { version } = this.snapshots.snapshot
    this.opts.timers.after(NOTICE_DELAY_MS * (1 + this.opts.random.next()), () => {
      if (version === this.snapshots.snapshot.version && version > this.#noticedVersion && !this.#isStopped) this.#sendNotices()
    })
  }

  /** Records that another relay sends the notices of this version. */
  onNotice (version: number): void {
    this.#noticedVersion = Math.max(this.#noticedVersion, version)
  }

  #sendNotices (): void {
    const dataCentres = new Set(this.table.members().map((member) => member.record.dataCentre))
    dataCentres.delete(this.table.self.dataCentre)
    for (const dataCentre of dataCentres) this.runInBackground(this.#sendNotice(dataCentre))
  }

  async #sendNotice (dataCentre: string): Promise<void> {
    for (const record of relayRecipients(this.table, dataCentre)) {
      const address = meshAddress(record.address, record.meshPort)
      if (await this.messenger.request(address, { case: 'notice', value: {} }, CHILD_TIMEOUT_MS)) return
    }
  }

  /** Pushes a record to all members that says that this daemon is gone. */
  async announceLeave (): Promise<void> {
    this.#cancelSelfPush?.()
    const self = this.table.updateSelf({ gone: true, relay: 0, endpoints: [] })
    await this.broadcaster.push({ records: [self] }, this.table.members())
  }

  async close (): Promise<void> {
    this.#isStopped = true
    this.#cancelSelfPush?.()
    await this.messenger.close()
  }

  #scheduleSelfPush (): void {
    this.gossip.add('record', this.table.self.id, PIGGYBACK_COPIES)
    this.#cancelSelfPush ??= this.opts.timers.after(SELF_PUSH_DELAY_MS, () => {
      this.#cancelSelfPush = undefined
      this.runInBackground(this.broadcaster.push({ records: [this.table.self] }, this.table.members()))
    })
  }

  #onHeader (header: Header, from: MeshAddress | undefined): void {
    if (header.from === this.table.self.id) return
    this.floor.raise(header.floor)
    this.#queueDirectGossip(header.from, from)
    const member = this.table.get(header.from)
    const before = member && this.table.status(member)
    if (member && (from === undefined || from === member.address)) {
      this.table.recordContact(header.from, this.opts.timers.now(), header)
    }
    if (member && this.table.status(member) !== before) this.#hooks.onMembersChanged()
    this.#hooks.onHeader(header, from)
  }

  /** If the sender is suspected or has a tombstone, the next datagram to it says so, which lets it refute that. */
  #queueDirectGossip (id: string, from: MeshAddress | undefined): void {
    if (from === undefined) return
    const member = this.table.get(id)
    const suspicion = member && this.table.suspicionOf(member)
    const record = member ? undefined : this.table.record(id)
    if (!suspicion && !record) return
    if (this.#directGossip.size >= MAX_DIRECT_GOSSIP) this.#directGossip.clear()
    this.#directGossip.set(from, { records: record ? [record] : [], suspicions: suspicion ? [suspicion] : [] })
  }

  #piggyback (to: MeshAddress, maxBytes: number): GossipPayload {
    const direct = this.#directGossip.get(to)
    if (!direct) return this.gossip.take(maxBytes)
    this.#directGossip.delete(to)
    return direct
  }

  #mergeGossip (payload: GossipPayload): void {
    if (payload.records.length > 0) this.mergeRecords(payload.records, 'gossip')
    if (payload.suspicions.length > 0) this.mergeSuspicions(payload.suspicions)
  }
}
