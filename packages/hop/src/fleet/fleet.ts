import { createHash } from 'node:crypto'
import { errorCode, type MoveFact, type Random, type Timers } from '@lentilwheel/core'
import type { CallMessage, HopReply, SyncMessage } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { BriefReport } from '@lentilwheel/moves'
import type { MoveOrder } from '../rollout/order.js'
import { FactBook } from './factBook.js'
import { HostTable } from './hostTable.js'
import type { HostRecord, TargetRecord } from './records.js'

/** A link to a peer. */
export interface PeerLink {
  readonly isUp: boolean
  readonly target: { address: string, port: number }
  /** `bulky`: the response may be large. */
  call (message: CallMessage, bulky: boolean, reply: (reply: HopReply) => void): () => void
  sync (message: SyncMessage): Promise<SyncMessage>
  config (): Promise<unknown>
  close (): void
}

export interface FleetOptions {
  own: HostRecord
  timers: Timers
  random: Random
  log: CallLog
  openLink (host: string, address: string, port: number): PeerLink
  /** Records changed, or a peer was lost or reached again. */
  onChange (): void
  onFact (fact: MoveFact): void
  /** Orders of moves that this daemon knows. */
  orders (): MoveOrder[]
  onOrder (order: MoveOrder, from: string): void
  onReport (report: BriefReport): void
}

const EXCHANGE_MS = 1_500
/** Least time between two pushes of changes that peers need not know at once. */
const GATHER_MS = 400
/** Time without a link after which a daemon counts as gone. */
const GONE_MS = 60_000

/** What this daemon knows of its peers, and the links to them. */
export class Fleet {
  readonly facts = new FactBook()
  readonly #opts: FleetOptions
  readonly #table: HostTable
  readonly #links = new Map<string, PeerLink>()
  readonly #downSince = new Map<string, number>()
  #pushPlanned = false
  #pushedAt = -Infinity

  constructor (opts: FleetOptions) {
    this.#opts = opts
    this.#table = new HostTable(opts.own)
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

  /** Number of daemons that would go first in a duty that one daemon has. */
  rank (): number {
    return this.live().filter((record) => !record.stopping && record.host < this.own.host).length
  }

  /** The daemon that has the duties that one daemon has. */
  first (): string {
    return this.live().filter((record) => !record.stopping).map(({ host }) => host).sort()[0] ?? this.own.host
  }

  /** Sends evidence to the daemon that coordinates a move. */
  sendReport (host: string, report: BriefReport): void {
    this.#links.get(host)?.sync({ ...this.#message([]), reports: [report] }).then((answer) => this.#take(answer), (err) => {
      this.#opts.log.decision('reportLost', { peer: host, code: errorCode(err) })
    })
  }

  /** Daemons that were not reached for so long that they are taken as gone. */
  gone (now: number): string[] {
    return [...this.#downSince].filter(([, since]) => now - since > GONE_MS).map(([host]) => host)
  }

  link (host: string): PeerLink | undefined {
    return this.#links.get(host)
  }

  setTarget (target: TargetRecord | undefined): void {
    this.#table.setTarget(target)
    this.#pushNow()
    this.#opts.onChange()
  }

  setStopping (): void {
    this.#table.update({ stopping: true })
    this.#pushNow()
    this.#opts.onChange()
  }

  setConfigVersion (configVersion: number): void {
    this.#table.update({ configVersion })
    this.pushSoon()
  }

  /** Takes in records heard from the store or a peer. */
  merge (records: readonly HostRecord[]): void {
    let changed = false
    for (const record of records) {
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
    const isSame = message.digest === this.digest()
    return this.#message(isSame ? [] : this.records())
  }

  onLinkState (host: string, up: boolean): void {
    if (up) this.#downSince.delete(host)
    else if (!this.#downSince.has(host)) this.#downSince.set(host, this.#opts.timers.now())
    this.#opts.log.decision(up ? 'peerUp' : 'peerDown', { peer: host })
    if (up) this.#sync(host, this.#message(this.records()))
    this.#opts.onChange()
  }

  /** Exchanges tables with a daemon known only by its address. */
  async meet (address: string, port: number): Promise<boolean> {
    const link = this.#opts.openLink('', address, port)
    try {
      this.#take(await link.sync(this.#message(this.records())))
      return true
    } catch (err) {
      this.#opts.log.decision('seedUnreachable', { address, code: errorCode(err) })
      return false
    } finally {
      link.close()
    }
  }

  digest (): string {
    const lines = this.records().map(({ host, incarnation, sequence }) => `${host} ${incarnation} ${sequence}`).sort()
    const facts = this.facts.all().map((fact) => JSON.stringify(fact)).sort()
    const orders = this.#opts.orders().map(({ id, revision }) => `${id} ${revision}`).sort()
    return createHash('sha1').update([...lines, ...facts, ...orders].join('\n')).digest('base64')
  }

  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  #take (message: SyncMessage): void {
    this.merge(message.records)
    for (const fact of message.facts) if (this.facts.add(fact)) this.#opts.onFact(fact)
    for (const order of message.orders) this.#opts.onOrder(order, message.from)
    for (const report of message.reports) this.#opts.onReport(report)
  }

  #message (records: HostRecord[]): SyncMessage {
    return { from: this.own.host, records, facts: this.facts.all(), orders: this.#opts.orders(), reports: [], digest: this.digest() }
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
    const message = this.#message([this.own])
    for (const [host, link] of this.#links) if (link.isUp) this.#sync(host, message)
  }

  #exchangeWithOne (): void {
    const up = [...this.#links].filter(([, link]) => link.isUp)
    if (up.length > 0) this.#sync(this.#opts.random.pick(up)[0], this.#message([]))
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
