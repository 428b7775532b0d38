import { HTTPParser, type HeaderInfo } from 'http-parser-js'
import { connect, type Socket } from 'node:net'
import type { Cancel, Timers } from '@lentilwheel/core'
import type { FailureReason } from '../link/reasons.js'
import { headerValue, type HeaderNames } from '../headers.js'
import { BodyBuffer } from '../buffers/bodyBuffer.js'
import type { BufferHolder, BufferBudget } from '../buffers/bufferBudget.js'
import { declaredLength, exceededLimit, type LimitName, type Received, type ResponseLimits } from './responseLimits.js'
import type { ConnectOutcome } from './crashDetector.js'
import { isSpliced, parseHeaderLine } from './headerLines.js'
import { classifyMessage, type TargetMessage } from './classifyMessage.js'
import { whenEndedInOrder } from './nodeEndCheck.js'
import { checkLines, isBodiless, isFramed } from './responseSyntax.js'
import type { TargetResult } from './targetResult.js'

/** A request as it is sent to the target. */
export interface TargetRequest {
  requestId: string
  method: string
  /** The whole request, serialized; without its body if that is given apart. */
  bytes: Buffer
  body?: Uint8Array
  /** Milliseconds after which a request without a response fails. */
  timeoutMs: number
}

export interface TargetConnectionOptions {
  host: string
  port: number
  names: HeaderNames
  timers: Timers
  limits: ResponseLimits
  /** Called when the target sends data that belongs to no pending request. */
  onUnsolicitedData (why: string): void
  /** Called when a response exceeds a size limit and is dropped. */
  onLimitExceeded (exceeded: LimitExceeded): void
}

/** A size limit that a response exceeded; `bytes` is what the target had sent by then. */
export interface LimitExceeded {
  requestId: string
  bound: LimitName
  limit: number
  bytes: number
}

/** A request that has been sent and what has arrived of its response. */
interface Exchange {
  request: TargetRequest
  done (result: TargetResult): void
  /** When it times out; the timer may fire later while the process is short of processor time. */
  expiresAt: number
  stopTimer: Cancel
  /** Head of the message that is being received. */
  head?: TargetMessage
  body: BodyBuffer
  /** Budget that the buffer of the body counts against. */
  budget: BufferBudget
  received: Received
  /** The result, once the response is complete. */
  result?: TargetResult
}

/** Header values may have bytes above 127, which are forwarded as they are. */
HTTPParser.encoding = 'latin1'

const CONNECT_TIMEOUT_MS = 1_000
/** Timeout in whole seconds, as a parameter of the Keep-Alive header. */
const KEEP_ALIVE_TIMEOUT = /(?:^|[\s,;])timeout=(\d+)(?=$|[\s,;])/i
/** Idle time after which a connection isn't reused when the target's Keep-Alive header gives none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000
/** Refused ids kept for a connection; a refusal that is written again comes within a few requests. */
const MAX_REFUSED_IDS = 32
/** Bytes that are allocated at once for the body of a response whose length is known. */
const MAX_FIRST_BLOCK_BYTES = 4 * 1024 * 1024
/** Time before the end of the target's own idle timeout from which a connection isn't reused. */
const IDLE_MARGIN_MS = 1_500

/**
 * One HTTP/1.1 connection to the target beside this daemon; it carries one request at a time. Each response must belong
 * to the pending request and stay within the size limits; otherwise the request fails and the connection is closed.
 */
export class TargetConnection implements BufferHolder {
  readonly #opts: TargetConnectionOptions
  readonly #socket: Socket
  #parser = this.#newParser()
  #exchange: Exchange | undefined
  /** Number of requests sent on this connection. */
  #requests = 0
  /** Ids of the last requests that the target refused on this connection. */
  #refusedIds: string[] = []
  #isConnected = false
  #isReusable = true
  #idleSince: number
  #idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS

