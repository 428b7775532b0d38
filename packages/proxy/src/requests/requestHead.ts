import { METHODS } from '@lentilwheel/config'
import { hostName } from '@lentilwheel/core'
import { ATTEMPT_HEADER, DEADLINE_HEADER, INTERNAL_HEADER_PREFIX } from '../constants.js'
import { REJECTIONS, type Rejection } from './rejection.js'

/** Headers that concern one connection only and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect'
])
/** Headers that `connection` must not name: removing them would change how the request is framed, routed or authorised. */
const PROTECTED_HEADERS: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding', 'authorization'])
const KNOWN_METHODS: ReadonlySet<string> = new Set(METHODS)
const WHOLE_NUMBER = /^\d{1,9}$/

/**
 * Parses the head of a caller's request: the headers to forward and what routing needs, or the reason to reject it.
 * Ambiguous framing is rejected, so that no request can be smuggled to a target.
 */
export class RequestHead {
  /** Headers to forward: names and values alternate. */
  readonly headers: string[] = []
  host = ''
  path = ''
  /** Declared body length; -1 when the body is chunked, 0 when there is none. */
  bodyLength = 0
  /** Time left for the call as an upstream hop states it. */
  remainingMs = Infinity
  /** Attempts that upstream hops made. */
  upstreamAttempts = 0
  rejection: Rejection | undefined
  #hostCount = 0
  #contentLengthCount = 0
  #isChunked = false
  /** Names listed in the `connection` header. */
  #connectionOptions: ReadonlySet<string> | undefined

  constructor (method: string, url: string, rawHeaders: readonly string[]) {
    if (!KNOWN_METHODS.has(method)) this.rejection = REJECTIONS.method
    else if (url.charCodeAt(0) !== 0x2f) this.rejection = REJECTIONS.badTarget
    else this.#read(url, rawHeaders)
  }

  #read (url: string, rawHeaders: readonly string[]): void {
    const query = url.indexOf('?')
    this.path = query < 0 ? url : url.slice(0, query)
    for (let i = 0; i < rawHeaders.length && !this.rejection; i += 2) {
      this.#readHeader(rawHeaders[i]!, rawHeaders[i + 1]!)
    }
    if (this.rejection) return
    if (this.#hostCount !== 1) this.rejection = REJECTIONS.badHost
    else if (this.#contentLengthCount > 1 || (this.#contentLengthCount === 1 && this.#isChunked)) this.rejection = REJECTIONS.badFraming
    else if (this.#connectionOptions) this.#removeHeaders(this.#connectionOptions)
  }

  #readHeader (name: string, value: string): void {
    const key = name.toLowerCase()
    if (key.startsWith(INTERNAL_HEADER_PREFIX)) return this.#readInternal(key, value)
    if (HOP_BY_HOP_HEADERS.has(key)) return this.#readHopByHop(key, value)
    if (key === 'host') {
      this.#hostCount++
      this.host = hostName(value)
    } else if (key === 'content-length') {
      this.#contentLengthCount++
      if (!/^\d{1,15}$/.test(value)) this.rejection = REJECTIONS.badFraming
      this.bodyLength = Number(value)
    }
    this.headers.push(key, value)
  }

  #readHopByHop (key: string, value: string): void {
    if (key === 'transfer-encoding') {
      if (this.#isChunked || value.trim().toLowerCase() !== 'chunked') this.rejection = REJECTIONS.badFraming
      this.#isChunked = true
      this.bodyLength = -1
    } else if (key === 'connection' && value !== 'keep-alive' && value !== 'close') {
      this.#readConnectionOptions(value)
    }
  }

  #readConnectionOptions (value: string): void {
    const names = value.toLowerCase().split(',').map((name) => name.trim())
    if (names.some((name) => PROTECTED_HEADERS.has(name))) this.rejection = REJECTIONS.badConnectionHeader
    this.#connectionOptions = new Set([...this.#connectionOptions ?? [], ...names])
  }

  #removeHeaders (names: ReadonlySet<string>): void {
    for (let i = this.headers.length - 2; i >= 0; i -= 2) {
      if (names.has(this.headers[i]!)) this.headers.splice(i, 2)
    }
  }

  /** Reads the deadline and the attempts. They can only shorten the deadline and forbid retries, so any caller may set them. */
  #readInternal (key: string, value: string): void {
    if (key !== DEADLINE_HEADER && key !== ATTEMPT_HEADER) return
    if (!WHOLE_NUMBER.test(value)) this.rejection = REJECTIONS.badDeadline
    else if (key === DEADLINE_HEADER) this.remainingMs = Math.min(this.remainingMs, Number(value))
    else this.upstreamAttempts = Math.max(this.upstreamAttempts, Number(value))
  }
}
