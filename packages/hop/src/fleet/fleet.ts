import { createHash } from 'node:crypto'
import { errorCode, type MoveFact } from '@lentilwheel/core'
import type { BriefReport } from '@lentilwheel/moves'
import type { SyncMessage } from '../link/messages.js'
import { FactBook } from './factBook.js'
import { HostTable } from './hostTable.js'
import type { FleetOptions, PeerLink } from './fleetTypes.js'
import type { HostRecord, Leaving, TargetRecord } from './records.js'

const EXCHANGE_MS = 1_500
const LINK_UPKEEP_MS = 200
/** How often an idle link is asked for a sign of life when there are few peers. */
const IDLE_PROBE_MS = 3_000
/** With many peers each is asked less often, so that the cost of a daemon stays the same. */
const IDLE_PROBE_MS_A_PEER = 100
/** Least time between two pushes of changes that peers need not know at once. */
const GATHER_MS = 400
/** Peers anywhere that a daemon tells of a new configuration; they tell others in turn. */
const VERSION_FANOUT = 3
/** Time without a link after which a daemon counts as gone. */
const GONE_MS = 60_000
/** Time after its start in which a daemon knows too few peers to tell which duties are its own. */
const SETTLE_MS = 1_000

/** What this daemon knows of its peers, and the links to them. */
export class Fleet {
  readonly facts = new FactBook()
  readonly #opts: FleetOptions
  readonly #table: HostTable
  readonly #links = new Map<string, PeerLink>()
  readonly #downSince = new Map<string, number>()
  readonly #configVersions = new Map<string, number>()
  readonly #startedAt: number
  #pushPlanned = false
  #pushedAt = -Infinity

