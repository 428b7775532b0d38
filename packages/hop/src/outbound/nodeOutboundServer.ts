import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { HeaderNames } from '../headers.js'
import { BodyBuffer } from '../buffers/bodyBuffer.js'
import { BufferBudget } from '../buffers/bufferBudget.js'
import type { StoppableServer } from '../daemon/gracefulShutdown.js'
import type { LoopLag } from '../daemon/nodeLoopLag.js'
import { NotForwardable } from '../errors.js'
import type { RequestOrigin } from '../inbound/runningRequests.js'
import type { SendQueue } from '../link/sendQueue.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { RequestLimits } from '../routing/meshConfig.js'
import type { OutboundHandler } from './outboundHandler.js'
import type { ForwardedResponse, Responder } from './outboundTypes.js'
import { sendBody } from './nodeResponseTransfer.js'
import { parseRequestHead, forwardedResponseHeaders } from './requestHead.js'

export interface OutboundServerOptions {
  address: string
  port: number
  handler: OutboundHandler
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  lag: Pick<LoopLag, 'whenRead'>
  /** Queue of this host's link. */
  queue: SendQueue
  /** Who made a request, from its id: a caller, or another request that runs on the target beside this daemon. */
  originOf (requestId: string): RequestOrigin
}

/** Limits that apply until the first configuration. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16 * 1024, maxBodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000
}
/** Header limit of the HTTP parser; the lower configured limit is checked in addition, in `#onRequest`. */
const PARSER_MAX_HEADER_BYTES = 128 * 1024
/** Added to the idle timeout of callers, so that no connection is closed while a request arrives on it. */
const IDLE_MARGIN_MS = 1_000
/** Retry-After for callers rejected because the daemon is stopping. */
const RETRY_AFTER_STOPPING_MS = 50
/** Retry-After for callers whose body exceeded the buffers. */
const RETRY_AFTER_BUFFERS_FULL_MS = 300
/** Limit on the bytes buffered for all request bodies that have not been read completely. */
const MAX_BUFFERED_BYTES = 96 * 1024 * 1024

/**
 * HTTP/1.1 server for callers: reads requests within the limits on headers, bodies and buffers, passes complete ones to the
 * handler, and writes the responses.
 */
export class NodeOutboundServer implements StoppableServer {
  readonly #opts: OutboundServerOptions
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #buffers = new BufferBudget(MAX_BUFFERED_BYTES)
  #limits = DEFAULT_LIMITS
  #isStopping = false
  #isRejecting = false
  /** Requests with a later deadline are refused, as the daemon stops then; in monotonic milliseconds. */
  #endsAt = Infinity
  #inFlight = 0
  #lastRequestAt = 0

  constructor (opts: OutboundServerOptions) {
    this.#opts = opts
    this.#server = http.createServer({ maxHeaderSize: PARSER_MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true }, (req, res) => this.#onRequest(req, res))
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.#onClientError(err, socket))
    this.#applyLimits()
  }

