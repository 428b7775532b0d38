import { connect } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import { packHello, unpackIdentity } from './codec.js'
import { FRAME_KINDS, type FrameKind } from './frames.js'
import { FrameSocket, type SentFrame } from './nodeFrameSocket.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import type { OpenSockets } from './nodeOpenSockets.js'
import type { SendQueue } from './sendQueue.js'
import { SilenceDetector } from './silenceDetector.js'
import { CONTROL_URGENCY } from './urgency.js'

export interface PeerConnectionOptions {
  /** Host whose daemon has to answer; empty for any. */
  peer: string
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
  /** Whether to stay connected while there is nothing to send; otherwise a request opens the connection. */
  isPersistent: boolean
  /** Silence after which an idle connection is pinged. */
  idlePingMs (): number
  /** Called with the incarnation of the peer once that has proved its identity, and with undefined when the connection has ended. */
  onStateChange (incarnation: number | undefined): void
  /** Called when the connection was closed because the peer left a ping unanswered. */
  onSilent (): void
}

interface PendingRequest {
  sentAt: number
  frame: SentFrame
  onAnswered (): void
  done (outcome: ExchangeOutcome): void
}

/** Result of a request: the payload of the reply, or whether the peer may have got the request before the connection broke. */
export type ExchangeOutcome = { kind: 'payload', payload: unknown } | { kind: 'broken', mayHaveArrived: boolean }

const CONNECT_TIMEOUT_MS = 700
/** Bounds of the exponential delay before another attempt to connect to an unreachable peer. */
const MIN_RECONNECT_DELAY_MS = 150
const MAX_RECONNECT_DELAY_MS = 2_000
/** Delay after another host's daemon has answered; the wanted one can't be at that address until it is heard of again. */
const OTHER_HOST_DELAY_MS = 30_000

/**
 * Sends requests to one peer over a single TCP connection, which is opened again after it broke. Requests pending on a
 * broken connection end as `broken` and aren't sent again. The peer has to prove that it is the daemon of the wanted host, as
 * an open connection only shows that some daemon listens at the address; another one handles no request.
 */
export class PeerConnection {
  readonly #opts: PeerConnectionOptions
  /** Requests without a reply, by exchange id, in the order in which they were sent. */
  readonly #pending = new Map<number, PendingRequest>()
  #socket: FrameSocket | undefined
  #isConnected = false
  #isProven = false
  #isOtherHost = false
  readonly #silence = new SilenceDetector()
  #connectFailures = 0
  #retryAt = 0
  #isRefused = false
  #lastExchangeId = 0
  #isClosed = false

  constructor (opts: PeerConnectionOptions) {
    this.#opts = opts
  }

  get isUp (): boolean {
    return this.#isProven
  }

  /** Whether the last attempt to connect showed that the peer doesn't run: no process listens there, or the daemon of another host. */
  get isRefused (): boolean {
    return this.#isRefused
  }

  /** Opens a persistent connection without the delay after failed attempts, as the peer has been heard of. */
  reopen (): void {
    this.#retryAt = 0
    this.#open()
  }

  /**
   * Sends one frame and passes the outcome to `done`; before that, calls `onAnswered` if the reply is ready but waits for the link.
   * Returns the exchange id, or 0 if there is no connection.
   */
  request (kind: FrameKind, payload: unknown, done: (outcome: ExchangeOutcome) => void, urgency = CONTROL_URGENCY, onAnswered = (): void => {}): number {
    const socket = this.#open()
    if (!socket) {
      done({ kind: 'broken', mayHaveArrived: false })
      return 0
    }
    const exchangeId = ++this.#lastExchangeId
    const frame = socket.send([kind, exchangeId, payload], urgency)
    this.#pending.set(exchangeId, { sentAt: this.#opts.timers.now(), frame, done, onAnswered })
    return exchangeId
  }

  /** Stops waiting for the reply, and drops the request or asks the peer to cancel it. */
  cancel (exchangeId: number): void {
    const request = this.#pending.get(exchangeId)
    if (!request) return
    this.#pending.delete(exchangeId)
    if (!request.frame.revoke()) this.#socket?.send([FRAME_KINDS.cancel, exchangeId])
  }

  /** Stops waiting for the reply without telling the peer. */
  forget (exchangeId: number): void {
    this.#pending.delete(exchangeId)
  }

  close (): void {
    this.#isClosed = true
    this.#socket?.end()
  }

