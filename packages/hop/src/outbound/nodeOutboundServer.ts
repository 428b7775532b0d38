import { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { HeaderNames } from '../headers.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import type { StoppableServer } from '../daemon/gracefulShutdown.js'
import { runAfterReading, type LoopLag } from '../daemon/nodeLoopLag.js'
import type { RequestOrigin } from '../inbound/runningRequests.js'
import { OpenSockets } from '../link/nodeOpenSockets.js'
import type { SendQueue } from '../link/sendQueue.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { RequestLimits } from '../routing/meshConfig.js'
import type { OutboundHandler } from './outboundHandler.js'
import type { CallerLimits } from './callerLimits.js'
import { readBody } from './nodeBodyReader.js'
import { CallerConnections } from './nodeCallerConnections.js'
import type { CallerExchange } from './nodeCallerExchange.js'
import { headBytes, parseRequestHead } from './requestHead.js'

export interface OutboundServerOptions {
  address: string
  port: number
  timers: Pick<Timers, 'now' | 'every'>
  handler: OutboundHandler
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  lag: Pick<LoopLag, 'whenRead'>
  /** Queue of this host's link. */
  queue: SendQueue
  /** Budget for all that the process holds. */
  budget: BufferBudget
  callerLimits: CallerLimits
  /** Who made a request, from its id: a caller, or another request that runs on the target beside this daemon. */
  originOf (requestId: string): RequestOrigin
}

/** Limits that apply until the first configuration. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16 * 1024, maxBodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000
}
/** Header limit of the HTTP parser, as a multiple of the configured one, which is checked in addition and answered with a status. */
const PARSER_HEADER_LIMIT_FACTOR = 2
/** Added to the idle timeout of callers, so that no connection is closed while a request arrives on it. */
const IDLE_MARGIN_MS = 1_000
/** Interval at which Node.js looks for heads that take too long. */
const HEADER_CHECK_INTERVAL_MS = 1_000
const MIN_HEADER_TIMEOUT_MS = 1_000
/** Retry-After for callers rejected because the daemon is stopping. */
const RETRY_AFTER_STOPPING_MS = 50

/** Node.js closes idle connections at once when its server closes, also before their callers have read the last response. */
class CallerServer extends Server {
  override closeIdleConnections (): void {}
}

/** HTTP/1.1 server for callers: reads requests within the limits, passes complete ones to the handler, and writes the responses. */
export class NodeOutboundServer implements StoppableServer {
  readonly #opts: OutboundServerOptions
  readonly #server: Server
  readonly #connections: CallerConnections
  readonly #openSockets = new OpenSockets()
  #limits = DEFAULT_LIMITS
  #isStopping = false
  #isRejecting = false
  /** Requests with a later deadline are refused, as the daemon stops then; in monotonic milliseconds. */
  #endsAt = Infinity
  #lastRequestAt = 0

  constructor (opts: OutboundServerOptions) {
    this.#opts = opts
    this.#connections = new CallerConnections({
      timers: opts.timers,
      limits: opts.callerLimits,
      budget: opts.budget,
      isStopping: () => this.#isStopping,
      idleMs: () => this.#limits.idleTimeoutMs + IDLE_MARGIN_MS + this.#limits.headerTimeoutMs,
      onRequest: (exchange) => this.#onRequest(exchange),
      onForcedClose: (reason, heldBytes) => {
        opts.metrics.event('callerClosed')
        opts.log.call(false, 'callerClosed', { reason, heldBytes })
      }
    })
    this.#server = new CallerServer({ requestTimeout: 0, noDelay: true, connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS }, (req, res) => {
      this.#lastRequestAt = performance.now()
      this.#connections.addRequest(req, res)
    })
    this.#server.on('connection', (socket) => {
      this.#openSockets.add(socket)
      this.#connections.add(socket)
    })
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.#onClientError(err, socket))
    this.#applyLimits()
  }

  /** Number of requests that wait for their response or are still being read. */
  get inFlight (): number {
    return this.#connections.inFlight
  }

  /** Number of open connections of callers. */
  get connections (): number {
    return this.#connections.open
  }

  /** Time of the last request, from `performance.now()`. */
  get lastRequestAt (): number {
    return this.#lastRequestAt
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#opts.port, this.#opts.address, 2_048, resolve)
    })
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  setLimits (limits: RequestLimits): void {
    this.#limits = limits
    this.#applyLimits()
  }

  /** From now on the last response of each connection closes it, so that the caller connects elsewhere. */
  startStopping (): void {
    this.#isStopping = true
  }

  /** From now on requests that may run longer than until `endsAt` are rejected without being run. */
  refuseLaterThan (endsAt: number): void {
    this.#endsAt = endsAt
  }

  /** From now on callers' requests are rejected without being run; those of requests that still run here are not. */
  startRefusing (): void {
    this.#isRejecting = true
  }

  /** Accepts no more connections and rejects what has still arrived; each connection ends after its last response. */
  close (): void {
    this.#isStopping = true
    this.#isRejecting = true
    this.#server.close()
    runAfterReading(() => this.#connections.endIdle((exchange) => exchange.rejectUnread(503, 'stopping', 0, RETRY_AFTER_STOPPING_MS)))
  }

  /** Resolves once all connections are closed; after `close`, callers do so when they have read their last response. */
  async whenClosed (): Promise<void> {
    await this.#openSockets.whenEmpty()
  }

  /** The limit of the parser holds for connections that are opened from now on. */
  #applyLimits (): void {
    const { idleTimeoutMs, headerTimeoutMs, maxHeaderBytes } = this.#limits
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS
    this.#server.headersTimeout = Math.max(headerTimeoutMs, MIN_HEADER_TIMEOUT_MS)
    Object.assign(this.#server, { maxHeaderSize: PARSER_HEADER_LIMIT_FACTOR * maxHeaderBytes })
  }

  #onRequest (exchange: CallerExchange): void {
    const { req } = exchange
    exchange.onRejectedUnread = (status, reason, limit) => this.#onRejectedUnread(status, reason, limit)
    const headerBytes = headBytes(req.rawHeaders) + (req.url?.length ?? 0)
    if (headerBytes > this.#limits.maxHeaderBytes) return exchange.rejectUnread(431, 'headerTooLarge', this.#limits.maxHeaderBytes)
    readBody(exchange, this.#limits.maxBodyBytes, (body) => this.#opts.lag.whenRead(() => this.#onRequestRead(exchange, body)))
  }

  #onRejectedUnread (status: number, reason: string, limit: number): void {
    const { metrics, log } = this.#opts
    const bound = LIMIT_BY_REASON[reason]
    if (bound) {
      metrics.event('boundPassed')
      log.call(false, 'boundPassed', { from: 'caller', bound, limit })
    }
    if (reason !== 'stopping') metrics.event('badInput')
    log.call(false, 'outbound', { outcome: status, reason })
  }

  /** Handles a request that has been read completely. */
  #onRequestRead (exchange: CallerExchange, body: Buffer): void {
    const { handler, log, metrics, names, originOf, queue } = this.#opts
    const { req } = exchange
    if (exchange.isGone) return log.call(false, 'outbound', { outcome: 'callerLeft', reason: 'unread' })
    const outcome = parseRequestHead(req.url!, exchange.takeHeaders(), names)
    if (outcome.kind === 'bad') {
      metrics.event('badInput')
      log.call(false, 'outbound', { outcome: 400, reason: outcome.reason })
      return exchange.reject(400, outcome.reason)
    }
    const { head } = outcome
    const origin = originOf(head.requestId)
    if (this.#isRefusing(origin, head.deadlineMs)) {
      log.call(false, 'outbound', { id: head.requestId, outcome: 503, reason: 'stopping', origin })
      return exchange.reject(503, 'stopping', RETRY_AFTER_STOPPING_MS)
    }
    try {
      // The target beside this daemon is reached without the link.
      const responder = exchange.responder(queue, origin === 'caller')
      exchange.setCancel(handler.handle({ method: req.method!, url: req.url!, head, body, origin }, responder))
    } catch (err) {
      log.call(false, 'outbound', { id: head.requestId, outcome: 502, reason: 'internalError', error: (err as Error).stack })
      exchange.reject(502, 'internalError')
    }
  }

  #isRefusing (origin: RequestOrigin, deadlineMs: number): boolean {
    return performance.now() + deadlineMs > this.#endsAt || (this.#isRejecting && origin === 'caller')
  }

  #onClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    // The end of what is dropped may be in the middle of a request.
    if (this.#connections.isEnding(socket) && err.code !== 'ECONNRESET') return
    this.#opts.metrics.event('badInput')
    const status = CLIENT_ERROR_STATUS[err.code ?? ''] ?? '400 Bad Request'
    this.#opts.log.call(err.code === 'ECONNRESET', 'badInput', { code: err.code, reason: err.message })
    // A caller that has ended its side in the middle of a request has left.
    if (err.code === 'ECONNRESET' || !socket.writable || socket.readableEnded) {
      socket.destroy()
      return
    }
    this.#connections.endWith(socket, `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

/** Names of the limits that a rejected body exceeded, by the reason of its rejection. */
const LIMIT_BY_REASON: Readonly<Record<string, string>> = { bodyTooLarge: 'body', buffersFull: 'buffers', bodyTimeout: 'bodyTime' }

/** Status line by error code of the HTTP parser; others get 400. */
const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
