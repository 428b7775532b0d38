import { errorCode, LentilwheelError, type Cancel, type EventType, type MoveFact } from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import { CHILD_TIMEOUT_MS, PIGGYBACK_COPIES } from './constants.js'
import type { MeshContext, SnapshotSource } from './context.js'
import { ConfigHolder, type Refusal } from './dissemination/holder.js'
import { Spreader } from './dissemination/spreader.js'
import { FactStore } from './facts/factStore.js'
import { VersionFloor } from './floor/versionFloor.js'
import type { Header, Record as MemberRecord, Suspicion } from './gen/mesh_pb.js'
import { NewsQueue } from './membership/news.js'
import { MemberTable } from './membership/table.js'
import { relayAddressees } from './relay/election.js'
import type { MeshTransport } from './transport/transport.js'
import type { MeshOptions } from './types.js'
import { meshAddress, type MeshAddress } from './wire/address.js'
import { MeshAuth } from './wire/auth.js'
import { packDelta } from './wire/codec.js'
import { Messenger, type MessengerHooks, type News } from './wire/messenger.js'

/** What the slices do when the shared state changed. */
export interface StateHooks extends Pick<MessengerHooks, 'onDatagram' | 'onCall'> {
  /** An authenticated header came; the address is known when it came with a datagram. */
  observed (header: Header, from: MeshAddress | undefined): void
  membersChanged (): void
  factMerged (fact: MoveFact): void
  snapshotHeld (snapshot: Snapshot, source: SnapshotSource): void
  versionRefused (refusal: Refusal): void
  isReady (): boolean
}

/** Changes of the own record within this time go out as one push. */
const SELF_PUSH_DELAY_MS = 10
/** Relays wait between once and twice this long before they send notices. */
const NOTICE_DELAY_MS = 200
/** Receivers for whom direct news is kept until something is sent to them. */
const MAX_DIRECT_NEWS = 1_000

/** State that the slices of one daemon share, and the rules by which messages change it. */
export class MeshState implements MeshContext {
  readonly opts: MeshOptions
  readonly table: MemberTable
  readonly holder = new ConfigHolder()
  readonly facts = new FactStore()
  readonly floor = new VersionFloor()
  readonly news: NewsQueue
  readonly messenger: Messenger
  readonly spreader: Spreader
  readonly #hooks: StateHooks
  /** What a receiver must hear about itself: that it is suspected or held to be gone. */
  readonly #directNews = new Map<MeshAddress, News>()
  #selfPush: Cancel | undefined
  #stopped = false
  /** Highest version of which a notice came. */
  #noticed = 0

