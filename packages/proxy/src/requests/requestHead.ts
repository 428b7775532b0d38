import { METHODS } from '@lentilwheel/config'
import { hostName } from '@lentilwheel/core'
import { ATTEMPT_HEADER, DEADLINE_HEADER, INTERNAL_HEADER_PREFIX } from '../constants.js'
import { REFUSALS, type Refusal } from './refusal.js'

/** Headers that concern one connection only. `host` is set again from the value checked here. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect'
])
/** Naming one of these in `connection` would change how the request is framed or routed. */
const NOT_NOMINABLE: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding', 'authorization'])
const KNOWN_METHODS: ReadonlySet<string> = new Set(METHODS)
const WHOLE_NUMBER = /^\d{1,9}$/

/** What the proxy takes from a request's head, or why it refuses it. */
export class RequestHead {
  /** Names and values for the target, flat. */
  readonly headers: string[] = []
  host = ''
  path = ''
  /** Declared body length; -1 when the body is chunked, 0 when there is none. */
  bodyLength = 0
  deadlineMs = Infinity
  upstreamAttempts = 0
  refusal: Refusal | undefined
  #hosts = 0
  #lengths = 0
  #chunked = false
  #nominated: ReadonlySet<string> | undefined

  constructor (method: string, url: string, rawHeaders: readonly string[]) {
    if (!KNOWN_METHODS.has(method)) this.refusal = REFUSALS.method
    else if (url.charCodeAt(0) !== 0x2f) this.refusal = REFUSALS.badTarget
    else this.#read(url, rawHeaders)
  }

  #read (url: string, rawHeaders: readonly string[]): void {
    const query = url.indexOf('?')
    this.path = query < 0 ? url : url.slice(0, query)
    for (let i = 0; i < rawHeaders.length && !this.refusal; i += 2) {
      this.#readHeader(rawHeaders[i]!, rawHeaders[i + 1]!)
    }
    if (this.refusal) return
    if (this.#hosts !== 1) this.refusal = REFUSALS.badHost
    else if (this.#lengths > 1 || (this.#lengths === 1 && this.#chunked)) this.refusal = REFUSALS.badFraming
    else if (this.#nominated) this.#removeNominated(this.#nominated)
  }

  #readHeader (name: string, value: string): void {
    const key = name.toLowerCase()
    if (key.startsWith(INTERNAL_HEADER_PREFIX)) return this.#readInternal(key, value)
    if (HOP_BY_HOP.has(key)) return this.#readHopByHop(key, value)
    if (key === 'host') {
      this.#hosts++
      this.host = hostName(value)
    } else if (key === 'content-length') {
      this.#lengths++
      if (!/^\d{1,15}$/.test(value)) this.refusal = REFUSALS.badFraming
      this.bodyLength = Number(value)
    }
    this.headers.push(key, value)
  }

  #readHopByHop (key: string, value: string): void {
    if (key === 'transfer-encoding') {
      if (this.#chunked || value.trim().toLowerCase() !== 'chunked') this.refusal = REFUSALS.badFraming
      this.#chunked = true
      this.bodyLength = -1
    } else if (key === 'connection' && value !== 'keep-alive' && value !== 'close') {
      this.#nominate(value)
    }
  }

  #nominate (value: string): void {
    const names = value.toLowerCase().split(',').map((name) => name.trim())
    if (names.some((name) => NOT_NOMINABLE.has(name))) this.refusal = REFUSALS.badConnectionHeader
    this.#nominated = new Set([...this.#nominated ?? [], ...names])
  }

  #removeNominated (names: ReadonlySet<string>): void {
    for (let i = this.headers.length - 2; i >= 0; i -= 2) {
      if (names.has(this.headers[i]!)) this.headers.splice(i, 2)
    }
  }

  /** An upstream hop can only shorten the deadline and forbid retries, so its values need no trust. */
  #readInternal (key: string, value: string): void {
    if (key !== DEADLINE_HEADER && key !== ATTEMPT_HEADER) return
    if (!WHOLE_NUMBER.test(value)) this.refusal = REFUSALS.badDeadline
    else if (key === DEADLINE_HEADER) this.deadlineMs = Math.min(this.deadlineMs, Number(value))
    else this.upstreamAttempts = Math.max(this.upstreamAttempts, Number(value))
  }
}