  constructor (opts: TargetConnectionOptions) {
    this.#opts = opts
    this.#idleSince = opts.timers.now()
    this.#socket = connect({ host: opts.host, port: opts.port, noDelay: true, allowHalfOpen: true, keepAlive: true, keepAliveInitialDelay: 1_000 })
    this.#socket.on('connect', () => this.#onConnect())
    this.#socket.on('data', (chunk: Buffer) => this.#onData(chunk))
    this.#socket.on('end', () => this.#onEnd())
    this.#socket.on('error', () => this.#fail('reset'))
    this.#socket.on('close', () => this.#fail('reset'))
    const stop = opts.timers.after(CONNECT_TIMEOUT_MS, () => {
      if (!this.#isConnected) this.#fail('reset')
    })
    this.#socket.once('connect', stop)
    this.#socket.once('close', stop)
  }

  /** Whether the target refused a request with this id here; it may write that refusal once more, so the request is sent elsewhere. */
  hasRefused (requestId: string): boolean {
    return this.#refusedIds.includes(requestId)
  }

  /** Whether another request may be sent; false if the last response is `maxIdleMs` old or more. */
  isUsable (maxIdleMs = Infinity): boolean {
    const idleMs = this.#opts.timers.now() - this.#idleSince
    return this.#isReusable && !this.#exchange && !this.#socket.destroyed && idleMs < Math.min(this.#idleTimeoutMs, maxIdleMs)
  }

  /** When the last response ended; bytes have come through until then. */
  get idleSince (): number {
    return this.#idleSince
  }

  send (request: TargetRequest, done: (result: TargetResult) => void): void {
    const stopTimer = this.#opts.timers.after(request.timeoutMs, () => this.#fail('timeout'))
    this.#requests++
    const received = { bytes: 0, bodyBytes: 0, skippedMessages: 0 }
    const expiresAt = this.#opts.timers.now() + request.timeoutMs
    this.#exchange = { request, expiresAt, done, stopTimer, body: new BodyBuffer(), budget: this.#opts.limits.unsizedBudget, received }
    if (this.#isConnected) this.#write(request)
  }

  /** Calls `done` once, when the connection has been established or has failed. */
  onceOpened (done: (outcome: ConnectOutcome) => void): void {
    this.#socket.once('connect', () => done('accepted'))
    this.#socket.once('error', (err: NodeJS.ErrnoException) => done(err.code === 'ECONNREFUSED' ? 'refused' : 'unknown'))
  }

  /** Closes the connection; a pending request fails as cancelled. */
  close (): void {
    this.#fail('cancelled')
  }

  /** Sends the request that waited for the connection, unless its time has passed meanwhile. */
  #onConnect (): void {
    this.#isConnected = true
    const exchange = this.#exchange
    if (!exchange) return
    if (this.#opts.timers.now() < exchange.expiresAt) {
      this.#write(exchange.request)
      return
    }
    this.#isReusable = false
    this.#finish({ kind: 'notRun', reason: 'expired' })
  }

  #write ({ bytes, body }: TargetRequest): void {
    this.#socket.write(bytes)
    if (body) this.#socket.write(body)
  }