  constructor (opts: MeshOptions, self: MemberRecord, transport: MeshTransport, hooks: StateHooks) {
    this.opts = opts
    this.#hooks = hooks
    this.table = new MemberTable(self)
    this.news = new NewsQueue({
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
        observe: (header, from) => this.#observe(header, from),
        piggyback: (to, room) => this.#piggyback(to, room),
        absorb: (news) => this.#absorb(news),
        onDatagram: hooks.onDatagram,
        onCall: hooks.onCall,
        failed: (err) => this.#failed(err)
      }
    })
    this.spreader = new Spreader({ messenger: this.messenger, table: this.table, random: opts.random, metrics: opts.metrics })
  }

  isStopped (): boolean {
    return this.#stopped
  }

  detach (work: Promise<unknown>): void {
    work.catch((err: unknown) => this.#failed(err))
  }

  #failed (err: unknown): void {
    this.opts.metrics.count('mesh.background_failed', 1, { code: errorCode(err) })
    if (err instanceof LentilwheelError) return
    this.opts.log.error('background work of the mesh failed', { err })
  }

  header (): Header {
    return {
      $typeName: 'lentilwheel.mesh.v1.Header',
      from: this.table.self.id,
      floor: this.floor.value,
      version: this.holder.snapshot.version,
      recordsDigest: this.table.digest,
      factsDigest: this.facts.digest,
      ready: this.#hooks.isReady()
    }
  }

  mergeRecords (records: readonly MemberRecord[], as: 'rumour' | 'transfer'): void {
    let isChanged = false
    for (const record of records) {
      const result = this.table.merge(record, this.opts.timers.now())
      if (result === 'old') continue
      isChanged = true
      if (result === 'refute') this.#pushSelf()
      else if (as === 'rumour') this.news.add('record', record.id, PIGGYBACK_COPIES)
      if (as === 'rumour' && result === 'joined') this.recordMember('memberJoined', record)
      if (result === 'removed') this.recordMember('memberRemoved', record)
    }
    if (isChanged) this.#hooks.membersChanged()
  }

  /** Only relays record members of their data centre: 3,000 copies of each event would push all others out. */
  recordMember (type: EventType, member: MemberRecord): void {
    const { relay, dataCentre } = this.table.self
    if (relay > 0 && member.dataCentre === dataCentre) this.opts.events.record(type, { member: member.id })
  }

  mergeSuspicions (suspicions: readonly Suspicion[]): void {
    let isChanged = false
    for (const suspicion of suspicions) {
      const result = this.table.suspect(suspicion, this.opts.timers.now())
      if (result === 'old') continue
      isChanged = true
      if (result === 'refute') this.news.add('record', this.table.self.id, this.gossipCopies())
      else this.news.add('suspicion', suspicion.subject, this.gossipCopies())
    }
    if (isChanged) this.#hooks.membersChanged()
  }

  /** Copies of news that travels by datagrams alone. */
  gossipCopies (): number {
    return PIGGYBACK_COPIES + Math.ceil(Math.log2(this.table.size))
  }

  mergeFacts (facts: readonly MoveFact[]): void {
    for (const fact of facts) {
      if (this.facts.merge(fact)) this.#hooks.factMerged(fact)
    }
    this.facts.prune((move) => Object.hasOwn(this.holder.snapshot.config.moves, move))
  }

  changeSelf (change: Partial<MemberRecord>): void {
    this.table.updateSelf(change)
    this.#hooks.membersChanged()
    this.#pushSelf()
  }

  held (snapshot: Snapshot, source: SnapshotSource): void {
    this.floor.raise(snapshot.version)
    this.opts.metrics.gauge('mesh.version', snapshot.version)
    this.#hooks.snapshotHeld(snapshot, source)
  }

  refused (refusal: Refusal): void {
    this.opts.events.record('versionRefused', { version: refusal.version, reason: refusal.reason }, refusal.changeId)
    this.opts.metrics.count('mesh.refusals')
    this.#hooks.versionRefused(refusal)
  }

  /** Pushes the version held to the own data centre. */
  pushConfig (): void {
    const { dataCentre } = this.table.self
    const members = this.table.members().filter((member) => member.record.dataCentre === dataCentre)
    this.detach(this.spreader.push({ delta: packDelta(this.holder.lastDelta()), fromHead: true }, members))
  }

  /**
   * Tells a relay of each other data centre that the version rose. All relays watch the head, so notices matter only
   * to a data centre that can't read it: they wait, and one relay's notices make those of the others needless.
   */
  notifyOthers (): void {
    const { version } = this.holder.snapshot
    this.opts.timers.after(NOTICE_DELAY_MS * (1 + this.opts.random.next()), () => {
      if (version === this.holder.snapshot.version && version > this.#noticed && !this.#stopped) this.#notifyAll()
    })
  }

  /** Another relay sends the notices of this version. */
  noticed (version: number): void {
    this.#noticed = Math.max(this.#noticed, version)
  }

  #notifyAll (): void {
    const dataCentres = new Set(this.table.members().map((member) => member.record.dataCentre))
    dataCentres.delete(this.table.self.dataCentre)
    for (const dataCentre of dataCentres) this.detach(this.#notify(dataCentre))
  }

  async #notify (dataCentre: string): Promise<void> {
    for (const record of relayAddressees(this.table, dataCentre)) {
      const address = meshAddress(record.address, record.meshPort)
      if (await this.messenger.request(address, { case: 'notice', value: {} }, CHILD_TIMEOUT_MS)) return
    }
  }

  /** Tells everybody that this daemon leaves. */
  async leave (): Promise<void> {
    this.#selfPush?.()
    const self = this.table.updateSelf({ gone: true, relay: 0, endpoints: [] })
    await this.spreader.push({ records: [self] }, this.table.members())
  }

  async close (): Promise<void> {
    this.#stopped = true
    this.#selfPush?.()
    await this.messenger.close()
  }

  #pushSelf (): void {
    this.news.add('record', this.table.self.id, PIGGYBACK_COPIES)
    this.#selfPush ??= this.opts.timers.after(SELF_PUSH_DELAY_MS, () => {
      this.#selfPush = undefined
      this.detach(this.spreader.push({ records: [this.table.self] }, this.table.members()))
    })
  }

  #observe (header: Header, from: MeshAddress | undefined): void {
    if (header.from === this.table.self.id) return
    this.floor.raise(header.floor)
    this.#tellSender(header.from, from)
    const member = this.table.get(header.from)
    const before = member && this.table.status(member)
    if (member && (from === undefined || from === member.address)) {
      this.table.heard(header.from, this.opts.timers.now(), header)
    }
    if (member && this.table.status(member) !== before) this.#hooks.membersChanged()
    this.#hooks.observed(header, from)
  }

  /** A sender that is suspected or held to be gone hears of it with the answer, so that it can refute it. */
  #tellSender (id: string, from: MeshAddress | undefined): void {
    if (from === undefined) return
    const member = this.table.get(id)
    const suspicion = member && this.table.suspicionOf(member)
    const record = member ? undefined : this.table.record(id)
    if (!suspicion && !record) return
    if (this.#directNews.size >= MAX_DIRECT_NEWS) this.#directNews.clear()
    this.#directNews.set(from, { records: record ? [record] : [], suspicions: suspicion ? [suspicion] : [] })
  }

  #piggyback (to: MeshAddress, room: number): News {
    const direct = this.#directNews.get(to)
    if (!direct) return this.news.take(room)
    this.#directNews.delete(to)
    return direct
  }

  #absorb (news: News): void {
    if (news.records.length > 0) this.mergeRecords(news.records, 'rumour')
    if (news.suspicions.length > 0) this.mergeSuspicions(news.suspicions)
  }
}
