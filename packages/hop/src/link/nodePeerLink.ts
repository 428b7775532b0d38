import { errorCode, type Timers } from '@lentilwheel/core'
import { PeerLost } from '../errors.js'
import type { PeerLink } from '../fleet/fleetTypes.js'
import type { CallLog } from '../observe/callLog.js'
import { DELTA_FIELDS, type ConfigDelta } from '../routing/configDelta.js'
import { packCall, unpackReply, validateFields } from './codec.js'
import type { CallMessage, HopReply, QuotaAnswer, QuotaMessage, SettleMessage, SyncMessage } from './messages.js'
import { FRAME_KINDS, type FrameKind } from './frames.js'
import { PeerConnection, type ExchangeOutcome } from './nodePeerConnection.js'
import { packQuotaMessage, unpackQuotaAnswers, unpackReached } from './quotaCodec.js'
import { readSyncMessage } from './readSyncMessage.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import type { OpenSockets } from './nodeOpenSockets.js'
import type { SendQueue } from './sendQueue.js'
import { CONTROL_URGENCY, NESTED_URGENCY, urgencyOf } from './urgency.js'

export interface PeerLinkOptions {
  host: string
  address: string
  port: number
  timers: Timers
  log: CallLog
  /** Queue of this host's link. */
  queue: SendQueue
  /** Budget for what is held of incomplete replies; absent for none. */
  budget?: BufferBudget
  /** Gets each connection that is opened. */
  openSockets?: OpenSockets
  /** Silence after which an idle connection is pinged. */
  idlePingMs (): number
  /** Called with the peer's incarnation when it becomes reachable, and with undefined when the connection to it is lost. */
  onStateChange (host: string, incarnation: number | undefined): void
  /** Called when a connection turned out to be dead although nothing had ended it. */
  onSilent (): void
}

interface PendingCall {
  message: CallMessage
  reply: (reply: HopReply) => void
  deadlineAt: number
  /** When the connection broke on which the call was sent. */
  brokenAt: number
  connection: PeerConnection
  exchangeId: number
  hasEnded: boolean
}

const REQUEST_TIMEOUT_MS = 700
/** Time for asking for the outcome of an idempotent call whose connection broke; after that it may be retried instead. */
const SETTLE_IDEMPOTENT_MS = 500
const SETTLE_RETRY_MS = 100

/**
 * Sends calls and requests to the daemon of one peer. When the connection of a call breaks, the link asks for the
 * outcome of the call over the next connection.
 */
export class NodePeerLink implements PeerLink {
  readonly #opts: PeerLinkOptions
  /** Calls that have not ended. */
  readonly #pending = new Set<PendingCall>()
  readonly #connection: PeerConnection
  /** Carries large requests and responses, so that small ones don't wait behind them. */
  readonly #bulkConnection: PeerConnection
  #isClosed = false

  constructor (opts: PeerLinkOptions) {
    this.#opts = opts
    const { host, address, port, timers, log, queue, budget, openSockets, idlePingMs, onSilent } = opts
    const shared = { peer: host, address, port, timers, log, queue, idlePingMs, onSilent, ...budget ? { budget } : {}, ...openSockets ? { openSockets } : {} }
    this.#connection = new PeerConnection({ ...shared, isPersistent: true, onStateChange: (incarnation) => opts.onStateChange(host, incarnation) })
    this.#bulkConnection = new PeerConnection({ ...shared, isPersistent: false, onStateChange: () => {} })
  }

  get isUp (): boolean {
    return this.#connection.isUp
  }

  get isRefused (): boolean {
    return this.#connection.isRefused
  }

