import { errorCode, type Timers } from '@lentilwheel/core'
import { PeerLost } from '../errors.js'
import type { PeerLink } from '../fleet/fleetTypes.js'
import type { CallLog } from '../observe/callLog.js'
import { DELTA_FIELDS, type ConfigDelta } from '../routing/configDelta.js'
import { checked, packCall, unpackReply } from './codec.js'
import type { CallMessage, HopReply, SettleMessage, SyncMessage } from './messages.js'
import { FRAMES, type FrameKind } from './nodeFrameSocket.js'
import { Lane, type LaneOutcome } from './nodeLane.js'
import { checkedSync } from './syncCheck.js'

export interface PeerLinkOptions {
  host: string
  address: string
  port: number
  timers: Timers
  log: CallLog
  /** How often an idle link is asked for a sign of life. */
  idleProbeMs (): number
  /** The peer was reached again or stopped answering. */
  onState (host: string, up: boolean): void
}

interface Pending {
  message: CallMessage
  sentAt: number
  reply: (reply: HopReply) => void
  deadlineAt: number
  brokenAt: number
  lane: Lane
  exchange: number
  ended: boolean
}

const EXCHANGE_TIMEOUT_MS = 700
/** Time in which a repeatable call whose link broke is settled; then it may as well be repeated. */
const SETTLE_IDEMPOTENT_MS = 500
const SETTLE_RETRY_MS = 100

/** The link to one peer: calls over one connection, settled over the next one if it breaks. */
export class NodePeerLink implements PeerLink {
  readonly #opts: PeerLinkOptions
  readonly #pending = new Set<Pending>()
  readonly #lane: Lane
  /** Large requests and responses have a connection of their own, so that small ones don't wait behind them. */
  readonly #bulkLane: Lane
  #closed = false

  constructor (opts: PeerLinkOptions) {
    this.#opts = opts
    const { host, address, port, timers, log, idleProbeMs } = opts
    const shared = { peer: host, address, port, timers, log, idleProbeMs, waitingSince: () => this.#oldestSentAt() }
    this.#lane = new Lane({ ...shared, keep: true, onState: (up) => opts.onState(host, up) })
    this.#bulkLane = new Lane({ ...shared, keep: false, onState: () => {} })
  }

  get isUp (): boolean {
    return this.#lane.isUp
  }

  get target (): { address: string, port: number } {
    return { address: this.#opts.address, port: this.#opts.port }
  }

  /** Offers a call; returns a function that withdraws it. */
  call (message: CallMessage, bulky: boolean, reply: (reply: HopReply) => void): () => void {
    const sentAt = this.#opts.timers.now()
    const deadlineAt = sentAt + message.deadlineMs
    const lane = bulky ? this.#bulkLane : this.#lane
    const pending: Pending = { message, sentAt, reply, deadlineAt, brokenAt: 0, lane, exchange: 0, ended: false }
    this.#pending.add(pending)
    pending.exchange = lane.ask(FRAMES.call, packCall(message), (outcome) => this.#onOutcome(pending, outcome))
    return () => this.#withdraw(pending)
  }

  async sync (message: SyncMessage): Promise<SyncMessage> {
    return checkedSync(await this.#exchange(FRAMES.sync, message))
  }

  async config (have: number): Promise<ConfigDelta | undefined> {
    const answer = await this.#exchange(FRAMES.config, { have })
    return answer === null || answer === undefined ? undefined : checked<ConfigDelta>(answer, DELTA_FIELDS)
  }

  /** Opens the connection again when it broke, and notices when the peer falls silent. */
  upkeep (): void {
    this.#lane.upkeep()
    this.#bulkLane.upkeep()
  }

  close (): void {
    this.#closed = true
    this.#lane.close()
    this.#bulkLane.close()
    for (const pending of this.#pending) this.#end(pending, { kind: 'failed', reason: 'lost' })
  }

  /** Calls are kept in the order in which they were sent. */
  #oldestSentAt (): number | undefined {
    const [oldest] = this.#pending
    return oldest?.sentAt
  }

  async #exchange (kind: FrameKind, payload: unknown): Promise<unknown> {
    return await new Promise((resolve, reject) => {
      const exchange = this.#lane.ask(kind, payload, (outcome) => {
        stop()
        if (outcome.kind === 'payload') resolve(outcome.payload)
        else reject(new PeerLost(`the link to ${this.#opts.host} broke`))
      })
      const stop = this.#opts.timers.after(EXCHANGE_TIMEOUT_MS, () => {
        this.#lane.forget(exchange)
        reject(new PeerLost(`${this.#opts.host} did not answer in ${EXCHANGE_TIMEOUT_MS} ms`))
      })
    })
  }

  #onOutcome (pending: Pending, outcome: LaneOutcome): void {
    if (pending.ended) return
    if (outcome.kind === 'payload') return this.#onReply(pending, outcome.payload)
    if (!outcome.sent) return this.#end(pending, { kind: 'notRun', reason: 'unsent' })
    pending.brokenAt = this.#opts.timers.now()
    this.#settle(pending)
  }

  #onReply (pending: Pending, payload: unknown): void {
    try {
      this.#end(pending, unpackReply(payload))
    } catch (err) {
      this.#opts.log.decision('badReply', { peer: this.#opts.host, code: errorCode(err) })
      this.#end(pending, { kind: 'failed', reason: 'lost' })
    }
  }

  #withdraw (pending: Pending): void {
    if (pending.ended) return
    pending.ended = true
    this.#pending.delete(pending)
    pending.lane.withdraw(pending.exchange)
  }

  #end (pending: Pending, reply: HopReply): void {
    if (pending.ended) return
    pending.ended = true
    this.#pending.delete(pending)
    pending.reply(reply)
  }

  /** Asks how a call ended whose link broke, until there is an answer or no use for one. */
  #settle (pending: Pending): void {
    if (pending.ended) return
    const { timers } = this.#opts
    const now = timers.now()
    const { message } = pending
    const isFutile = message.idempotent ? now - pending.brokenAt > SETTLE_IDEMPOTENT_MS : now > pending.deadlineAt
    if (isFutile || this.#closed) return this.#end(pending, { kind: 'failed', reason: 'lost' })
    const settle: SettleMessage = { key: message.key, incarnation: message.incarnation }
    pending.exchange = pending.lane.ask(FRAMES.settle, settle, (outcome) => {
      if (pending.ended) return
      if (outcome.kind === 'payload') this.#onReply(pending, outcome.payload)
      else timers.after(SETTLE_RETRY_MS, () => this.#settle(pending))
    })
  }
}
