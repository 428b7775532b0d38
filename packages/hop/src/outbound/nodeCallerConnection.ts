import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BufferBudget, BufferHolder } from '../buffers/bufferBudget.js'
import type { CallerLimits } from './callerLimits.js'
import { CallerExchange } from './nodeCallerExchange.js'
import { discardInput } from './nodeDiscardedInput.js'

/**
 * Why the daemon closed the connection of a caller that stayed outside the limits; `unclosed`: the caller didn't close it after its last
 * response, which it has had time to read; `unframed`: a response without a length could not be handed to the system at once.
 */
export type CallerCloseReason = 'stalledResponse' | 'noRequest' | 'memory' | 'connections' | 'unclosed' | 'unframed'

export interface CallerConnectionOptions {
  readonly limits: CallerLimits
  readonly budget: BufferBudget
  /** Whether responses are to close their connections. */
  isStopping (): boolean
  /** Handles a request whose turn has come; its body may not have been read. */
  onRequest (exchange: CallerExchange): void
  onForcedClose (reason: CallerCloseReason, heldBytes: number): void
}

/** Bytes that a request without a body takes, about, and a short response. Counted for those behind another on their connection. */
const PIPELINED_REQUEST_BYTES = 8_192
/** Memory that a byte of an incomplete head takes, whose lines the parser keeps apart. */
const PARTIAL_HEAD_FACTOR = 5
/** Shorter incomplete heads aren't accounted for. */
const MIN_PARTIAL_HEAD_BYTES = 2_048
/** Time for a caller to read the rest of its last response and to close its end, from when the system has taken all of it. */
const LINGER_MS = 5_000
/** The same for a caller that has had that time already, as its connection was idle. */
const IDLE_LINGER_MS = 500

/**
 * One connection of a caller, with the requests that arrived on it. It hands on a bounded number of them at a time, accounts for what
 * is held for them, cancels all of them when the caller leaves, and is ended only after the response to the last that was handed on: what
 * arrives behind that one is read and dropped until the caller closes the connection as well.
 */
export class CallerConnection implements BufferHolder {
  readonly #socket: Socket
  readonly #opts: CallerConnectionOptions
  /** Requests that have been handed on and whose responses have not been sent in full. */
  readonly #active = new Set<CallerExchange>()
  /** Requests that wait for one of these to end. */
  readonly #waiting: CallerExchange[] = []
  #last: CallerExchange | undefined
  /** No further request is handed on, as a response closes the connection or its bytes are no requests. */
  #isEnding = false
  /** When the system was first seen to have taken everything up to the end of the connection. */
  #endedAt: number | undefined
  /** Whether it had been idle for long when it was ended. */
  #wasIdle = false
  /** Response without a request, for bytes that could not be parsed; sent once the others are complete. */
  #finalText: string | undefined
  #heldBytes = 0
  #unreadBytes = 0
  /** What is held for a head that isn't complete, and the bytes that were read before it. */
  #partialHeadBytes = 0
  #readBeforeHead = 0
  #requests = 0
  #progress = { at: 0, requests: 0, readBytes: 0, sentBytes: 0 }

