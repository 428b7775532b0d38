import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { BodyBuffer } from '../buffers/bodyBuffer.js'
import { BufferPool } from '../buffers/bufferPool.js'
import type { HeaderNames } from '../inbound/targetResult.js'
import type { RequestOrigin } from '../inbound/targetRuns.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import type { RequestLimits } from '../routing/meshConfig.js'
import type { OutboundDesk } from './outboundDesk.js'
import type { Responder } from './outboundTypes.js'
import { readHead, responseHeaders } from './requestHead.js'

export interface OutboundServerOptions {
  address: string
  port: number
  desk: OutboundDesk
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  originOf (requestId: string): RequestOrigin
}

/** Limits in force until the first configuration names others. */
const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16 * 1024, maxBodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000
}
/** The HTTP parser's own bound; the configuration's lower one is checked on top of it. */
const PARSER_HEADER_BYTES = 128 * 1024
/** A connection is kept a little longer than callers may leave it idle, so that none is closed under a request. */
const IDLE_MARGIN_MS = 1_000
const RETRY_AFTER_STOPPING_MS = 50
/** Wait of callers whose bodies found no room. */
const RETRY_AFTER_FULL_MS = 300
/** What the bodies of all requests that are not whole yet may take. */
const UNREAD_BODIES_BYTES = 96 * 1024 * 1024

/** Takes callers' requests over HTTP/1.1. */
export class NodeOutboundServer {
  readonly #opts: OutboundServerOptions
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #unread = new BufferPool(UNREAD_BODIES_BYTES)
  #limits = DEFAULT_LIMITS
  #stopping = false
  #refusing = false
  #open = 0
  #lastRequestAt = 0

  constructor (opts: OutboundServerOptions) {
    this.#opts = opts
    this.#server = http.createServer({ maxHeaderSize: PARSER_HEADER_BYTES, requestTimeout: 0, noDelay: true }, (req, res) => this.#onRequest(req, res))
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.#onBadInput(err, socket))
    this.#applyLimits()
  }

  /** Requests that have not been answered. */
  get open (): number {
    return this.#open
  }

  /** Monotonic time of the last request, on the clock of `performance`. */
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

  /** From now on each answer asks its caller to connect elsewhere. */
  startStopping (): void {
    this.#stopping = true
  }

  /** From now on requests are refused as not run. */
  startRefusing (): void {
    this.#refusing = true
  }

  close (): void {
    this.#server.close()
    this.#server.closeIdleConnections()
  }

  #applyLimits (): void {
    this.#server.keepAliveTimeout = this.#limits.idleTimeoutMs + IDLE_MARGIN_MS
    this.#server.headersTimeout = Math.max(this.#limits.headerTimeoutMs, 1_000)
  }

  #onRequest (req: IncomingMessage, res: ServerResponse): void {
    this.#open++
    this.#lastRequestAt = performance.now()
    let isOver = false
    const over = (): void => {
      if (isOver) return
      isOver = true
      this.#open--
    }
    res.on('close', over)
    res.on('finish', over)
    res.sendDate = false
    const headerBytes = req.rawHeaders.reduce((total, text) => total + text.length + 2, req.url?.length ?? 0)
    if (headerBytes > this.#limits.maxHeaderBytes) return this.#refuseUnread(req, res, 431, 'headerTooLarge')
    if (Number(req.headers['content-length'] ?? 0) > this.#limits.maxBodyBytes) return this.#refuseUnread(req, res, 413, 'bodyTooLarge')
    this.#readBody(req, res)
  }

  #readBody (req: IncomingMessage, res: ServerResponse): void {
    const body = new BodyBuffer()
    const holder = { giveUp: (limit: number) => this.#onBoundPassed(req, res, 503, 'buffers', limit) }
    const release = (): void => this.#unread.release(holder)
    req.on('data', (piece: Buffer) => {
      if (res.headersSent) return
      const { maxBodyBytes } = this.#limits
      if (body.length + piece.length > maxBodyBytes) {
        release()
        return this.#onBoundPassed(req, res, 413, 'body', maxBodyBytes)
      }
      const before = body.capacity
      body.append(piece)
      if (body.capacity > before) this.#unread.grow(holder, body.capacity - before)
    })
    req.on('error', (err) => this.#opts.log.decision('callerError', { reason: err.message }))
    req.on('close', release)
    req.on('end', () => {
      release()
      if (!res.headersSent) this.#onWhole(req, res, body.take())
    })
  }

  /** The request has not run, and its connection is closed. */
  #onBoundPassed (req: IncomingMessage, res: ServerResponse, status: number, bound: string, limit: number): void {
    this.#opts.metrics.event('boundPassed')
    this.#opts.log.call(false, 'boundPassed', { from: 'caller', bound, limit })
    this.#refuseUnread(req, res, status, status === 413 ? 'bodyTooLarge' : 'buffersFull')
  }

  #onWhole (req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const outcome = readHead(req.url!, req.rawHeaders, this.#opts.names)
    const responder = this.#responder(req, res)
    if (outcome.kind === 'bad') {
      this.#opts.metrics.event('badInput')
      this.#opts.log.call(false, 'outbound', { outcome: 400, reason: outcome.reason })
      return responder.refuse(400, outcome.reason)
    }
    const { head } = outcome
    if (this.#refusing) return responder.refuse(503, 'stopping', RETRY_AFTER_STOPPING_MS)
    const origin = this.#opts.originOf(head.requestId)
    const left = this.#opts.desk.handle({ method: req.method!, url: req.url!, head, body, origin }, responder)
    res.on('close', () => { if (!res.writableEnded) left() })
  }

  #responder (req: IncomingMessage, res: ServerResponse): Responder {
    return {
      answer: (reply) => {
        if (res.destroyed) return
        const headers = responseHeaders(reply.headers)
        const isBodiless = reply.status === 204 || reply.status === 304
        if (reply.unframed) endWithConnection(res)
        else if (!isBodiless && req.method !== 'HEAD') headers.push('Content-Length', String(reply.body.length))
        this.#closeIfStopping(headers)
        res.writeHead(reply.status, headers)
        res.end(isBodiless ? undefined : reply.body)
      },
      refuse: (status, reason, retryAfterMs) => {
        if (res.destroyed || res.headersSent) return
        const body = `${reason}\n`
        const headers = ['Content-Type', 'text/plain', 'Content-Length', String(Buffer.byteLength(body))]
        if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3))
        this.#closeIfStopping(headers)
        res.writeHead(status, headers)
        res.end(req.method === 'HEAD' ? undefined : body)
      }
    }
  }

  #closeIfStopping (headers: string[]): void {
    if (this.#stopping) headers.push('Connection', 'close')
  }

  /** Answers before the request has been read whole; the connection can't be used for another one. */
  #refuseUnread (req: IncomingMessage, res: ServerResponse, status: number, reason: string): void {
    this.#opts.metrics.event('badInput')
    this.#opts.log.call(false, 'outbound', { outcome: status, reason })
    const headers = ['Content-Type', 'text/plain', 'Content-Length', String(reason.length + 1), 'Connection', 'close']
    if (status === 503) headers.push('Retry-After', (RETRY_AFTER_FULL_MS / 1000).toFixed(3))
    res.writeHead(status, headers)
    res.end(`${reason}\n`)
    req.resume()
  }

  #onBadInput (err: NodeJS.ErrnoException, socket: Socket): void {
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

/** A body of which nothing shows that it is whole is passed on without a length, too. */
function endWithConnection (res: ServerResponse): void {
  res.shouldKeepAlive = false
  res.useChunkedEncodingByDefault = false
}

const CLIENT_ERROR_STATUS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}
