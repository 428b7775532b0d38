import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Agent, type Dispatcher } from 'undici'
import type { EndpointView, Random } from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import { buildRouter, type Router } from './routing/router.js'

export const NOT_RUN_HEADER = 'x-lentilwheel-not-run'

export interface ProxyOptions {
  random: Random
  /** Share of a service's traffic that goes to a version; absent when no move is in progress. */
  versionFor (service: string): string | undefined
}

/** Forwards calls to targets by the snapshot in force. */
export class ProxyServer {
  readonly #server: Server
  readonly #agent = new Agent({ pipelining: 1 })
  readonly #opts: ProxyOptions
  #router: Router | undefined
  #endpoints: readonly EndpointView[] = []

  constructor (opts: ProxyOptions) {
    this.#opts = opts
    this.#server = createServer((req, res) => this.#serve(req, res))
  }

  async listen (port: number, host: string): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(port, host, resolve))
    return (this.#server.address() as AddressInfo).port
  }

  async close (): Promise<void> {
    await new Promise((resolve) => {
      this.#server.close(resolve)
      this.#server.closeIdleConnections()
    })
    await this.#agent.close()
  }

  setSnapshot (snapshot: Snapshot): void {
    this.#router = buildRouter(snapshot.config)
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    this.#endpoints = endpoints
  }

  #serve (req: IncomingMessage, res: ServerResponse): void {
    const url = req.url ?? '/'
    const path = url.split('?', 1)[0]!
    const host = (req.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
    const found = this.#router?.match(req.method ?? 'GET', host, path, req.headers)
    if (!this.#router) return refuse(res, 503, 'no configuration is in force yet')
    if (!found) return refuse(res, 404, 'no route matches')
    const version = this.#opts.versionFor(found.route.service) ?? found.service.current
    const candidates = this.#endpoints.filter((endpoint) => endpoint.service === found.route.service &&
      endpoint.version === version && endpoint.state === 'ready')
    if (candidates.length === 0) return refuse(res, 503, `no target of ${found.route.service} ${version} is ready`)
    const endpoint = this.#opts.random.pick(candidates)
    this.#agent.dispatch({
      origin: `http://${endpoint.address}:${endpoint.port}`,
      path: url,
      method: req.method as Dispatcher.HttpMethod,
      headers: endToEndHeaders(req),
      body: hasBody(req) ? req : null
    }, forwardTo(res))
  }
}

function refuse (res: ServerResponse, status: number, reason: string): void {
  res.writeHead(status, { [NOT_RUN_HEADER]: '1', 'content-type': 'text/plain' }).end(`${reason}\n`)
}

function hasBody (req: IncomingMessage): boolean {
  return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
}

const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect',
  'proxy-connection'])

function endToEndHeaders (req: IncomingMessage): string[] {
  const result: string[] = []
  for (let i = 0; i < req.rawHeaders.length; i += 2) {
    const name = req.rawHeaders[i]!
    if (!HOP_BY_HOP.has(name.toLowerCase())) result.push(name, req.rawHeaders[i + 1]!)
  }
  return result
}

function forwardTo (res: ServerResponse): Dispatcher.DispatchHandler {
  return {
    onRequestStart (controller) {
      res.once('close', () => { if (!res.writableEnded) controller.abort(new Error('caller went away')) })
    },
    onResponseStart (_controller, status, headers) {
      const kept = Object.entries(headers).filter(([name]) => !HOP_BY_HOP.has(name))
      res.writeHead(status, Object.fromEntries(kept))
    },
    onResponseData (_controller, chunk) {
      res.write(chunk)
    },
    onResponseEnd () {
      res.end()
    },
    onResponseError () {
      if (res.headersSent) res.destroy()
      else res.writeHead(502).end('the target did not answer\n')
    }
  }
}