  constructor (socket: Socket, opts: CallerConnectionOptions, now: number) {
    this.#socket = socket
    this.#opts = opts
    this.#progress.at = now
    socket.once('close', () => this.#onClose())
    // Node.js calls this after a response that closes the connection; its own method would close it at once.
    socket.destroySoon = () => { socket.end() }
  }

  /** Requests that wait for their response or are still being read. */
  get inFlight (): number {
    return this.#active.size + this.#waiting.length
  }

  /** Whether a request has been handed on and waits for its response. */
  get isBusy (): boolean {
    return this.#active.size > 0 && this.#last?.isReading !== true
  }

  /** Since when neither a request came nor bytes went either way, as of the last check. */
  get quietSince (): number {
    return this.#progress.at
  }

  get isGone (): boolean {
    return this.#socket.destroyed || this.#socket.readableEnded
  }

  /** Whether no further request is handed on. */
  get isEnding (): boolean {
    return this.#isEnding
  }

  /** Whether the system has not taken all that was written. */
  get hasUntakenBytes (): boolean {
    return this.#socket.writableLength > 0
  }

  /** Takes a request whose head has arrived. */
  add (req: IncomingMessage, res: ServerResponse): void {
    if (this.#isEnding) return
    this.#requests++
    const exchange = new CallerExchange(this, req, res)
    if (this.#waiting.length === 0 && this.#hasRoom) return this.#begin(exchange)
    this.#waiting.push(exchange)
    this.#socket.pause()
    exchange.setBase(PIPELINED_REQUEST_BYTES)
  }

  /** Ends the connection because of bytes that are no request, after the responses to the requests before them. */
  endWith (text: string): void {
    if (this.#isEnding) return
    this.#finalText = text
    this.#dropUnread()
    this.#endInput()
    if (this.#active.size === 0) this.#socket.end(text)
  }

  /** Ends the connection unless requests are in progress, whose last response does so; `reject` is called with one that is still arriving. */
  endIdle (now: number, reject: (exchange: CallerExchange) => void): void {
    if (this.#isEnding) return
    if (this.#last?.isReading) return reject(this.#last)
    if (this.#active.size > 0) return
    this.#wasIdle = now - this.#progress.at > LINGER_MS
    this.#endInput()
    this.#socket.end()
  }

  /** Closes the connection at once; what has been sent of a response is never taken for a complete one. */
  destroy (reason: CallerCloseReason): void {
    this.#isEnding = true
    this.#opts.onForcedClose(reason, this.#heldBytes)
    this.#dropWaiting()
    // A reset would drop what the system still has to send.
    if (reason === 'unclosed') this.#socket.destroy()
    else this.#socket.resetAndDestroy()
  }

  /** Whether the response to a request that is about to be written has to close the connection; if so, no further request is handed on. */
  closesAfter (exchange: CallerExchange, isForced: boolean): boolean {
    if (exchange !== this.#last || !(isForced || this.#opts.isStopping() || this.#isEnding)) return false
    this.#endInput()
    return true
  }

  /** Called when the budget of the process is exceeded and this caller takes the largest part of it. */
  evict (limitBytes: number): void {
    const reading = this.#last?.isReading ? this.#last : undefined
    if (reading && this.#unreadBytes < reading.heldBytes) reading.rejectUnread(503, 'buffersFull', limitBytes)
    else this.destroy('memory')
  }

  grow (bytes: number): void {
    this.#heldBytes += bytes
    if (!this.#socket.destroyed) this.#opts.budget.grow(this, bytes)
  }

  shrink (bytes: number): void {
    this.#heldBytes -= bytes
    this.#opts.budget.shrink(this, bytes)
  }

  /** Counts bytes of a response that has been written but not sent. */
  addUnread (bytes: number): void {
    this.#unreadBytes += bytes
  }

  /** Called when a response has been sent in full, of which `unreadBytes` were counted. */
  onSent (exchange: CallerExchange, unreadBytes: number): void {
    this.#unreadBytes -= unreadBytes
    this.#active.delete(exchange)
    // What a connection refers to while it is idle isn't freed.
    if (this.#last === exchange) this.#last = undefined
    if (this.#active.size === 0) this.#readBeforeHead = this.#socket.bytesRead
    if (this.#finalText !== undefined && this.#active.size === 0) this.#socket.end(this.#finalText)
    else if (this.#waiting.length > 0) this.#beginWaiting()
  }

  /** Returns why the connection is to be closed, if nothing has moved on it for too long; called periodically. */
  check (now: number, idleMs: number): CallerCloseReason | undefined {
    if (this.#socket.destroyed) return undefined
    this.#countPartialHead()
    if (this.#hasMoved()) this.#progress.at = now
    const quietMs = now - this.#progress.at
    if (this.#socket.writableFinished) {
      this.#endedAt ??= now
      const lingerMs = this.#wasIdle ? IDLE_LINGER_MS : LINGER_MS
      return now - this.#endedAt > lingerMs ? 'unclosed' : undefined
    }
    if (this.#active.size === 0) return quietMs > idleMs ? 'noRequest' : undefined
    if (this.#socket.writableLength > 0 && quietMs > this.#opts.limits.stalledResponseMs) return 'stalledResponse'
    if (this.#last?.isReading && quietMs > idleMs) this.#last.rejectUnread(408, 'bodyTimeout', idleMs)
    return undefined
  }

  #countPartialHead (): void {
    const read = this.#active.size > 0 || this.#isEnding ? 0 : this.#socket.bytesRead - this.#readBeforeHead
    const bytes = read < MIN_PARTIAL_HEAD_BYTES ? 0 : read * PARTIAL_HEAD_FACTOR
    const added = bytes - this.#partialHeadBytes
    this.#partialHeadBytes = bytes
    if (added > 0) this.grow(added)
    else if (added < 0) this.shrink(-added)
  }

  /** Bytes read count only while a request is in progress, as empty lines before a request are none. */
  #hasMoved (): boolean {
    const before = this.#progress
    const readBytes = this.#active.size > 0 ? this.#socket.bytesRead : before.readBytes
    const sentBytes = this.#socket.bytesWritten - this.#socket.writableLength
    if (this.#requests === before.requests && readBytes === before.readBytes && sentBytes === before.sentBytes) return false
    this.#progress = { at: before.at, requests: this.#requests, readBytes, sentBytes }
    return true
  }

  /** Whether one more request may be handed on. */
  get #hasRoom (): boolean {
    const { maxPipelined, maxUnreadBytes } = this.#opts.limits
    return this.#active.size < maxPipelined && this.#unreadBytes < maxUnreadBytes
  }

  #begin (exchange: CallerExchange): void {
    const isPipelined = this.#active.size > 0
    this.#active.add(exchange)
    this.#last = exchange
    if (isPipelined) exchange.setBase(PIPELINED_REQUEST_BYTES)
    if (!this.#socket.destroyed) this.#opts.onRequest(exchange)
  }

  #beginWaiting (): void {
    while (this.#waiting.length > 0 && this.#hasRoom) this.#begin(this.#waiting.shift()!)
    if (this.#waiting.length === 0) this.#socket.resume()
    else this.#socket.pause()
  }

  /** Forgets the request whose body is still arriving, as the rest of it can't be told from what follows. */
  #dropUnread (): void {
    const last = this.#last
    if (!last?.isReading) return
    this.#active.delete(last)
    this.#last = undefined
    last.drop()
  }

  /** From now on no request is handed on, and what arrives is dropped. */
  #endInput (): void {
    this.#isEnding = true
    this.#dropWaiting()
    discardInput(this.#socket)
  }

  #dropWaiting (): void {
    for (const exchange of this.#waiting) exchange.setBase(0)
    this.#waiting.length = 0
  }

  #onClose (): void {
    this.#isEnding = true
    this.#dropWaiting()
    const active = [...this.#active]
    this.#active.clear()
    this.#opts.budget.release(this)
    for (const exchange of active) exchange.onCallerLeft()
  }
}
