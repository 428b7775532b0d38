import { HTTPParser, type HeaderInfo } from 'http-parser-js'
import { connect, type Socket } from 'node:net'
import type { Cancel, Timers } from '@lentilwheel/core'
import { BodyBuffer } from '../buffers/bodyBuffer.js'
import type { BufferHolder, BufferPool } from '../buffers/bufferPool.js'
import type { FailureReason } from '../link/messages.js'
import { passedBound, statedLength, type BoundName, type Received, type ResponseBounds } from './responseBounds.js'
import { headerOf, judgeMessage, type TargetMessage } from './responseCheck.js'
import type { HeaderNames, TargetResult } from './targetResult.js'

/** A request in the form in which it goes to the target. */
export interface TargetRequest {
  requestId: string
  method: string
  bytes: Buffer
  /** Milliseconds after which the target's silence counts as a failure. */
  timeoutMs: number
}

export interface ConnectionOptions {
  host: string
  port: number
  names: HeaderNames
  timers: Timers
  bounds: ResponseBounds
  /** Called whenever a message belongs to no request that waits. */
  onStray (why: string): void
  /** The target sent more than an answer may have. */
  onBoundPassed (passed: BoundPassed): void
}

export interface BoundPassed {
  requestId: string
  bound: BoundName
  limit: number
  bytes: number
}

interface Exchange {
  request: TargetRequest
  done (result: TargetResult): void
  stopTimer: Cancel
  head?: TargetMessage
  body: BodyBuffer
  /** Counts the bytes of the body while it comes. */
  pool: BufferPool
  received: Received
  /** The awaited answer, once it is whole. */
  result?: TargetResult
}

const CONNECT_TIMEOUT_MS = 1_000
/** Idle time after which a connection isn't used again when the target doesn't state one. */
const DEFAULT_IDLE_MS = 4_000
/** A connection isn't used in the last part of the idle time that the target states. */
const IDLE_MARGIN_MS = 1_500

/** One connection to the target beside this daemon; it carries one request at a time. */
export class TargetConnection implements BufferHolder {
  readonly #opts: ConnectionOptions
  readonly #socket: Socket
  #parser = this.#newParser()
  #exchange: Exchange | undefined
  #connected = false
  #reusable = true
  #idleSince: number
  #idleMs = DEFAULT_IDLE_MS