  /** Number of requests that wait for their response or are still being read. */
  get inFlight (): number {
    return this.#inFlight
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

  /** From now on each response closes its connection, so that the caller connects elsewhere. */
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

  /** Accepts no more connections, and closes the idle ones. */
  close (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  #applyLimits (): void {
    this.#server.keepAliveTimeout = this.#limits.idleTimeoutMs + IDLE_MARGIN_MS
    this.#server.headersTimeout = Math.max(this.#limits.headerTimeoutMs, 1_000)
  }

  #onRequest (req: IncomingMessage, res: ServerResponse): void {
    this.#inFlight++
    this.#lastRequestAt = performance.now()
    let isEnded = false
    const onEnd = (): void => {
      if (isEnded) return
      isEnded = true
      this.#inFlight--
    }
    res.on('close', onEnd)
    res.on('finish', onEnd)
    res.sendDate = false
    const headerBytes = req.rawHeaders.reduce((total, text) => total + text.length + 2, req.url?.length ?? 0)
    if (headerBytes > this.#limits.maxHeaderBytes) return this.#rejectUnread(req, res, 431, 'headerTooLarge')
    if (Number(req.headers['content-length'] ?? 0) > this.#limits.maxBodyBytes) return this.#rejectUnread(req, res, 413, 'bodyTooLarge')
    this.#readBody(req, res)
  }

  #readBody (req: IncomingMessage, res: ServerResponse): void {
    const body = new BodyBuffer()
    const holder = { evict: (limit: number) => this.#onLimitExceeded(req, res, 503, 'buffers', limit) }
    const release = (): void => this.#buffers.release(holder)
    req.on('data', (chunk: Buffer) => {
      if (res.headersSent) return
      const { maxBodyBytes } = this.#limits
      if (body.length + chunk.length > maxBodyBytes) {
        release()
        return this.#onLimitExceeded(req, res, 413, 'body', maxBodyBytes)
      }
      const oldCapacity = body.capacity
      body.append(chunk)
      if (body.capacity > oldCapacity) this.#buffers.grow(holder, body.capacity - oldCapacity)
    })
    req.on('error', (err) => this.#opts.log.decision('callerError', { reason: err.message }))
    req.on('close', release)
    req.on('end', () => {
      release()
      if (!res.headersSent) this.#opts.lag.whenRead(() => this.#onRequestRead(req, res, body.take()))
    })
  }

  /** Rejects a request that exceeded a limit while its body was read, and closes its connection. */
  #onLimitExceeded (req: IncomingMessage, res: ServerResponse, status: number, limitName: string, limit: number): void {
    this.#opts.metrics.event('boundPassed')
    this.#opts.log.call(false, 'boundPassed', { from: 'caller', bound: limitName, limit })
    this.#rejectUnread(req, res, status, status === 413 ? 'bodyTooLarge' : 'buffersFull')
  }

  /** Handles a request that has been read completely. */
  #onRequestRead (req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    if (res.destroyed || req.socket.readableEnded) return this.#opts.log.call(false, 'outbound', { outcome: 'callerLeft', reason: 'unread' })
    const outcome = parseRequestHead(req.url!, req.rawHeaders, this.#opts.names)
    if (outcome.kind === 'bad') {
      this.#opts.metrics.event('badInput')
      this.#opts.log.call(false, 'outbound', { outcome: 400, reason: outcome.reason })
      return this.#responder(req, res, 'caller').reject(400, outcome.reason)
    }
    const { head } = outcome
    const origin = this.#opts.originOf(head.requestId)
    const responder = this.#responder(req, res, origin)
    const mayOutlastStop = performance.now() + head.deadlineMs > this.#endsAt
    if (mayOutlastStop || (this.#isRejecting && origin === 'caller')) {
      this.#opts.log.call(false, 'outbound', { id: head.requestId, outcome: 503, reason: 'stopping', origin })
      return responder.reject(503, 'stopping', RETRY_AFTER_STOPPING_MS)
    }
    try {
      const onCallerLeft = this.#opts.handler.handle({ method: req.method!, url: req.url!, head, body, origin }, responder)
      res.on('close', () => { if (!res.writableEnded) onCallerLeft() })
    } catch (err) {
      this.#opts.log.call(false, 'outbound', { id: head.requestId, outcome: 502, reason: 'internalError', error: (err as Error).stack })
      responder.reject(502, 'internalError')
    }
  }

  #responder (req: IncomingMessage, res: ServerResponse, origin: RequestOrigin): Responder {
    return {
      respond: (reply, urgency) => {
        if (res.destroyed) return
        try {
          this.#writeReply(req, res, reply, origin === 'caller' ? urgency : undefined)
        } catch (err) {
          if (res.headersSent) res.destroy()
          throw new NotForwardable('the response of a target cannot be written', err)
        }
      },
      reject: (status, reason, retryAfterMs) => {
        if (res.destroyed || res.headersSent) return
        const body = `${reason}\n`
        const headers = ['Content-Type', 'text/plain', 'Content-Length', String(Buffer.byteLength(body))]
        if (status === 401) headers.push('WWW-Authenticate', 'Bearer')
        if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3))
        this.#closeIfStopping(headers)
        res.writeHead(status, headers)
        res.end(req.method === 'HEAD' ? undefined : body)
      }
    }
  }

  /** `urgency`: at the link of this host; undefined for the target beside this daemon, which is reached without it. */
  #writeReply (req: IncomingMessage, res: ServerResponse, reply: ForwardedResponse, urgency: number | undefined): void {
    const headers = forwardedResponseHeaders(reply.headers)
    const isBodiless = reply.status === 204 || reply.status === 304
    if (reply.unframed) endBodyByClosing(res)
    else if (!isBodiless && req.method !== 'HEAD') headers.push('Content-Length', String(reply.body.length))
    this.#closeIfStopping(headers)
    res.writeHead(reply.status, headers)
    if (isBodiless || urgency === undefined) res.end(isBodiless ? undefined : reply.body)
    else sendBody(res, reply.body, urgency, this.#opts.queue)
  }

  #closeIfStopping (headers: string[]): void {
    if (this.#isStopping) headers.push('Connection', 'close')
  }

  /** Rejects a request before it has been read completely; its connection can't be reused and is closed. */
  #rejectUnread (req: IncomingMessage, res: ServerResponse, status: number, reason: string): void {
    this.#opts.metrics.event('badInput')
    this.#opts.log.call(false, 'outbound', { outcome: status, reason })
    const headers = ['Content-Type', 'text/plain', 'Content-Length', String(reason.length + 1), 'Connection', 'close']
    if (status === 503) headers.push('Retry-After', (RETRY_AFTER_BUFFERS_FULL_MS / 1000).toFixed(3))
    res.writeHead(status, headers)
    res.end(`${reason}\n`)
    req.resume()
  }

  #onClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    this.#opts.metrics.event('badInput')
    const status = CLIENT_ERROR_STATUS[err.code ?? ''] ?? '400 Bad Request'
    this.#opts.log.call(err.code === 'ECONNRESET', 'badInput', { code: err.code, reason: err.message })
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  }
}

/** Ends the body by closing the connection: a body without a length can't be known to be complete, and is forwarded as such. */
function endBodyByClosing (res: ServerResponse): void {
  res.shouldKeepAlive = false
  res.useChunkedEncodingByDefault = false
}

/** Status line by error code of the HTTP parser; others get 400. */
const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