  #newParser (): InstanceType<typeof HTTPParser> {
    const parser = new HTTPParser(HTTPParser.RESPONSE)
    parser.parseHeader = parseHeaderLine
    checkLines(parser)
    parser[HTTPParser.kOnHeadersComplete] = (info: HeaderInfo) => this.#onHead(info)
    parser[HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
      this.#onBody(chunk.subarray(offset, offset + length))
    }
    parser[HTTPParser.kOnMessageComplete] = () => this.#onMessage()
    return parser
  }

  /** Returns 1 to tell the parser that the response has no body, whatever its headers say. */
  #onHead (info: HeaderInfo): number {
    if (!this.#exchange || this.#exchange.result) {
      this.#opts.onUnsolicitedData('afterResponse')
      this.#isReusable = false
      return 0
    }
    const headers = info.headers.slice()
    if (!isFramed(info) || isSpliced(info.statusMessage, headers)) {
      this.#fail('garbled')
      return 0
    }
    const { limits: responseLimits } = this.#opts
    const length = declaredLength(headers)
    const hasNoBody = isBodiless(this.#exchange.request.method, info.statusCode)
    this.#exchange.head = { status: info.statusCode, headers, body: Buffer.alloc(0), unframed: false }
    this.#exchange.budget = length === undefined ? responseLimits.unsizedBudget : responseLimits.sizedBudget
    if (length !== undefined) this.#exchange.body = new BodyBuffer(length, MAX_FIRST_BLOCK_BYTES)
    if (!info.shouldKeepAlive) this.#isReusable = false
    if (!hasNoBody && length !== undefined && length > responseLimits.maxBodyBytes) this.#onLimitExceeded('body', responseLimits.maxBodyBytes)
    return hasNoBody ? 1 : 0
  }

  #onBody (chunk: Buffer): void {
    const exchange = this.#exchange
    if (!exchange?.head) return
    const { body, received, budget } = exchange
    const capacityBefore = body.capacity
    received.bodyBytes += chunk.length
    if (received.bodyBytes > this.#opts.limits.maxBodyBytes) return
    body.append(chunk)
    if (body.capacity > capacityBefore) budget.grow(this, body.capacity - capacityBefore)
  }

  /** Called by the buffer budget when it is exceeded and this connection's response takes the largest part of it. */
  evict (limitBytes: number): void {
    this.#onLimitExceeded('buffers', limitBytes)
  }

  #onLimitExceeded (bound: LimitName, limit: number): void {
    const exchange = this.#exchange
    if (exchange) this.#opts.onLimitExceeded({ requestId: exchange.request.requestId, bound, limit, bytes: exchange.received.bytes })
    this.#fail('unbounded')
  }

  /** Discards the body of a message, complete or not, and frees its part of the budget. */
  #dropBody (exchange: Exchange): void {
    exchange.budget.release(this)
    exchange.body = new BodyBuffer()
  }

  #onMessage (): void {
    const exchange = this.#exchange
    if (!exchange?.head) return
    const message = { ...exchange.head, body: exchange.body.take() }
    const messageClass = classifyMessage(message, exchange.request.requestId, this.#requests === 1, this.#opts.names)
    delete exchange.head
    this.#dropBody(exchange)
    if (messageClass.kind === 'skip') {
      exchange.received.skippedMessages++
      if (messageClass.why === 'otherRequest') this.#opts.onUnsolicitedData('otherRequest')
      return
    }
    this.#readIdleTimeout(message.headers)
    if (messageClass.result.kind === 'failed' || this.#socket.writableLength > 0 || this.#hasTrailingBytes()) this.#isReusable = false
    exchange.result = messageClass.result
    if (messageClass.result.kind === 'notRun') this.#refusedIds = [...this.#refusedIds, exchange.request.requestId].slice(-MAX_REFUSED_IDS)
  }

  /** Reads from the response's headers how long the target keeps the idle connection open, if at all. */
  #readIdleTimeout (headers: readonly string[]): void {
    const seconds = KEEP_ALIVE_TIMEOUT.exec(headerValue(headers, 'keep-alive') ?? '')?.[1]
    this.#idleTimeoutMs = seconds === undefined ? DEFAULT_IDLE_TIMEOUT_MS : Math.max(0, Number(seconds) * 1000 - IDLE_MARGIN_MS)
    if (headerValue(headers, 'connection')?.toLowerCase() === 'close') this.#isReusable = false
  }

  #onData (chunk: Buffer): void {
    if (!this.#exchange) {
      this.#opts.onUnsolicitedData('whileIdle')
      return this.#fail('garbled')
    }
    const exchange = this.#exchange
    exchange.received.bytes += chunk.length
    const outcome = this.#parser.execute(chunk)
    if (exchange.result) return this.#finish(exchange.result)
    const exceeded = exchange === this.#exchange ? exceededLimit(exchange.received, this.#opts.limits) : undefined
    if (exceeded) return this.#onLimitExceeded(exceeded.name, exceeded.limit)
    if (outcome instanceof Error) this.#fail('garbled')
  }

  /**
   * Whether the chunk being parsed has bytes after the message that just ended; these belong to no request. The parser's
   * type declarations lack its position in the chunk, so it is read through a cast.
   */
  #hasTrailingBytes (): boolean {
    const { offset, end } = this.#parser as unknown as { offset: number, end: number }
    return offset < end
  }

  /** The end may be that of a body without a length, unless the connection was reset. */
  #onEnd (): void {
    this.#isReusable = false
    if (this.#exchange?.head) whenEndedInOrder(this.#socket, this.#opts.timers, () => this.#onEndInOrder())
    else this.#fail('reset')
  }

  #onEndInOrder (): void {
    if (this.#exchange?.head) this.#exchange.head.unframed = true
    const outcome: unknown = this.#exchange ? this.#parser.finish() : undefined
    if (this.#exchange?.result) this.#finish(this.#exchange.result)
    this.#fail(outcome instanceof Error && this.#exchange?.head ? 'cut' : 'reset')
  }

  /** Ends the pending request, if any; the connection is kept open if it can be reused. */
  #finish (result: TargetResult): void {
    const exchange = this.#exchange
    if (!exchange) return
    this.#exchange = undefined
    this.#dropBody(exchange)
    this.#idleSince = this.#opts.timers.now()
    exchange.stopTimer()
    if (!this.#isReusable) this.#socket.destroy()
    exchange.done(result)
  }

  /** Closes the connection. A pending request fails, or counts as not run if the connection was never established. */
  #fail (reason: FailureReason): void {
    this.#isReusable = false
    this.#socket.destroy()
    if (!this.#isConnected) return this.#finish({ kind: 'notRun', reason: 'unreachable' })
    this.#finish({ kind: 'failed', reason })
  }
}
