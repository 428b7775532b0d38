import { errors, Pool, type Dispatcher } from 'undici'
import type { Metrics, Timers, TokenBucket } from '@lentilwheel/core'
import type { PlatformClient, StoredObject } from './platformClient.js'
import {
  PlatformBadAnswer, PlatformBudgetExhausted, PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable
} from './errors.js'

export interface HttpPlatformOptions {
  url: string
  timers: Timers
  metrics: Metrics
  /** Rate limit of this process; a call beyond it fails at once. */
  budget?: TokenBucket
  timeoutMs?: number
  /** Time after which the platform ends a long poll without a change. */
  watchTimeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 3_000
const DEFAULT_WATCH_TIMEOUT_MS = 30_000
/** Time after `watchTimeoutMs` for which the client still waits for the response to a long poll. */
const WATCH_GRACE_MS = 2_000
const MAX_CONNECTIONS = 4
/** Limits the memory that a faulty response can take; a valid list has at most a few hundred small objects. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024

type ObjectResponse = { status: number, revision: number, body: Uint8Array }
type Operation = 'get' | 'put' | 'remove' | 'list' | 'watch'

/** Client of the platform's object API over HTTP, with timeouts, a rate limit and metrics. */
export class HttpPlatformClient implements PlatformClient {
  readonly #pool: Pool
  readonly #opts: HttpPlatformOptions
  readonly #timeoutMs: number
  readonly #watchTimeoutMs: number

  constructor (opts: HttpPlatformOptions) {
    this.#opts = opts
    this.#timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS
    this.#watchTimeoutMs = opts.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS
    this.#pool = new Pool(opts.url, { connections: MAX_CONNECTIONS, connect: { timeout: this.#timeoutMs }, maxResponseSize: MAX_RESPONSE_BYTES })
  }

  async get (key: string): Promise<StoredObject | undefined> {
    const response = await this.#call('get', { method: 'GET', path: objectPath(key) })
    if (response.status === 404) return undefined
    expectStatus(response, 200)
    return { key, value: response.body, revision: response.revision }
  }

  async put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number> {
    const headers = { ...conditionHeaders(opts.ifRevision), 'content-type': 'application/octet-stream' }
    const response = await this.#call('put', { method: 'PUT', path: objectPath(key), headers, body: value })
    if (response.status === 412) throw new PlatformConflict(`object ${key} is not at revision ${opts.ifRevision}`)
    expectWriteStatus(response, 200)
    return response.revision
  }

  async remove (key: string, opts: { ifRevision: number }): Promise<void> {
    const headers = conditionHeaders(opts.ifRevision)
    const response = await this.#call('remove', { method: 'DELETE', path: objectPath(key), headers })
    if (response.status === 412) throw new PlatformConflict(`object ${key} is not at revision ${opts.ifRevision}`)
    expectWriteStatus(response, 204)
  }

  async list (prefix: string): Promise<StoredObject[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`
    const response = await this.#call('list', { method: 'GET', path })
    expectStatus(response, 200)
    return decodeList(response.body)
  }

  async watch (key: string, afterRevision: number, signal: AbortSignal): Promise<StoredObject | undefined> {
    const path = `${objectPath(key)}?watch=1&after=${afterRevision}&timeoutMs=${this.#watchTimeoutMs}`
    const response = await this.#call('watch', { method: 'GET', path, signal }, this.#watchTimeoutMs + WATCH_GRACE_MS)
    if (response.status === 304) return undefined
    expectStatus(response, 200)
    return { key, value: response.body, revision: response.revision }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  async #call (operation: Operation, req: Dispatcher.RequestOptions, timeoutMs = this.#timeoutMs): Promise<ObjectResponse> {
    const { budget, metrics, timers } = this.#opts
    if (budget && !budget.tryTake(timers.now())) {
      metrics.count('platform.budget_exhausted', 1, { operation })
      throw new PlatformBudgetExhausted(`budget of platform calls exhausted, ${operation} not sent`)
    }
    metrics.count('platform.calls', 1, { operation })
    const startedAt = timers.now()
    try {
      const res = await this.#pool.request({ ...req, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
      const body = new Uint8Array(await res.body.arrayBuffer())
      const etag = String(res.headers.etag ?? '').replaceAll('"', '')
      return { status: res.statusCode, revision: etag === '' ? NaN : Number(etag), body }
    } catch (err) {
      metrics.count('platform.failures', 1, { operation })
      throw toPlatformError(err, operation)
    } finally {
      metrics.timing('platform.call_ms', timers.now() - startedAt, { operation })
    }
  }
}

/** A write that fails after the connection was established may have taken effect, so its outcome is unknown. */
function toPlatformError (err: unknown, operation: Operation): Error {
  const isWrite = operation === 'put' || operation === 'remove'
  if (!isWrite || isConnectFailure(err)) return new PlatformUnreachable(`platform did not answer ${operation}`, err)
  return new PlatformOutcomeUnknown(`response to ${operation} was lost`, err)
}

function isConnectFailure (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  const code = (err as NodeJS.ErrnoException).code
  return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH'
}

function objectPath (key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`
}

function conditionHeaders (ifRevision: number): Record<string, string> {
  return ifRevision === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${ifRevision}"` }
}

/** A 5xx status may come from a gateway after the platform has carried out the write. */
function expectWriteStatus (response: ObjectResponse, status: number): void {
  if (response.status >= 500) throw new PlatformOutcomeUnknown(`platform answered a write with status ${response.status}`)
  expectStatus(response, status)
}

function expectStatus (response: ObjectResponse, status: number): void {
  if (response.status >= 500 || response.status === 429) throw new PlatformUnreachable(`platform answered with status ${response.status}`)
  if (response.status !== status) throw new PlatformBadAnswer(`platform answered with status ${response.status}`)
  if (status === 200 && Number.isNaN(response.revision)) {
    throw new PlatformBadAnswer('response has no ETag; the platform url does not point to an object API')
  }
}

function decodeList (body: Uint8Array): StoredObject[] {
  try {
    const items = JSON.parse(new TextDecoder().decode(body)) as { key: string, revision: number, value: string }[]
    return items.map((item) => ({ ...item, value: new Uint8Array(Buffer.from(item.value, 'base64')) }))
  } catch (err) {
    throw new PlatformBadAnswer('list response is not JSON of the object API', err)
  }
}
