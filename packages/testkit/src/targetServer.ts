import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { request } from 'undici'
import { actFault, isFault, type Fault } from './faults.js'

export interface TargetOptions {
  service: string
  version: string
  /** Base address of the target side of the daemon beside it; without one it doesn't announce itself. */
  daemonUrl?: string
  name?: string
  slots?: number
  connections?: number
  healthPath?: string
  loadPath?: string
}

export interface TargetHints {
  healthy: boolean
  load: number
}

const RENEW_MS = 2_000
const FAULT_HEADER = 'x-fault'

/** Target stand-in: answers calls, records each run by request id, and announces itself to its daemon. */
export class TargetServer {
  /** Runs by request id. */
  readonly runs = new Map<string, number>()
  /** Decides the status of an answer. */
  answerStatus: (req: IncomingMessage) => number = () => 200
  /** Decides which fault a request meets; the `x-fault` header by default. */
  faultOf: (req: IncomingMessage) => Fault | undefined = headerFault
  /** Time that a run takes. */
  delayMs: (req: IncomingMessage) => number = () => 0
  /** Size of the filler in an answer. */
  answerBytes = 0
  /** Delay of the `answerLate` fault. */
  lateMs = 500
  /** What its health and load endpoints say, true or not. */
  hints: TargetHints = { healthy: true, load: 0 }
  /** Requests whose caller went away before the answer. */
  cancelled = 0
  /** Calls whose head arrived, the ones that were not run included. */
  received = 0
  readonly #opts: TargetOptions
  readonly #server: Server
  readonly #used = new WeakSet<Socket>()
  #renewal: NodeJS.Timeout | undefined
  #id = ''

  constructor (opts: TargetOptions) {
    this.#opts = opts
    this.#server = createServer({ requestTimeout: 0, keepAliveTimeout: 30_000 }, (req, res) => this.#serve(req, res))
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Number of open connections. */
  async connections (): Promise<number> {
    return await new Promise((resolve) => this.#server.getConnections((_err, count) => resolve(count)))
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    if (this.#opts.daemonUrl === undefined) return
    await this.#announce()
    this.#renewal = setInterval(() => { this.#renew().catch(() => {}) }, RENEW_MS)
    this.#renewal.unref()
  }

  /** Leaves the daemon, keeps serving what is in flight and ends. */
  async stop (): Promise<void> {
    clearInterval(this.#renewal)
    if (this.#opts.daemonUrl !== undefined) await this.#call('DELETE', `/targets/${this.#id}`)
    await this.close()
  }

  /** Ends without a word to the daemon; requests in flight are answered. */
  async close (): Promise<void> {
    clearInterval(this.#renewal)
    await new Promise((resolve) => {
      this.#server.close(resolve)
      this.#server.closeIdleConnections()
    })
  }

  /** Ends as a crash would. */
  async kill (): Promise<void> {
    clearInterval(this.#renewal)
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #announce (): Promise<void> {
    const { service, version, healthPath, loadPath } = this.#opts
    const answer = await this.#call('POST', '/targets', {
      name: this.#opts.name ?? `${service}-${version}`,
      service,
      version,
      address: '127.0.0.1',
      port: this.port,
      slots: this.#opts.slots ?? 6,
      connections: this.#opts.connections ?? 100,
      ...(healthPath === undefined ? {} : { healthPath }),
      ...(loadPath === undefined ? {} : { loadPath })
    })
    this.#id = (JSON.parse(answer.text) as { id: string }).id
  }

  /** Renews the lease; announces itself again to a daemon that has restarted. */
  async #renew (): Promise<void> {
    const answer = await this.#call('PUT', `/targets/${this.#id}`, {})
    if (answer.status === 404) await this.#announce()
  }

  async #call (method: 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<{ status: number, text: string }> {
    const res = await request(`${this.#opts.daemonUrl}${path}`, {
      method,
      ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    })
    return { status: res.statusCode, text: await res.body.text() }
  }

  #serve (req: IncomingMessage, res: ServerResponse): void {
    if (this.#answerHint(req, res)) return
    this.received++
    const reused = this.#used.has(req.socket)
    this.#used.add(req.socket)
    res.once('close', () => { if (!res.writableEnded) this.cancelled++ })
    const id = String(req.headers['x-request-id'] ?? '')
    const body = this.#answerBody(req, id)
    const run = (): void => { if (id !== '') this.runs.set(id, (this.runs.get(id) ?? 0) + 1) }
    const answer = (): void => {
      res.writeHead(this.answerStatus(req), { 'content-type': 'application/json', 'content-length': body.length })
      res.end(body)
    }
    const fault = this.faultOf(req)
    if (fault) return actFault(fault, { req, res, body, reused, lateMs: this.lateMs, run, answer })
    req.resume()
    req.once('end', () => {
      run()
      const delayMs = this.delayMs(req)
      if (delayMs > 0) setTimeout(answer, delayMs)
      else answer()
    })
  }

  #answerHint (req: IncomingMessage, res: ServerResponse): boolean {
    if (req.url === this.#opts.healthPath) res.writeHead(this.hints.healthy ? 200 : 503).end()
    else if (req.url === this.#opts.loadPath) res.end(JSON.stringify({ load: this.hints.load }))
    else return false
    return true
  }

  #answerBody (req: IncomingMessage, id: string): string {
    const { service, version } = this.#opts
    const body = { service, version, path: req.url, id }
    return JSON.stringify(this.answerBytes > 0 ? { ...body, filler: 'f'.repeat(this.answerBytes) } : body)
  }
}

function headerFault (req: IncomingMessage): Fault | undefined {
  const name = req.headers[FAULT_HEADER]
  return isFault(name) ? name : undefined
}
