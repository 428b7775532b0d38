import http, { type Server, type ServerResponse } from 'node:http'
import { readRouteQuery, type RouteExplainer } from '../outbound/routeExplainer.js'
import type { CallMetrics } from './callMetrics.js'

/** Explains where a request would go, by its parameters `method`, `host`, `path` and `workspace`. */
const EXPLAIN_PATH = '/explain-route'

export interface MetricsServerOptions {
  address: string
  port: number
  metrics: Pick<CallMetrics, 'text'>
  explainer: Pick<RouteExplainer, 'explain'>
}

/** Serves reports of the daemon over HTTP: explanations of routes, and on any other path the metrics in the Prometheus text format. */
export class NodeMetricsServer {
  readonly #opts: MetricsServerOptions
  readonly #server: Server

  constructor (opts: MetricsServerOptions) {
    this.#opts = opts
    this.#server = http.createServer((req, res) => {
      const [path, query] = req.url!.split('?', 2)
      if (path === EXPLAIN_PATH) this.#explain(new URLSearchParams(query), res)
      else this.#sendMetrics(res)
    })
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#opts.port, this.#opts.address, resolve)
    })
    this.#server.unref()
  }

  #sendMetrics (res: ServerResponse): void {
    this.#opts.metrics.text().then((text) => {
      res.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' })
      res.end(text)
    }, (err: Error) => {
      res.writeHead(500)
      res.end(err.message)
    })
  }

  #explain (params: URLSearchParams, res: ServerResponse): void {
    const query = readRouteQuery(params)
    try {
      if (query) sendJson(res, 200, this.#opts.explainer.explain(query))
      else sendJson(res, 400, { error: 'the parameters host and path are needed; the path starts with "/"' })
    } catch (err) {
      sendJson(res, 500, { error: (err as Error).message })
    }
  }
}

function sendJson (res: ServerResponse, status: number, value: object): void {
  res.writeHead(status, { 'Content-Type': 'application/json' })
  res.end(JSON.stringify(value))
}