  constructor (opts: FleetOptions) {
    this.#opts = opts
    this.#table = new HostTable(opts.own)
    this.#startedAt = opts.timers.now()
    opts.timers.every(LINK_UPKEEP_MS, () => this.#keepLinks(), { jitter: 0.2 })
    opts.timers.every(EXCHANGE_MS, () => this.#exchangeWithOne(), { jitter: 0.3 })
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

  /** Daemons that are up as far as this one can see, itself included. */
  live (): HostRecord[] {
    return this.records().filter((record) => this.isUp(record.host))
  }

  isUp (host: string): boolean {
    return host === this.own.host || (this.#links.get(host)?.isUp ?? false)
  }

  /** Whether this daemon has had the time to find its peers, so that ranks mean something. */
  get isSettled (): boolean {
    return this.#opts.timers.now() - this.#startedAt >= SETTLE_MS
  }

  /** Number of daemons that would go first in a duty that one daemon has. */
  rank (): number {
    return this.#before().length
  }

  /** The same for a duty that daemons of each data centre have. */
  rankNear (): number {
    return this.#before().filter((record) => record.dataCentre === this.own.dataCentre).length
  }

  /** The daemon that has the duties that one daemon has. */
  first (): string {
    return this.#onDuty().map(({ host }) => host).sort()[0] ?? this.own.host
  }

  /** Sends evidence to the daemon that coordinates a move. */
  sendReport (host: string, report: BriefReport): void {
    this.#links.get(host)?.sync({ ...this.#news([]), reports: [report] }).then((answer) => this.#take(answer), (err) => {
      this.#opts.log.decision('reportLost', { peer: host, code: errorCode(err) })
    })
  }

  /** Daemons that were not reached for so long that they are taken as gone. */
  gone (now: number): string[] {
    return [...this.#downSince].filter(([, since]) => now - since > GONE_MS).map(([host]) => host)
  }

  /** How often an idle link is asked for a sign of life. */
  get idleProbeMs (): number {
    return Math.max(IDLE_PROBE_MS, this.#links.size * IDLE_PROBE_MS_A_PEER)
  }

  link (host: string): PeerLink | undefined {
    return this.#links.get(host)
  }

  setTarget (target: TargetRecord | undefined): void {
    this.#table.setTarget(target)
    this.#pushNow()
    this.#opts.onChange()
  }

  setLeavings (leavings: Leaving[]): void {
    this.#table.update({ leavings })
  }

  setStopping (): void {
    this.#table.update({ stopping: true })
    this.#pushNow()
    this.#opts.onChange()
  }

  /** Configuration version in force on a daemon, as far as it has told; 0 for none. */
  configVersionOf (host: string): number {
    return this.#configVersions.get(host) ?? 0
  }

  /**
   * Tells a few peers of the version in force here, and all of the own data centre if it came from the store; the others
   * hear of it with the next exchange.
   */
  setConfigVersion (version: number, isFirstHand: boolean): void {
    this.#configVersions.set(this.own.host, version)
    const near = isFirstHand ? this.#upPeers().filter((host) => this.record(host)?.dataCentre === this.own.dataCentre) : []
    const news = this.#news([])
    for (const host of new Set([...near, ...this.#somePeers(VERSION_FANOUT)])) this.#sync(host, news)
  }

  /** Takes in records heard from the store or a peer. */
  merge (records: readonly HostRecord[]): void {
    let changed = false
    for (const record of records) {
      if (record.host === this.own.host && record.leavings) this.#opts.onLeavings(record.leavings)
      if (!this.#table.merge(record)) continue
      changed = true
      if (record.host === this.own.host) this.#pushNow()
      else this.#keepLink(record)
    }
    if (changed) this.#opts.onChange()
  }

  remove (host: string): void {
    if (!this.#table.remove(host)) return
    this.#links.get(host)?.close()
    this.#links.delete(host)
    this.#downSince.delete(host)
    this.#configVersions.delete(host)
    this.#opts.onChange()
  }

  publish (fact: MoveFact): void {
    if (!this.facts.add(fact)) return
    this.#opts.onFact(fact)
    this.#pushNow()
  }

  /** Answers a peer's message with what the peer lacks. */
  onSync (message: SyncMessage): SyncMessage {
    this.#take(message)
    const isBehind = message.digest !== undefined && message.digest !== this.digest()
    return isBehind ? this.#whole() : { ...this.#answer(), records: this.#forgottenBy(message) }
  }

  /** The sender's own record as it is known here, if the sender seems to have forgotten targets that left. */
  #forgottenBy ({ from, records }: SyncMessage): HostRecord[] {
    const sent = records.find(({ host }) => host === from)
    return sent && this.#table.leavingsMissingIn(sent) ? [this.#table.get(from)!] : []
  }

  onLinkState (host: string, up: boolean): void {
    if (up) this.#downSince.delete(host)
    else if (!this.#downSince.has(host)) this.#downSince.set(host, this.#opts.timers.now())
    this.#opts.log.decision(up ? 'peerUp' : 'peerDown', { peer: host })
    if (up) this.#sync(host, this.#news([this.own]))
    this.#opts.onChange()
  }

  /** Exchanges tables with a daemon known only by its address. */
  async meet (address: string, port: number): Promise<boolean> {
    const link = this.#opts.openLink('', address, port)
    try {
      this.#take(await link.sync({ ...this.#whole(), digest: this.digest() }))
      return true
    } catch (err) {
      this.#opts.log.decision('seedUnreachable', { address, code: errorCode(err) })
      return false
    } finally {
      link.close()
    }
  }

  digest (): string {
    const facts = this.facts.all().map((fact) => JSON.stringify(fact)).sort()
    const orders = this.#opts.orders().map(({ id, revision }) => `${id} ${revision}`).sort()
    return createHash('sha1').update([this.#table.digest(), ...facts, ...orders].join('\n')).digest('base64')
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  /** Live daemons that share duties. */
  #onDuty (): HostRecord[] {
    return this.live().filter((record) => !record.stopping)
  }

  /** Those that go before this one. */
  #before (): HostRecord[] {
    return this.#onDuty().filter((record) => record.host < this.own.host)
  }

  #take (message: SyncMessage): void {
    this.merge(message.records)
    this.#configVersions.set(message.from, message.configVersion)
    if (message.configVersion > this.configVersionOf(this.own.host)) this.#opts.onPeerVersion()
    for (const fact of message.facts) if (this.facts.add(fact)) this.#opts.onFact(fact)
    for (const order of message.orders) this.#opts.onOrder(order, message.from)
    for (const report of message.reports) this.#opts.onReport(report)
  }

  /** A message that says nothing but which configuration is in force here. */
  #answer (): SyncMessage {
    const { host } = this.own
    return { from: host, configVersion: this.configVersionOf(host), records: [], facts: [], orders: [], reports: [] }
  }

  /** A message that asks for nothing in return. */
  #news (records: HostRecord[]): SyncMessage {
    return { ...this.#answer(), records, facts: this.facts.all(), orders: this.#opts.orders() }
  }

  #whole (): SyncMessage {
    return this.#news(this.records())
  }

  #keepLinks (): void {
    for (const link of this.#links.values()) link.upkeep()
  }

  #keepLink (record: HostRecord): void {
    const { host, address, port } = record
    const held = this.#links.get(host)
    if (held && held.target.address === address && held.target.port === port) return
    held?.close()
    this.#links.set(host, this.#opts.openLink(host, address, port))
  }

  /** Tells peers what has changed, a moment later. */
  pushSoon (): void {
    if (this.#pushPlanned) return
    this.#pushPlanned = true
    const quietMs = this.#opts.timers.now() - this.#pushedAt
    this.#opts.timers.after(Math.max(0, GATHER_MS - quietMs), () => {
      this.#pushPlanned = false
      this.#pushNow()
    })
  }

  #pushNow (): void {
    this.#pushedAt = this.#opts.timers.now()
    const message = this.#news([this.own])
    for (const [host, link] of this.#links) if (link.isUp) this.#sync(host, message)
  }

  #exchangeWithOne (): void {
    for (const host of this.#somePeers(1)) this.#sync(host, { ...this.#news([]), digest: this.digest() })
  }

  #upPeers (): string[] {
    return [...this.#links].filter(([, link]) => link.isUp).map(([host]) => host)
  }

  /** Some peers that are up, chosen at random. */
  #somePeers (count: number): string[] {
    const up = this.#upPeers()
    const chosen: string[] = []
    while (chosen.length < count && up.length > 0) chosen.push(...up.splice(this.#opts.random.int(up.length), 1))
    return chosen
  }

  async #sync (host: string, message: SyncMessage): Promise<void> {
    const link = this.#links.get(host)
    if (!link) return
    try {
      this.#take(await link.sync(message))
    } catch (err) {
      this.#opts.log.decision('syncFailed', { peer: host, code: errorCode(err) })
    }
  }
}
