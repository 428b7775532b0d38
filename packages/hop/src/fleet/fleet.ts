import { errorCode, type MoveFact } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { SyncMessage } from '../link/messages.js'
import type { QuarantineNews } from '../quarantine/quarantineNews.js'
import type { WatchTurn } from '../store/storeWatcher.js'
import { sample } from '../sample.js'
import { MoveFactSet } from './moveFactSet.js'
import { HostTable } from './hostTable.js'
import { firstHosts, WatchDuty } from './watchDuty.js'
import { PeerStates } from './peerStates.js'
import { SyncMessages } from './syncMessages.js'
import type { FleetOptions, PeerLink } from './fleetTypes.js'
import type { HostRecord, Departure, TargetRecord } from './hostRecord.js'

/** How often a daemon compares its records, facts and orders with those of one random peer. */
const EXCHANGE_INTERVAL_MS = 1_500
const KEEP_ALIVE_INTERVAL_MS = 200
/** Least silence after which an idle link is pinged. */
const MIN_IDLE_PING_MS = 3_000
/** With many peers the silence is this times their number, so that the pings of a daemon cost the same. */
const IDLE_PING_MS_PER_PEER = 100
/** Least time between a push and the next scheduled one; urgent changes are pushed at once. */
const MIN_PUSH_INTERVAL_MS = 400
/** Links that are pinged when one turned out to be silent, and the least time between two such rounds. */
const MAX_CHECKED_LINKS = 64
const MIN_CHECK_INTERVAL_MS = 1_000
/** Random peers that a daemon notifies of a new configuration version; each of them notifies others. */
const VERSION_FANOUT = 3
/** Random peers that a daemon tells of an evacuation of which it has heard from another one. */
const EVACUATION_FANOUT = 3
/** Time after the start in which a daemon knows too few peers to tell its rank among them. */
const WARM_UP_MS = 1_000

/**
 * What this daemon knows of the other daemons, and its links to them. Records, facts about moves and orders spread by
 * gossip: changes are pushed to all connected peers, and a periodic exchange with a random peer repairs what was missed.
 * Live daemons are ranked by host name, so that each can tell without an election which shared duties are its own.
 */
export class Fleet {
  readonly facts = new MoveFactSet()
  readonly #opts: FleetOptions
  readonly #table: HostTable
  readonly #watchDuty: WatchDuty
  readonly #links = new Map<string, PeerLink>()
  readonly #peers: PeerStates
  readonly #messages: SyncMessages
  readonly #startedAt: number
  #isPushScheduled = false
  #lastPushAt = -Infinity
  #checkedAt = -Infinity