  #open (): FrameSocket | undefined {
    if (this.#socket || this.#isClosed) return this.#socket
    const now = this.#opts.timers.now()
    if (now < this.#retryAt) return undefined
    return this.#connect()
  }

  #connect (): FrameSocket {
    const { address, port, timers, peer, log, queue, budget } = this.#opts
    const tcp = connect({ host: address, port, noDelay: true })
    this.#opts.openSockets?.add(tcp)
    const socket = new FrameSocket(tcp, {
      timers,
      queue,
      ...budget ? { budget } : {},
      onFrame: ([kind, exchangeId, payload]) => {
        if (kind === FRAME_KINDS.answered) return this.#pending.get(exchangeId)?.onAnswered()
        this.#onReply(exchangeId, payload)
      },
      // The request ends without a reply that can be read.
      onDropped: (_kind, exchangeId) => this.#onReply(exchangeId, undefined),
      onClose: (reason) => {
        stopTimeout()
        if (!this.#isClosed) log.decision('linkClosed', { peer, reason, wasUp: this.#isProven, calls: this.#pending.size })
        this.#onClosed()
      }
    })
    tcp.once('error', (err: NodeJS.ErrnoException) => { this.#isRefused = err.code === 'ECONNREFUSED' })
    const stopTimeout = timers.after(CONNECT_TIMEOUT_MS, () => {
      if (this.#isConnected) return
      this.#isRefused = false
      socket.destroy('connect timeout')
    })
    tcp.once('connect', () => {
      stopTimeout()
      this.#isConnected = true
      this.#isRefused = false
    })
    this.#socket = socket
    this.#askIdentity(socket)
    return socket
  }

  /** Asks which daemon listens there. Requests may follow at once, as another host's daemon handles none of them. */
  #askIdentity (socket: FrameSocket): void {
    const exchangeId = ++this.#lastExchangeId
    const frame = socket.send([FRAME_KINDS.hello, exchangeId, packHello({ wantedHost: this.#opts.peer })])
    const done = (outcome: ExchangeOutcome): void => { if (outcome.kind === 'payload') this.#onIdentity(socket, outcome.payload) }
    this.#pending.set(exchangeId, { sentAt: this.#opts.timers.now(), frame, done, onAnswered: () => {} })
  }

  #onIdentity (socket: FrameSocket, payload: unknown): void {
    const { host, incarnation } = unpackIdentity(payload)
    const { peer } = this.#opts
    this.#isOtherHost = peer !== '' && host !== peer
    this.#isRefused = this.#isOtherHost
    if (this.#isOtherHost) return socket.destroy(`the daemon of host ${host} answered`)
    this.#isProven = true
    this.#connectFailures = 0
    this.#opts.onStateChange(incarnation)
  }

  #onReply (exchangeId: number, payload: unknown): void {
    const request = this.#pending.get(exchangeId)
    this.#pending.delete(exchangeId)
    request?.done({ kind: 'payload', payload })
  }

  #onClosed (): void {
    const { timers } = this.#opts
    const wasProven = this.#isProven
    const mayHaveArrived = this.#isConnected && !this.#isOtherHost
    if (!wasProven) this.#connectFailures++
    this.#retryAt = timers.now() + this.#reconnectDelayMs()
    this.#socket = undefined
    this.#isConnected = false
    this.#isProven = false
    this.#isOtherHost = false
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    if (!this.#isClosed) this.#opts.onStateChange(undefined)
    if (wasProven && this.#opts.isPersistent) this.#open()
    for (const { done } of pending) done({ kind: 'broken', mayHaveArrived })
  }

  /** Delay before the next attempt to connect, for the connection that has just ended. */
  #reconnectDelayMs (): number {
    if (this.#isOtherHost) return OTHER_HOST_DELAY_MS
    const isFirstLoss = this.#isConnected && this.#connectFailures <= 1
    if (this.#isProven || isFirstLoss) return 0
    return Math.min(MAX_RECONNECT_DELAY_MS, MIN_RECONNECT_DELAY_MS * 2 ** Math.min(this.#connectFailures - 1, 6))
  }

  /** Called at intervals: opens a persistent connection, pings a silent peer, and disconnects if a ping stays unanswered. */
  keepAlive (): void {
    const socket = this.#opts.isPersistent ? this.#open() : this.#socket
    if (!socket || !this.#isConnected) return
    const now = this.#opts.timers.now()
    const { lastReceivedAt } = socket
    const [oldest] = this.#pending.values()
    const verdict = this.#silence.check({ now, lastReceivedAt, oldestSentAt: oldest?.sentAt, idlePingMs: this.#opts.idlePingMs() })
    if (verdict === 'ping') return this.#ping(socket)
    if (verdict !== 'silent') return
    socket.destroy(`peer silent for ${Math.round(now - lastReceivedAt)} ms`)
    this.#opts.onSilent()
  }

  /** Pings a peer that has been silent for a moment, to find out early whether it still runs. */
  check (): void {
    const socket = this.#socket
    if (!socket || !this.#isConnected) return
    if (this.#silence.checkEarly({ now: this.#opts.timers.now(), lastReceivedAt: socket.lastReceivedAt })) this.#ping(socket)
  }

  #ping (socket: FrameSocket): void {
    socket.send([FRAME_KINDS.ping, 0])
  }
}
