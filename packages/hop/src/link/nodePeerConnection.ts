import { connect } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import { FRAME_KINDS, type FrameKind } from './frames.js'
import { FrameSocket, type SentFrame } from './nodeFrameSocket.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import type { OpenSockets } from './nodeOpenSockets.js'
import type { SendQueue } from './sendQueue.js'
import { CONTROL_URGENCY } from './urgency.js'

export interface PeerConnectionOptions {
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
  onStateChange (isUp: boolean): void
  /** Called when the connection was closed because the peer left a ping unanswered. */
  onSilent (): void
}

interface PendingRequest {
  sentAt: number
  frame: SentFrame
  onAnswered (): void
  done (outcome: ExchangeOutcome): void
}

/** Result of a request: the payload of the reply, or whether the connection was established before it broke. */
export type ExchangeOutcome = { kind: 'payload', payload: unknown } | { kind: 'broken', wasConnected: boolean }

const CONNECT_TIMEOUT_MS = 700
/** Silence after which the peer is pinged while a request is pending. */
const PENDING_PING_MS = 250
/** Silence after which the peer is pinged when other connections have turned out to be silent. */
const CHECK_PING_MS = 500
/** Time without an answer to a ping after which the connection is closed. */
const PING_TIMEOUT_MS = 800
/** Bounds of the exponential delay before another attempt to connect to an unreachable peer. */
const MIN_RECONNECT_DELAY_MS = 150
const MAX_RECONNECT_DELAY_MS = 2_000

/**
 * Sends requests to one peer over a single TCP connection, which is opened again after it broke. Requests pending on a
 * broken connection end as `broken` and aren't sent again.
 */
export class PeerConnection {
  readonly #opts: PeerConnectionOptions
  /** Requests without a reply, by exchange id, in the order in which they were sent. */
  readonly #pending = new Map<number, PendingRequest>()
  #socket: FrameSocket | undefined
  #isConnected = false
  #pingedAt = -Infinity
  #connectFailures = 0
  #retryAt = 0
  #isRefused = false
  #lastExchangeId = 0
  #isClosed = false

  constructor (opts: PeerConnectionOptions) {
    this.#opts = opts
  }

  get isUp (): boolean {
    return this.#isConnected
  }

  /** Whether the peer's host refused the last attempt to connect, as no process listens there. */
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
      done({ kind: 'broken', wasConnected: false })
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
        if (!this.#isClosed) log.decision('linkClosed', { peer, reason, wasUp: this.#isConnected, calls: this.#pending.size })
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
      this.#connectFailures = 0
      this.#opts.onStateChange(true)
    })
    this.#socket = socket
    return socket
  }

  #onReply (exchangeId: number, payload: unknown): void {
    const request = this.#pending.get(exchangeId)
    this.#pending.delete(exchangeId)
    request?.done({ kind: 'payload', payload })
  }

  #onClosed (): void {
    const { timers } = this.#opts
    const wasConnected = this.#isConnected
    this.#socket = undefined
    this.#isConnected = false
    if (!wasConnected) this.#connectFailures++
    const delayMs = wasConnected ? 0 : Math.min(MAX_RECONNECT_DELAY_MS, MIN_RECONNECT_DELAY_MS * 2 ** Math.min(this.#connectFailures - 1, 6))
    this.#retryAt = timers.now() + delayMs
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    if (!this.#isClosed) this.#opts.onStateChange(false)
    if (wasConnected && this.#opts.isPersistent) this.#open()
    for (const { done } of pending) done({ kind: 'broken', wasConnected })
  }

  /** Called at intervals: opens a persistent connection, pings a silent peer, and disconnects if a ping stays unanswered. */
  keepAlive (): void {
    const socket = this.#opts.isPersistent ? this.#open() : this.#socket
    if (!socket || !this.#isConnected) return
    const now = this.#opts.timers.now()
    const silentMs = now - socket.lastReceivedAt
    if (this.#isPingPending(socket)) {
      if (now - this.#pingedAt <= PING_TIMEOUT_MS) return
      socket.destroy(`peer silent for ${Math.round(silentMs)} ms`)
      return this.#opts.onSilent()
    }
    const [oldest] = this.#pending.values()
    const pendingSilentMs = now - Math.max(socket.lastReceivedAt, oldest?.sentAt ?? now)
    if (pendingSilentMs >= PENDING_PING_MS || silentMs >= this.#opts.idlePingMs()) this.#ping(socket)
  }

  /** Pings a peer that has been silent for a moment, as connections to others have turned out to be dead. */
  check (): void {
    const socket = this.#socket
    if (!socket || !this.#isConnected || this.#isPingPending(socket)) return
    if (this.#opts.timers.now() - socket.lastReceivedAt >= CHECK_PING_MS) this.#ping(socket)
  }

  #isPingPending (socket: FrameSocket): boolean {
    return this.#pingedAt > socket.lastReceivedAt
  }

  #ping (socket: FrameSocket): void {
    this.#pingedAt = this.#opts.timers.now()
    socket.send([FRAME_KINDS.ping, 0])
  }
}
