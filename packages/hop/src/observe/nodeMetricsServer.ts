import http, { type Server } from 'node:http'
import type { CallMetrics } from './callMetrics.js'

/** Serves the metrics of the daemon over HTTP in the Prometheus text format, on any path. */
export class NodeMetricsServer {
  readonly #endpoint: { address: string, port: number }
  readonly #server: Server

  constructor (endpoint: { address: string, port: number }, metrics: CallMetrics) {
    this.#endpoint = endpoint
    this.#server = http.createServer((req, res) => {
      metrics.text().then((text) => {
        res.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' })
        res.end(text)
      }, (err: Error) => {
        res.writeHead(500)
        res.end(err.message)
      })
    })
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#endpoint.port, this.#endpoint.address, resolve)
    })
    this.#server.unref()
  }
}
