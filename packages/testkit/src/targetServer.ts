import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'

export interface TargetOptions {
  service: string
  version: string
  /** Base address of the target side of the daemon beside it. */
  daemonUrl: string
  name?: string
  slots?: number
  connections?: number
}

/** Target stand-in: answers calls, records each run by request id, and announces itself to its daemon. */
export class TargetServer {
  /** Runs by request id. */
  readonly runs = new Map<string, number>()
  /** Decides the status of an answer. */
  answerStatus: (req: IncomingMessage) => number = () => 200
  readonly #opts: TargetOptions
  readonly #server: Server
  #id = ''

  constructor (opts: TargetOptions) {
    this.#opts = opts
    this.#server = createServer((req, res) => this.#serve(req, res))
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    const { service, version } = this.#opts
    const res = await request(`${this.#opts.daemonUrl}/targets`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        name: this.#opts.name ?? `${service}-${version}`,
        service,
        version,
        address: '127.0.0.1',
        port: (this.#server.address() as AddressInfo).port,
        slots: this.#opts.slots ?? 6,
        connections: this.#opts.connections ?? 100
      })
    })
    this.#id = (await res.body.json() as { id: string }).id
  }

  async stop (): Promise<void> {
    const res = await request(`${this.#opts.daemonUrl}/targets/${this.#id}`, { method: 'DELETE' })
    await res.body.dump()
    await new Promise((resolve) => {
      this.#server.close(resolve)
      this.#server.closeIdleConnections()
    })
  }

  #serve (req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers['x-request-id'] ?? '')
    if (id !== '') this.runs.set(id, (this.runs.get(id) ?? 0) + 1)
    req.resume()
    req.once('end', () => {
      res.writeHead(this.answerStatus(req), { 'content-type': 'application/json' })
      res.end(JSON.stringify({ service: this.#opts.service, version: this.#opts.version, path: req.url, id }))
    })
  }
}
