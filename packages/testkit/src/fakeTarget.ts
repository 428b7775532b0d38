import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { request } from 'undici'
import { applyFault, isFault, type Fault } from './faults.js'

export interface FakeTargetOptions {
  service: string
  version: string
  /** Base URL of the daemon's API for targets; if absent, the target does not announce itself. */
  daemonUrl?: string
  name?: string
  slots?: number
  connections?: number
  healthPath?: string
  loadPath?: string
}

/** Content of the health and load endpoints. */
export interface HealthReport {
  healthy: boolean
  load: number
}

/** Interval at which the target renews its registration with the daemon. */
const RENEWAL_INTERVAL_MS = 2_000
const FAULT_HEADER = 'x-fault'

/** Fake target of a service: answers calls, counts runs by request id, simulates faults and announces itself to its daemon. */
export class FakeTarget {
  /** Number of runs by request id. */
  readonly runs = new Map<string, number>()
  /** Returns the status of a response. */
  responseStatus: (req: IncomingMessage) => number = () => 200
  /** Returns the fault to apply to a request; by default the one in its `x-fault` header. */
  faultOf: (req: IncomingMessage) => Fault | undefined = faultFromHeader
  /** Returns the time that a request takes. */
  delayMs: (req: IncomingMessage) => number = () => 0
  /** Size of the padding in a response body. */
  answerBytes = 0
  /** Delay of the `answerLate` fault. */
  lateMs = 500
  /** What the health and load endpoints return, whether true or not. */
  healthReport: HealthReport = { healthy: true, load: 0 }
  /** Number of requests whose connection closed before the response was complete. */
  cancelled = 0
  /** Number of calls whose head arrived, including those that were not run. */
  received = 0
  readonly #opts: FakeTargetOptions
  readonly #server: Server
  readonly #usedSockets = new WeakSet<Socket>()
  #renewalTimer: NodeJS.Timeout | undefined
  #targetId = ''

  constructor (opts: FakeTargetOptions) {
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
    this.#renewalTimer = setInterval(() => { this.#renew().catch(() => {}) }, RENEWAL_INTERVAL_MS)
    this.#renewalTimer.unref()
  }

  /** Deregisters from the daemon, answers requests in flight and closes. */
  async stop (): Promise<void> {
    clearInterval(this.#renewalTimer)
    if (this.#opts.daemonUrl !== undefined) await this.#callDaemon('DELETE', `/targets/${this.#targetId}`)
    await this.close()
  }

  /** Closes without telling the daemon; requests in flight are answered. */
  async close (): Promise<void> {
    clearInterval(this.#renewalTimer)
    await new Promise((resolve) => {
      this.#server.close(resolve)
      this.#server.closeIdleConnections()
    })
  }

  /** Closes all connections at once, as in a crash. */
  async kill (): Promise<void> {
    clearInterval(this.#renewalTimer)
    const closed = new Promise((resolve) => this.#server.close(resolve))
    this.#server.closeAllConnections()
    await closed
  }

  async #announce (): Promise<void> {
    const { service, version, healthPath, loadPath } = this.#opts
    const response = await this.#callDaemon('POST', '/targets', {
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
    this.#targetId = (JSON.parse(response.text) as { id: string }).id
  }

  /** Renews the registration; announces the target again to a daemon that has restarted. */
  async #renew (): Promise<void> {
    const response = await this.#callDaemon('PUT', `/targets/${this.#targetId}`, {})
    if (response.status === 404) await this.#announce()
  }

  async #callDaemon (method: 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<{ status: number, text: string }> {
    const res = await request(`${this.#opts.daemonUrl}${path}`, {
      method,
      ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    })
    return { status: res.statusCode, text: await res.body.text() }
  }

  #serve (req: IncomingMessage, res: ServerResponse): void {
    if (this.#serveHealthReport(req, res)) return
    this.received++
    const isReusedConnection = this.#usedSockets.has(req.socket)
    this.#usedSockets.add(req.socket)
    res.once('close', () => { if (!res.writableEnded) this.cancelled++ })
    const requestId = String(req.headers['x-request-id'] ?? '')
    const body = this.#responseBody(req, requestId)
    const recordRun = (): void => { if (requestId !== '') this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1) }
    const respond = (): void => {
      res.writeHead(this.responseStatus(req), { 'content-type': 'application/json', 'content-length': body.length })
      res.end(body)
    }
    const fault = this.faultOf(req)
    if (fault) return applyFault(fault, { req, res, body, isReusedConnection, lateMs: this.lateMs, recordRun, respond })
    req.resume()
    req.once('end', () => {
      recordRun()
      const delayMs = this.delayMs(req)
      if (delayMs > 0) setTimeout(respond, delayMs)
      else respond()
    })
  }

  #serveHealthReport (req: IncomingMessage, res: ServerResponse): boolean {
    if (req.url === this.#opts.healthPath) res.writeHead(this.healthReport.healthy ? 200 : 503).end()
    else if (req.url === this.#opts.loadPath) res.end(JSON.stringify({ load: this.healthReport.load }))
    else return false
    return true
  }

  #responseBody (req: IncomingMessage, requestId: string): string {
    const { service, version } = this.#opts
    const body = { service, version, path: req.url, id: requestId }
    return JSON.stringify(this.answerBytes > 0 ? { ...body, filler: 'f'.repeat(this.answerBytes) } : body)
  }
}

function faultFromHeader (req: IncomingMessage): Fault | undefined {
  const name = req.headers[FAULT_HEADER]
  return isFault(name) ? name : undefined
}