  constructor (opts: FleetOptions) {
    this.#opts = opts
    this.#table = new HostTable(opts.own)
    this.#watchDuty = new WatchDuty(opts.timers)
    this.#peers = new PeerStates(opts.timers)
    this.#messages = new SyncMessages({ opts, table: this.#table, facts: this.facts, peers: this.#peers, watchDuty: this.#watchDuty })
    this.#startedAt = opts.timers.now()
    opts.epochs.onRise((from) => { if (from === 'store') this.schedulePush() })
    opts.timers.every(KEEP_ALIVE_INTERVAL_MS, () => { for (const link of this.#links.values()) link.keepAlive() }, { jitter: 0.2 })
    opts.timers.every(EXCHANGE_INTERVAL_MS, () => this.#exchangeWithRandomPeer(), { jitter: 0.3 })
  }

  get own (): HostRecord {
    return this.#table.own
  }

  records (): HostRecord[] {
    return this.#table.all()
  }

  record (host: string): HostRecord | undefined {
    return this.#table.get(host)
  }

  /** Records of the daemons that this one can reach, and its own. */
  live (): HostRecord[] {
    return this.records().filter((record) => this.isUp(record.host))
  }

  isUp (host: string): boolean {
    return host === this.own.host || (this.#links.get(host)?.isUp ?? false)
  }

  /** Whether the daemon of a host is known not to run at its address. */
  isRefused (host: string): boolean {
    return this.#links.get(host)?.isRefused ?? false
  }

  /** Whether the daemon has had time to find its peers; before that its rank is unreliable. */
  get isWarmedUp (): boolean {
    return this.#opts.timers.now() - this.#startedAt >= WARM_UP_MS
  }

  /** Number of daemons ranked before this one; 0 makes it the leader, which performs duties that only one daemon may have. */
  rank (): number {
    return this.#dutyCandidates().filter(({ host }) => host < this.own.host).length
  }

  /** Place of this daemon among those that watch something, so many in each data centre; undefined if it need not watch. */
  turnInDataCentres (perDataCentre: number): WatchTurn | undefined {
    return this.isWarmedUp ? this.#watchDuty.turnInDataCentres(this.own, this.#dutyCandidates(), perDataCentre) : undefined
  }

  /** Place of this daemon among those that watch something for the whole fleet; undefined if it need not watch. */
  turnInFleet (count: number): WatchTurn | undefined {
    return this.isWarmedUp ? this.#watchDuty.turn(this.own, [this.#dutyCandidates()], count) : undefined
  }

  /** Records whether this daemon can reach the store, and tells all peers if that has changed, as another one has to watch in its place. */
  setStoreLost (isLost: boolean): void {
    if (!this.#watchDuty.setStoreLost(this.own.host, isLost)) return
    this.#opts.log.decision('storeReach', { isLost })
    this.#push()
  }

  /** Hosts of the daemons ranked first, in order; the first one performs the duties of a single daemon. */
  firstRanked (count: number): string[] {
    return firstHosts(this.#dutyCandidates(), count)
  }

  /** Finds out whether the daemons ranked before this one still run, though nothing waits for them. */
  checkRankedBefore (): void {
    for (const { host } of this.#dutyCandidates()) if (host < this.own.host) this.#links.get(host)?.check()
  }

  /** Sends results of a service's versions to a daemon that watches its move; tells whether they have arrived. */
  async sendReports (host: string, reports: BriefReport[]): Promise<boolean> {
    return await this.#syncWith(host, { ...this.#messages.update([]), reports })
  }

  /** Hosts whose daemons have been unreachable for so long that they count as gone. */
  goneHosts (): string[] {
    return this.#peers.goneHosts()
  }

  /** Silence after which an idle link is pinged; grows with the number of peers. */
  get idlePingMs (): number {
    return Math.max(MIN_IDLE_PING_MS, this.#links.size * IDLE_PING_MS_PER_PEER)
  }

  link (host: string): PeerLink | undefined {
    return this.#links.get(host)
  }

  setTarget (target: TargetRecord | undefined): void {
    this.#table.setTarget(target)
    this.#push()
    this.#opts.onChange()
  }

  setDepartures (departures: Departure[]): void {
    this.#table.updateOwn({ leavings: departures })
  }

  /** Records that the target of another daemon said in a response that it leaves. */
  recordDeparture (host: string, departure: Departure): void {
    if (!this.#table.addDeparture(host, departure)) return
    this.#opts.log.decision('targetLeaving', { peer: host, target: departure.id, startedAt: departure.startedAt })
    this.#opts.onChange()
  }

  setStopping (): void {
    this.#table.updateOwn({ stopping: true })
    this.#push()
    this.#opts.onChange()
  }

  /** Active configuration version of a daemon according to its last message; 0 if unknown or none. */
  configVersionOf (host: string): number {
    return this.#peers.configVersionOf(host)
  }

  /**
   * Notifies a few random peers of this daemon's active configuration version, and all peers of the own data centre if
   * it came from the store. The others learn of it in later exchanges.
   */
  setConfigVersion (version: number, isFromStore: boolean): void {
    this.#peers.setConfigVersion(this.own.host, version)
    const nearby = isFromStore ? this.#upPeers().filter((host) => this.record(host)?.dataCentre === this.own.dataCentre) : []
    const message = this.#messages.update([])
    for (const host of new Set([...nearby, ...this.#randomPeers(VERSION_FANOUT)])) this.#syncWith(host, message)
  }

  /** Merges records received from the store or a peer. */
  merge (records: readonly HostRecord[]): void {
    let hasChanged = false
    for (const record of records) {
      if (record.host === this.own.host && record.leavings) this.#opts.onDepartures(record.leavings)
      const knownIncarnation = this.record(record.host)?.incarnation
      if (!this.#table.merge(record)) continue
      hasChanged = true
      if (record.incarnation !== knownIncarnation) this.#peers.clearUnreachable(record.host)
      if (record.host === this.own.host) this.#push()
      else this.#ensureLink(record, record.incarnation !== knownIncarnation)
    }
    if (hasChanged) this.#opts.onChange()
  }

  /** Forgets a daemon that is gone for good. */
  remove (host: string): void {
    if (!this.#table.remove(host)) return
    this.#links.get(host)?.close()
    this.#links.delete(host)
    this.#peers.remove(host)
    this.#opts.onChange()
  }

  /** Adds a fact decided by this daemon and pushes it to all peers. */
  publishFact (fact: MoveFact): void {
    if (!this.facts.add(fact)) return
    this.#opts.onFact(fact)
    this.#push()
  }

  /** Tells a few random peers what is new about requests that crash targets. */
  sendQuarantineNews (news: QuarantineNews, peers: number): void {
    for (const host of this.#randomPeers(peers)) this.#syncWith(host, { ...this.#messages.empty(), quarantine: news })
  }

  /** Tells peers of a changed evacuation at once: all of them if it was read from the store, else a few, as most hear of it from those that read it. */
  sendEvacuations (isFromStore: boolean): void {
    const message = this.#messages.empty()
    for (const host of isFromStore ? this.#upPeers() : this.#randomPeers(EVACUATION_FANOUT)) this.#syncWith(host, message)
  }

  /** Handles a peer's message; the reply holds everything known here if the peer's digest differs from the own one. */
  onSync (message: SyncMessage): SyncMessage {
    this.#apply(message)
    this.#links.get(message.from)?.reopen()
    const isDifferent = message.digest !== undefined && message.digest !== this.digest()
    const reply = isDifferent ? this.#messages.full() : { ...this.#messages.empty(), records: this.#recordToRestore(message) }
    return { ...reply, ...this.#quarantineFor(message) }
  }

  /** Everything known about requests that crash targets, if the sender asks and knows something else. */
  #quarantineFor ({ quarantineDigest }: SyncMessage): Pick<SyncMessage, 'quarantine'> {
    const { quarantine } = this.#opts
    const isDifferent = quarantineDigest !== undefined && quarantineDigest !== quarantine.digest() && quarantine.digest() !== ''
    return isDifferent ? { quarantine: quarantine.all() } : {}
  }

  /** The sender's record as known here, if it lists departures that the sender lost in a restart. */
  #recordToRestore ({ from, records }: SyncMessage): HostRecord[] {
    const sent = records.find(({ host }) => host === from)
    return sent && this.#table.hasDeparturesMissingIn(sent) ? [this.#table.get(from)!] : []
  }

  /** Called when the link to a peer came up, with the incarnation that the peer has, or went down, with undefined. */
  onLinkState (host: string, incarnation: number | undefined): void {
    if (incarnation === undefined) this.#onPeerDown(host)
    else this.#onPeerUp(host, incarnation)
    this.#opts.onChange()
  }

  #onPeerUp (host: string, incarnation: number): void {
    this.#peers.clearUnreachable(host)
    if (incarnation !== this.record(host)?.incarnation) this.#forgetReports(host)
    this.#opts.log.decision('peerUp', { peer: host, incarnation })
    this.#syncWith(host, this.#messages.welcome())
  }

  #onPeerDown (host: string): void {
    this.#peers.setUnreachable(host)
    this.#opts.log.decision('peerDown', { peer: host })
  }

  /** Forgets what the daemon of a host said of itself besides its record; a later start doesn't hold to it. */
  #forgetReports (host: string): void {
    this.#peers.forgetMessages(host)
    if (this.#watchDuty.setStoreLost(host, false)) this.#opts.onWatchersChange()
  }

  /**
   * Called when a link turned out to be dead although nothing had ended it. Often many go silent together, so others are pinged before they are
   * needed; not more than a number of them, as a host that is gone makes each of its peers do so.
   */
  onSilentLink (): void {
    const now = this.#opts.timers.now()
    if (now - this.#checkedAt < MIN_CHECK_INTERVAL_MS) return
    this.#checkedAt = now
    for (const host of this.#randomPeers(MAX_CHECKED_LINKS)) this.#links.get(host)?.check()
  }

  /** Exchanges all records with a daemon of which only the address is known; tells whether it answered. */
  async contactSeed (address: string, port: number): Promise<boolean> {
    const link = this.#opts.openLink('', address, port)
    try {
      this.#apply(await link.sync({ ...this.#messages.full(), digest: this.digest(), ...this.#messages.quarantineQuestion() }))
      return true
    } catch (err) {
      this.#opts.log.decision('seedUnreachable', { address, code: errorCode(err) })
      return false
    } finally {
      link.close()
    }
  }

  /** Fingerprint of everything known here that spreads; equal on daemons that know the same. */
  digest (): string {
    return this.#messages.digest()
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  /** Live daemons among which duties are assigned; one that is stopping gets none. */
  #dutyCandidates (): HostRecord[] {
    return this.live().filter((record) => !record.stopping)
  }

  /** Takes over everything that a message brings. */
  #apply (message: SyncMessage): void {
    if (message.storeEpoch > 0) this.#opts.epochs.observe(message.storeEpoch, 'peer')
    if (message.evacuations) this.#opts.evacuations?.merge(message.evacuations, message.from)
    // Before the records: a version that no order names mustn't get requests until this is known.
    if (message.trustedVersions) this.#opts.onTrustedVersions(message.trustedVersions)
    this.merge(message.records)
    if (this.#watchDuty.setStoreLost(message.from, message.isStoreLost === true)) this.#opts.onWatchersChange()
    this.#peers.setConfigVersion(message.from, message.configVersion)
    if (message.configVersion > this.configVersionOf(this.own.host)) this.#opts.onNewerPeerVersion()
    for (const fact of message.facts) if (this.facts.add(fact)) this.#opts.onFact(fact)
    for (const order of message.orders) this.#opts.onOrder(order, message.from)
    for (const report of message.reports) this.#opts.onReport(report)
    if (message.quarantine) this.#opts.quarantine.merge(message.quarantine)
  }

  /** Opens a link to the daemon, unless there is one to its current address; a broken one connects at once after a new start of the daemon. */
  #ensureLink ({ host, address, port }: HostRecord, isNewStart: boolean): void {
    const link = this.#links.get(host)
    if (link && link.endpoint.address === address && link.endpoint.port === port) {
      if (isNewStart) link.reopen()
      return
    }
    link?.close()
    this.#links.set(host, this.#opts.openLink(host, address, port))
  }

  /** Pushes changes to all peers a little later, so that several are sent together. */
  schedulePush (): void {
    if (this.#isPushScheduled) return
    this.#isPushScheduled = true
    const sinceLastPushMs = this.#opts.timers.now() - this.#lastPushAt
    this.#opts.timers.after(Math.max(0, MIN_PUSH_INTERVAL_MS - sinceLastPushMs), () => {
      this.#isPushScheduled = false
      this.#push()
    })
  }

  /** Sends the own record, all facts and all orders to every connected peer. */
  #push (): void {
    this.#lastPushAt = this.#opts.timers.now()
    const message = this.#messages.update([this.own])
    for (const [host, link] of this.#links) if (link.isUp) this.#syncWith(host, message)
  }

  #exchangeWithRandomPeer (): void {
    for (const host of this.#randomPeers(1)) this.#syncWith(host, { ...this.#messages.update([]), digest: this.digest(), ...this.#messages.quarantineQuestion() })
  }

  #upPeers (): string[] {
    return [...this.#links].filter(([, link]) => link.isUp).map(([host]) => host)
  }

  /** Up to `count` connected peers, chosen at random. */
  #randomPeers (count: number): string[] {
    return sample(this.#upPeers(), count, this.#opts.random)
  }

  /** Sends a message and applies the reply; tells whether there was one. */
  async #syncWith (host: string, message: SyncMessage): Promise<boolean> {
    const link = this.#links.get(host)
    if (!link) return false
    try {
      this.#apply(await link.sync(message))
      return true
    } catch (err) {
      this.#opts.log.decision('syncFailed', { peer: host, code: errorCode(err), reports: message.reports.length })
      return false
    }
  }
}