  constructor (opts: ConnectionOptions) {
    this.#opts = opts
    this.#idleSince = opts.timers.now()
    this.#socket = connect({ host: opts.host, port: opts.port, noDelay: true, keepAlive: true, keepAliveInitialDelay: 1_000 })
    this.#socket.on('connect', () => { this.#connected = true })
    this.#socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    this.#socket.on('end', () => this.#onEnd())
    this.#socket.on('error', () => this.#end('reset'))
    this.#socket.on('close', () => this.#end('reset'))
    const stop = opts.timers.after(CONNECT_TIMEOUT_MS, () => {
      if (!this.#connected) this.#end('reset')
    })
    this.#socket.once('connect', stop)
    this.#socket.once('close', stop)
  }

  /** Whether another request may be sent, `freshMs` after the last response at most. */
  isUsable (freshMs = Infinity): boolean {
    const idle = this.#opts.timers.now() - this.#idleSince
    return this.#reusable && !this.#exchange && !this.#socket.destroyed && idle < Math.min(this.#idleMs, freshMs)
  }

  send (request: TargetRequest, done: (result: TargetResult) => void): void {
    const stopTimer = this.#opts.timers.after(request.timeoutMs, () => this.#end('timeout'))
    const received = { bytes: 0, bodyBytes: 0, skipped: 0 }
    this.#exchange = { request, done, stopTimer, body: new BodyBuffer(), pool: this.#opts.bounds.unstated, received }
    this.#socket.write(request.bytes)
  }

  /** Closes the connection; a request on it fails as cancelled. */
  close (): void {
    this.#end('cancelled')
  }

  #newParser (): InstanceType<typeof HTTPParser> {
    const parser = new HTTPParser(HTTPParser.RESPONSE)
    parser[HTTPParser.kOnHeadersComplete] = (info: HeaderInfo) => this.#onHead(info)
    parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
      this.#onBody(chunk.subarray(offset, offset + length))
    }
    parser[HTTPParser.kOnMessageComplete] = () => this.#onMessage()
    return parser
  }

  /** Returns 1 when the response has no body, whatever its headers say. */
  #onHead (info: HeaderInfo): number {
    if (!this.#exchange || this.#exchange.result) {
      this.#opts.onStray('afterResponse')
      this.#reusable = false
      return 0
    }
    const headers = info.headers.slice()
    const { bounds } = this.#opts
    const length = statedLength(headers)
    const isBodiless = this.#exchange.request.method === 'HEAD'
    this.#exchange.head = { status: info.statusCode, headers, body: Buffer.alloc(0), unframed: false }
    this.#exchange.pool = length === undefined ? bounds.unstated : bounds.stated
    if (!info.shouldKeepAlive) this.#reusable = false
    if (!isBodiless && length !== undefined && length > bounds.maxBodyBytes()) this.#onBoundPassed('body', bounds.maxBodyBytes())
    return isBodiless ? 1 : 0
  }

  #onBody (piece: Buffer): void {
    const exchange = this.#exchange
    if (!exchange?.head) return
    const { body, received, pool } = exchange
    const before = body.capacity
    received.bodyBytes += piece.length
    if (received.bodyBytes > this.#opts.bounds.maxBodyBytes()) return
    body.append(piece)
    if (body.capacity > before) pool.grow(this, body.capacity - before)
  }

  /** The buffers of the process are full, and this connection's answer has most of them. */
  giveUp (limitBytes: number): void {
    this.#onBoundPassed('buffers', limitBytes)
  }

  #onBoundPassed (bound: BoundName, limit: number): void {
    const exchange = this.#exchange
    if (exchange) this.#opts.onBoundPassed({ requestId: exchange.request.requestId, bound, limit, bytes: exchange.received.bytes })
    this.#end('unbounded')
  }

  /** Forgets the body of a message, whole or not. */
  #dropBody (exchange: Exchange): void {
    exchange.pool.release(this)
    exchange.body = new BodyBuffer()
  }

  #onMessage (): void {
    const exchange = this.#exchange
    if (!exchange?.head) return
    const message = { ...exchange.head, body: exchange.body.take() }
    const verdict = judgeMessage(message, exchange.request.requestId, this.#opts.names)
    delete exchange.head
    this.#dropBody(exchange)
    if (verdict.kind === 'skip') {
      exchange.received.skipped++
      if (verdict.why === 'otherRequest') this.#opts.onStray('otherRequest')
      return
    }
    this.#readIdleTime(message.headers)
    if (verdict.result.kind === 'failed' || this.#socket.writableLength > 0 || this.#hasMore()) this.#reusable = false
    exchange.result = verdict.result
  }

  #readIdleTime (headers: readonly string[]): void {
    const seconds = /timeout=(\d+)/.exec(headerOf(headers, 'keep-alive') ?? '')?.[1]
    this.#idleMs = seconds === undefined ? DEFAULT_IDLE_MS : Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS)
    if (headerOf(headers, 'connection')?.toLowerCase() === 'close') this.#reusable = false
  }

  #onData (chunk: Buffer): void {
    if (!this.#exchange) {
      this.#opts.onStray('whileIdle')
      return this.#end('garbled')
    }
    const exchange = this.#exchange
    exchange.received.bytes += chunk.length
    const outcome = this.#parser.execute(chunk)
    if (exchange.result) return this.#finish(exchange.result)
    const passed = exchange === this.#exchange ? passedBound(exchange.received, this.#opts.bounds) : undefined
    if (passed) return this.#onBoundPassed(passed.name, passed.limit)
    if (outcome instanceof Error) this.#end('garbled')
  }

  /**
   * Whether bytes follow the message that has just ended; they belong to no request. The types of the parser leave out
   * its position in the packet.
   */
  #hasMore (): boolean {
    const { offset, end } = this.#parser as unknown as { offset: number, end: number }
    return offset < end
  }

  #onEnd (): void {
    if (this.#exchange?.head) this.#exchange.head.unframed = true
    const outcome: unknown = this.#exchange ? this.#parser.finish() : undefined
    if (this.#exchange?.result) this.#finish(this.#exchange.result)
    this.#end(outcome instanceof Error && this.#exchange?.head ? 'cut' : 'reset')
  }

  #finish (result: TargetResult): void {
    const exchange = this.#exchange
    if (!exchange) return
    this.#exchange = undefined
    this.#dropBody(exchange)
    this.#idleSince = this.#opts.timers.now()
    exchange.stopTimer()
    if (!this.#reusable) this.#socket.destroy()
    exchange.done(result)
  }

  #end (reason: FailureReason): void {
    this.#reusable = false
    this.#socket.destroy()
    if (!this.#connected) return this.#finish({ kind: 'notRun', reason: 'unreachable' })
    this.#finish({ kind: 'failed', reason })
  }
}