  get endpoint (): { address: string, port: number } {
    return { address: this.#opts.address, port: this.#opts.port }
  }

  /** Offers a call to the peer. Returns a function that cancels the call. */
  call (message: CallMessage, isBulky: boolean, reply: (reply: HopReply) => void, onAnswered: () => void): () => void {
    const deadlineAt = this.#opts.timers.now() + message.deadlineMs
    const connection = isBulky ? this.#bulkConnection : this.#connection
    const call: PendingCall = { message, reply, deadlineAt, brokenAt: 0, connection, exchangeId: 0, hasEnded: false }
    this.#pending.add(call)
    call.exchangeId = connection.request(FRAME_KINDS.call, packCall(message), (outcome) => this.#onOutcome(call, outcome), urgencyOf(message), () => { if (!call.hasEnded) onAnswered() })
    return () => this.#cancel(call)
  }

  async sync (message: SyncMessage): Promise<SyncMessage> {
    return readSyncMessage(await this.#request(FRAME_KINDS.sync, message), this.#opts)
  }

  async fetchConfig (heldVersion: number): Promise<ConfigDelta | undefined> {
    const delta = await this.#request(FRAME_KINDS.config, { have: heldVersion })
    return delta === null || delta === undefined ? undefined : validateFields<ConfigDelta>(delta, DELTA_FIELDS)
  }

  /** There is no timeout: while a question is unanswered the connection is pinged, and ends if the peer is silent. */
  askQuota (message: QuotaMessage, done: (answers: readonly QuotaAnswer[] | undefined) => void): void {
    this.#connection.request(FRAME_KINDS.quota, packQuotaMessage(message), (outcome) => {
      done(outcome.kind === 'payload' ? this.#read(() => unpackQuotaAnswers(outcome.payload, message.questions)) : undefined)
    }, CONTROL_URGENCY)
  }

  askReach (hosts: readonly string[], done: (reached: readonly boolean[] | undefined) => void): void {
    this.#connection.request(FRAME_KINDS.reach, hosts, (outcome) => {
      done(outcome.kind === 'payload' ? this.#read(() => unpackReached(outcome.payload, hosts.length)) : undefined)
    }, CONTROL_URGENCY)
  }

  /** Reopens a broken connection and detects a peer that no longer answers. */
  keepAlive (): void {
    this.#connection.keepAlive()
    this.#bulkConnection.keepAlive()
  }

  reopen (): void {
    if (!this.#connection.isUp) this.#connection.reopen()
  }

  /** Finds out whether the connections still live, though nothing waits on them. */
  check (): void {
    this.#connection.check()
    this.#bulkConnection.check()
  }

  close (): void {
    this.#isClosed = true
    this.#connection.close()
    this.#bulkConnection.close()
    for (const call of this.#pending) this.#end(call, { kind: 'failed', reason: 'lost' })
  }

  async #request (kind: FrameKind, payload: unknown): Promise<unknown> {
    return await new Promise((resolve, reject) => {
      const exchangeId = this.#connection.request(kind, payload, (outcome) => {
        stopTimeout()
        if (outcome.kind === 'payload') resolve(outcome.payload)
        else reject(new PeerLost(`connection to ${this.#opts.host} failed or was closed`))
      }, NESTED_URGENCY)
      const stopTimeout = this.#opts.timers.after(REQUEST_TIMEOUT_MS, () => {
        this.#connection.forget(exchangeId)
        reject(new PeerLost(`no reply from ${this.#opts.host} within ${REQUEST_TIMEOUT_MS} ms`))
      })
    })
  }

  #onOutcome (call: PendingCall, outcome: ExchangeOutcome): void {
    if (call.hasEnded) return
    if (outcome.kind === 'payload') return this.#onReply(call, outcome.payload)
    if (!outcome.mayHaveArrived) return this.#end(call, { kind: 'notRun', reason: 'unsent' })
    call.brokenAt = this.#opts.timers.now()
    this.#settle(call)
  }

  #onReply (call: PendingCall, payload: unknown): void {
    try {
      this.#end(call, unpackReply(payload, this.#opts.timers.wallNow()))
    } catch (err) {
      this.#opts.log.decision('badReply', { peer: this.#opts.host, code: errorCode(err) })
      this.#end(call, { kind: 'failed', reason: 'lost' })
    }
  }

  /** Returns undefined for a reply that can't be read, and logs it. */
  #read<T> (unpack: () => T): T | undefined {
    try {
      return unpack()
    } catch (err) {
      this.#opts.log.decision('badReply', { peer: this.#opts.host, code: errorCode(err) })
      return undefined
    }
  }

  #cancel (call: PendingCall): void {
    if (call.hasEnded) return
    call.hasEnded = true
    this.#pending.delete(call)
    call.connection.cancel(call.exchangeId)
  }

  #end (call: PendingCall, reply: HopReply): void {
    if (call.hasEnded) return
    call.hasEnded = true
    this.#pending.delete(call)
    call.reply(reply)
  }

  /**
   * Asks the peer for the outcome of a call whose connection broke. Retries until there is an answer, the time for it
   * has passed, or the link is closed.
   */
  #settle (call: PendingCall): void {
    if (call.hasEnded) return
    const { timers } = this.#opts
    const now = timers.now()
    const { message } = call
    const isTooLate = message.idempotent ? now - call.brokenAt > SETTLE_IDEMPOTENT_MS : now > call.deadlineAt
    if (isTooLate || this.#isClosed) return this.#end(call, { kind: 'failed', reason: 'lost' })
    const settleMessage: SettleMessage = { key: message.key, incarnation: message.incarnation }
    call.exchangeId = call.connection.request(FRAME_KINDS.settle, settleMessage, (outcome) => {
      if (call.hasEnded) return
      if (outcome.kind === 'payload') this.#onReply(call, outcome.payload)
      else timers.after(SETTLE_RETRY_MS, () => this.#settle(call))
    })
  }
}
