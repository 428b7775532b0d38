import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BodyBuffer } from '../buffers/bodyBuffer.js'
import { NotForwardable } from '../errors.js'
import type { SendQueue } from '../link/sendQueue.js'
import type { CallerConnection } from './nodeCallerConnection.js'
import type { ForwardedResponse, Responder } from './outboundTypes.js'
import { sendBody } from './nodeResponseTransfer.js'
import { PackedHead } from './packedHead.js'
import { forwardedResponseHeaders, headBytes } from './requestHead.js'

/** Retry-After for callers whose body exceeded the buffers. */
const RETRY_AFTER_BUFFERS_FULL_MS = 300
/** Memory of a request whose body is arriving, besides its head and body, about. */
const OPEN_REQUEST_BYTES = 8_192
/** Smaller bodies aren't accounted for; a connection has few of them at a time. */
const MIN_COUNTED_BYTES = 2_048
/** Longest body that is passed on without a length; systems take as much for a connection on which nothing waits. */
const MAX_UNFRAMED_BYTES = 1024 * 1024

/** One request of a caller and its response. */
export class CallerExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly #connection: CallerConnection
  /** What has arrived of the body while it is incomplete; undefined before and after that. */
  unreadBody: BodyBuffer | undefined
  /** Called when the request is rejected while its body is being read. */
  onRejectedUnread: (status: number, reason: string, limit: number) => void = () => {}
  #packedHead: PackedHead | undefined
  #readingBytes = 0
  #baseBytes = 0
  #heldBytes = 0
  #unreadBytes = 0
  #cancel: (() => void) | undefined
  #dropBody: (() => void) | undefined

  constructor (connection: CallerConnection, req: IncomingMessage, res: ServerResponse) {
    this.#connection = connection
    this.req = req
    this.res = res
    res.sendDate = false
    res.on('finish', () => this.#onSent())
  }

  /** Whether nobody waits for the response any more. */
  get isGone (): boolean {
    return this.res.destroyed || this.#connection.isGone
  }

  /** Whether the body of the request is still arriving. */
  get isReading (): boolean {
    return this.unreadBody !== undefined
  }

  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Sets the bytes that are held for the request now; the connection may be closed for it before this returns. */
  hold (bytes: number): void {
    const counted = this.#baseBytes + this.#readingBytes + (bytes < MIN_COUNTED_BYTES ? 0 : bytes)
    const addedBytes = counted - this.#heldBytes
    if (addedBytes === 0) return
    this.#heldBytes = counted
    if (addedBytes > 0) this.#connection.grow(addedBytes)
    else this.#connection.shrink(-addedBytes)
  }

  /** Sets the bytes that are held for the request besides bodies, before any of these arrive or after they were dropped. */
  setBase (bytes: number): void {
    this.#baseBytes = bytes
    this.hold(0)
  }

  /** Called when the body begins to arrive. Counts the request until all has, with its head, which is kept in one piece if it is long. */
  startReading (body: BodyBuffer): void {
    const { req } = this
    this.unreadBody = body
    if (headBytes(req.rawHeaders) >= MIN_COUNTED_BYTES) {
      this.#packedHead = new PackedHead(req.rawHeaders)
      req.rawHeaders = []
      req.headers = {}
    }
    this.#readingBytes = OPEN_REQUEST_BYTES + (this.#packedHead?.length ?? 0)
    this.hold(0)
  }

  /** Called when the body has arrived, or won't be read any more; `bytes` are held for it from now on. */
  endReading (bytes: number): void {
    this.unreadBody = undefined
    this.#readingBytes = 0
    this.hold(bytes)
  }

  /** Names and values of the request's headers, which alternate. */
  takeHeaders (): string[] {
    const headers = this.#packedHead?.unpack() ?? this.req.rawHeaders
    this.#packedHead = undefined
    return headers
  }

  /** Sets what cancels the request; called when the caller leaves, and without effect once the request has ended. */
  setCancel (cancel: () => void): void {
    this.#cancel = cancel
  }

  /** `usesLink`: whether the caller is reached over the link of this host, so that its response waits for its turn there. */
  responder (queue: SendQueue, usesLink: boolean): Responder {
    return {
      respond: (reply, urgency) => {
        if (this.isGone) return
        try {
          this.#writeReply(reply, usesLink ? urgency : undefined, queue)
        } catch (err) {
          if (this.res.headersSent) this.res.destroy()
          throw new NotForwardable('the response of a target cannot be written', err)
        }
      },
      reject: (status, reason, retryAfterMs) => this.reject(status, reason, retryAfterMs)
    }
  }

  reject (status: number, reason: string, retryAfterMs?: number, closes = false): void {
    const { req, res } = this
    if (this.isGone || res.headersSent) return
    const body = `${reason}\n`
    const headers = ['Content-Type', 'text/plain', 'Content-Length', String(Buffer.byteLength(body))]
    if (status === 401) headers.push('WWW-Authenticate', 'Bearer')
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3))
    if (this.#connection.closesAfter(this, closes)) headers.push('Connection', 'close')
    res.writeHead(status, headers)
    res.end(req.method === 'HEAD' ? undefined : body)
  }

  /** Rejects a request before it has been read completely; its connection can't be reused and is closed. */
  rejectUnread (status: number, reason: string, limit: number, retryAfterMs = status === 503 ? RETRY_AFTER_BUFFERS_FULL_MS : undefined): void {
    if (this.res.headersSent) return
    this.endReading(0)
    this.onRejectedUnread(status, reason, limit)
    this.reject(status, reason, retryAfterMs, true)
    this.req.resume()
  }

  /** Frees what is held for a request that will get no response of its own. */
  drop (): void {
    this.#baseBytes = 0
    this.endReading(0)
  }

  /** Called when the connection has been closed. */
  onCallerLeft (): void {
    this.#dropBody?.()
    this.#cancel?.()
  }

  #writeReply (reply: ForwardedResponse, urgency: number | undefined, queue: SendQueue): void {
    const { req, res } = this
    const headers = forwardedResponseHeaders(reply.headers)
    const isBodiless = reply.status === 204 || reply.status === 304
    if (reply.unframed) return this.#writeUnframed(reply, headers)
    if (!isBodiless && req.method !== 'HEAD') headers.push('Content-Length', String(reply.body.length))
    if (this.#connection.closesAfter(this, false)) headers.push('Connection', 'close')
    res.writeHead(reply.status, headers)
    this.#unreadBytes = isBodiless ? 0 : reply.body.length
    this.#connection.addUnread(this.#unreadBytes)
    this.hold(this.#unreadBytes)
    if (this.isGone) return
    if (isBodiless || urgency === undefined) res.end(isBodiless ? undefined : reply.body)
    else this.#dropBody = sendBody(res, reply.body, urgency, queue)
  }

  /**
   * Passes on a response that ends with its connection. It isn't given a length, as the target may have cut it off without a sign. Nor would
   * its caller notice the end of this process in the middle of it, so the system has to take it whole, and sends it then in any case.
   */
  #writeUnframed ({ status, body }: ForwardedResponse, headers: string[]): void {
    const { res } = this
    if (body.length > MAX_UNFRAMED_BYTES) throw new NotForwardable('a response that ends by closing the connection is too long to be sent at once')
    if (!res.socket) throw new NotForwardable('a response that ends by closing the connection has others before it')
    if (!this.#connection.closesAfter(this, true)) throw new NotForwardable('a response that ends by closing the connection has others behind it')
    res.shouldKeepAlive = false
    res.useChunkedEncodingByDefault = false
    res.writeHead(status, headers)
    res.end(body)
    if (!this.#connection.hasUntakenBytes) return
    this.#connection.destroy('unframed')
    throw new NotForwardable('the system did not take at once a response that ends by closing the connection')
  }

  #onSent (): void {
    this.unreadBody = undefined
    this.#readingBytes = 0
    this.#dropBody = undefined
    this.#cancel = undefined
    this.setBase(0)
    this.#connection.onSent(this, this.#unreadBytes)
  }
}
