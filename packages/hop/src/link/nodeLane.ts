import { connect } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import { FRAMES, FrameSocket, type FrameKind } from './nodeFrameSocket.js'

export interface LaneOptions {
  peer: string
  address: string
  port: number
  timers: Timers
  log: CallLog
  /** Whether the connection is kept up when nothing is to be sent. */
  keep: boolean
  /** When the oldest call under way was sent, which makes silence worth a question; undefined without any. */
  waitingSince (): number | undefined
  /** How often an idle connection is asked for a sign of life. */
  idleProbeMs (): number
  onState (up: boolean): void
}

/** What became of an exchange: its payload, or how the connection stood when it broke. */
export type LaneOutcome = { kind: 'payload', payload: unknown } | { kind: 'broken', sent: boolean }

const CONNECT_TIMEOUT_MS = 700
/** A connection on which a call has waited this long in silence is asked for a sign of life. */
const PROBE_AFTER_MS = 250
/** Time for a sign of life, after which the connection is given up. */
const PROBE_TIMEOUT_MS = 800
/** Pause before a peer that couldn't be reached is tried again. */
const MIN_RECONNECT_MS = 150
const MAX_RECONNECT_MS = 2_000

/** One connection to a peer at a time, opened again when it breaks; exchanges on a broken one end as broken. */
export class Lane {
  readonly #opts: LaneOptions
  readonly #exchanges = new Map<number, (outcome: LaneOutcome) => void>()
  #socket: FrameSocket | undefined
  #connected = false
  #probedAt = -Infinity
  #failures = 0
  #retryAt = 0
  #lastExchange = 0
  #closed = false

  constructor (opts: LaneOptions) {
    this.#opts = opts
  }

  get isUp (): boolean {
    return this.#connected
  }

  /** Sends one frame and hands out its answer; returns the exchange's number, or 0 if there is no connection. */
  ask (kind: FrameKind, payload: unknown, done: (outcome: LaneOutcome) => void): number {
    const socket = this.#open()
    if (!socket) {
      done({ kind: 'broken', sent: false })
      return 0
    }
    const exchange = ++this.#lastExchange
    this.#exchanges.set(exchange, done)
    socket.send([kind, exchange, payload])
    return exchange
  }

  /** Takes an exchange back; the peer gives up what it does for it. */
  withdraw (exchange: number): void {
    if (this.#exchanges.delete(exchange)) this.#socket?.send([FRAMES.withdraw, exchange])
  }

  /** Stops waiting for an answer. */
  forget (exchange: number): void {
    this.#exchanges.delete(exchange)
  }

  close (): void {
    this.#closed = true
    this.#socket?.end()
  }

  #open (): FrameSocket | undefined {
    if (this.#socket || this.#closed) return this.#socket
    const now = this.#opts.timers.now()
    if (now < this.#retryAt) return undefined
    return this.#connect()
  }

  #connect (): FrameSocket {
    const { address, port, timers, peer, log } = this.#opts
    const tcp = connect({ host: address, port, noDelay: true })
    const socket = new FrameSocket(tcp, {
      timers,
      onFrame: ([, exchange, payload]) => {
        const done = this.#exchanges.get(exchange)
        this.#exchanges.delete(exchange)
        done?.({ kind: 'payload', payload })
      },
      onClose: (reason) => {
        stop()
        if (!this.#closed) log.decision('linkClosed', { peer, reason, wasUp: this.#connected, calls: this.#exchanges.size })
        this.#onClosed()
      }
    })
    const stop = timers.after(CONNECT_TIMEOUT_MS, () => { if (!this.#connected) socket.destroy('no connection in time') })
    tcp.once('connect', () => {
      stop()
      this.#connected = true
      this.#failures = 0
      this.#opts.onState(true)
    })
    this.#socket = socket
    return socket
  }

  #onClosed (): void {
    const { timers } = this.#opts
    const sent = this.#connected
    this.#socket = undefined
    this.#connected = false
    if (!sent) this.#failures++
    const pause = sent ? 0 : Math.min(MAX_RECONNECT_MS, MIN_RECONNECT_MS * 2 ** Math.min(this.#failures - 1, 6))
    this.#retryAt = timers.now() + pause
    const exchanges = [...this.#exchanges.values()]
    this.#exchanges.clear()
    if (!this.#closed) this.#opts.onState(false)
    if (sent && this.#opts.keep) this.#open()
    for (const done of exchanges) done({ kind: 'broken', sent })
  }

  /** Keeps the connection open and notices when the peer falls silent. */
  upkeep (): void {
    const socket = this.#opts.keep ? this.#open() : this.#socket
    if (!socket || !this.#connected) return
    const now = this.#opts.timers.now()
    const silentMs = now - socket.heardAt
    const isProbed = this.#probedAt > socket.heardAt
    if (isProbed && now - this.#probedAt > PROBE_TIMEOUT_MS) {
      socket.destroy(`silent for ${Math.round(silentMs)} ms`)
      return
    }
    const waitedMs = now - Math.max(socket.heardAt, this.#opts.waitingSince() ?? now)
    if (isProbed || (waitedMs < PROBE_AFTER_MS && silentMs < this.#opts.idleProbeMs())) return
    this.#probedAt = now
    socket.send([FRAMES.ping, 0])
  }
}
