import { errors, Pool, type Dispatcher } from 'undici'
import type { Metrics, Timers, TokenBucket } from '@lentilwheel/core'
import type { PlatformClient, StoredObject } from './client.js'
import {
  PlatformBadAnswer, PlatformBudgetExhausted, PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable
} from './errors.js'

export interface HttpPlatformOptions {
  url: string
  timers: Timers
  metrics: Metrics
  /** Share of platform calls of this process; a call beyond it fails at once. */
  budget?: TokenBucket
  timeoutMs?: number
  watchMs?: number
}

const DEFAULT_TIMEOUT_MS = 3_000
const DEFAULT_WATCH_MS = 30_000
/** Time that a long poll may run past its own limit before it counts as lost. */
const WATCH_GRACE_MS = 2_000
const MAX_CONNECTIONS = 4
/** Bound on what an answer can make this process keep; a list holds at most some hundred small objects. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024

type Answer = { status: number, revision: number, body: Uint8Array }
type Operation = 'get' | 'put' | 'remove' | 'list' | 'watch'

/** Speaks to the object API over HTTP. */
export class HttpPlatformClient implements PlatformClient {
  readonly #pool: Pool
  readonly #opts: HttpPlatformOptions
  readonly #timeoutMs: number
  readonly #watchMs: number

  constructor (opts: HttpPlatformOptions) {
    this.#opts = opts
    this.#timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS
    this.#watchMs = opts.watchMs ?? DEFAULT_WATCH_MS
    this.#pool = new Pool(opts.url, { connections: MAX_CONNECTIONS, connect: { timeout: this.#timeoutMs }, maxResponseSize: MAX_ANSWER_BYTES })
  }

  async get (key: string): Promise<StoredObject | undefined> {
    const answer = await this.#call('get', { method: 'GET', path: objectPath(key) })
    if (answer.status === 404) return undefined
    expectStatus(answer, 200)
    return { key, value: answer.body, revision: answer.revision }
  }

  async put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number> {
    const headers = { ...condition(opts.ifRevision), 'content-type': 'application/octet-stream' }
    const answer = await this.#call('put', { method: 'PUT', path: objectPath(key), headers, body: value })
    if (answer.status === 412) throw new PlatformConflict(`object ${key} is not at revision ${opts.ifRevision}`)
    expectWritten(answer, 200)
    return answer.revision
  }

  async remove (key: string, opts: { ifRevision: number }): Promise<void> {
    const headers = condition(opts.ifRevision)
    const answer = await this.#call('remove', { method: 'DELETE', path: objectPath(key), headers })
    if (answer.status === 412) throw new PlatformConflict(`object ${key} is not at revision ${opts.ifRevision}`)
    expectWritten(answer, 204)
  }

  async list (prefix: string): Promise<StoredObject[]> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`
    const answer = await this.#call('list', { method: 'GET', path })
    expectStatus(answer, 200)
    return decodeList(answer.body)
  }

  async watch (key: string, afterRevision: number, signal: AbortSignal): Promise<StoredObject | undefined> {
    const path = `${objectPath(key)}?watch=1&after=${afterRevision}&timeoutMs=${this.#watchMs}`
    const answer = await this.#call('watch', { method: 'GET', path, signal }, this.#watchMs + WATCH_GRACE_MS)
    if (answer.status === 304) return undefined
    expectStatus(answer, 200)
    return { key, value: answer.body, revision: answer.revision }
  }

  async close (): Promise<void> {
    await this.#pool.destroy()
  }

  async #call (operation: Operation, req: Dispatcher.RequestOptions, limitMs = this.#timeoutMs): Promise<Answer> {
    const { budget, metrics, timers } = this.#opts
    if (budget && !budget.tryTake(timers.now())) {
      metrics.count('platform.budget_exhausted', 1, { operation })
      throw new PlatformBudgetExhausted(`no platform calls left in the budget for ${operation}`)
    }
    metrics.count('platform.calls', 1, { operation })
    const startedAt = timers.now()
    try {
      const res = await this.#pool.request({ ...req, headersTimeout: limitMs, bodyTimeout: limitMs })
      const body = new Uint8Array(await res.body.arrayBuffer())
      const etag = String(res.headers.etag ?? '').replaceAll('"', '')
      return { status: res.statusCode, revision: etag === '' ? NaN : Number(etag), body }
    } catch (err) {
      metrics.count('platform.failures', 1, { operation })
      throw classify(err, operation)
    } finally {
      metrics.timing('platform.call_ms', timers.now() - startedAt, { operation })
    }
  }
}

/** A failure after the connection was made leaves the outcome of a write unknown. */
function classify (err: unknown, operation: Operation): Error {
  const isWrite = operation === 'put' || operation === 'remove'
  if (!isWrite || isConnectFailure(err)) return new PlatformUnreachable(`platform did not answer ${operation}`, err)
  return new PlatformOutcomeUnknown(`answer to ${operation} was lost`, err)
}

function isConnectFailure (err: unknown): boolean {
  if (err instanceof errors.ConnectTimeoutError) return true
  const code = (err as NodeJS.ErrnoException).code
  return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH'
}

function objectPath (key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`
}

function condition (ifRevision: number): Record<string, string> {
  return ifRevision === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${ifRevision}"` }
}

/** A failure status of a write may come from a gateway after the platform took the write. */
function expectWritten (answer: Answer, status: number): void {
  if (answer.status >= 500) throw new PlatformOutcomeUnknown(`a write was answered with status ${answer.status}`)
  expectStatus(answer, status)
}

function expectStatus (answer: Answer, status: number): void {
  if (answer.status >= 500 || answer.status === 429) throw new PlatformUnreachable(`platform answered with status ${answer.status}`)
  if (answer.status !== status) throw new PlatformBadAnswer(`platform answered with status ${answer.status}`)
  if (status === 200 && Number.isNaN(answer.revision)) {
    throw new PlatformBadAnswer('answer has no ETag; the platform url does not name an object API')
  }
}

function decodeList (body: Uint8Array): StoredObject[] {
  try {
    const items = JSON.parse(new TextDecoder().decode(body)) as { key: string, revision: number, value: string }[]
    return items.map((item) => ({ ...item, value: new Uint8Array(Buffer.from(item.value, 'base64')) }))
  } catch (err) {
    throw new PlatformBadAnswer('list answer is not JSON of the object API', err)
  }
}
