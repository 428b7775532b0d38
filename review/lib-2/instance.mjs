// Stand-in for an application instance, as PROTOCOL.md describes it: it serves requests on its address, answers 421 to those that are
// meant for another instance, signs its answers, and sends heartbeats to the control address on its machine.
import http from 'node:http'
import { createHash } from 'node:crypto'

export class Instance {
  /** `answer (req, body)` returns { status, body, headers, raw }, or a promise of it; `raw` writes the answer to the socket itself. */
  constructor ({ id, service, version = 'v1', zone, address, port, control, slots = 12, beatMs = 1500, respond, record }) {
    Object.assign(this, { id, service, version, zone, address, port, control, slots, beatMs, respond, record })
    this.born = Date.now()
    this.sequence = 0
    this.state = 'ready'
    /** Requests that this instance began to work on: { id, at, ... }. */
    this.runs = []
  }

  async start () {
    this.server = http.createServer({ keepAliveTimeout: 10_000 }, (req, res) => this.#onRequest(req, res))
    await new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(this.port, this.address, resolve)
    })
    this.timer = setInterval(() => this.beat(), this.beatMs)
    this.beat()
  }

  stop () {
    clearInterval(this.timer)
    this.server?.closeAllConnections()
    this.server?.close()
  }

  beat () {
    const { service, zone, version, slots, state, born } = this
    return this.tell('PUT', { service, address: `${this.address}:${this.port}`, zone, version, slots, state, cold_remaining_ms: 0, sequence: ++this.sequence, born })
  }

  async tell (method, body) {
    const bytes = body && Buffer.from(JSON.stringify(body))
    return await new Promise((resolve) => {
      const req = http.request({
        host: this.control.address,
        port: this.control.port,
        method,
        path: `/-/instances/${this.id}`,
        agent: false,
        timeout: 1000,
        headers: bytes ? { 'Content-Type': 'application/json', 'Content-Length': bytes.length } : {}
      }, (res) => {
        res.resume()
        res.on('end', () => resolve(res.statusCode))
        res.on('error', () => resolve(undefined))
      })
      req.on('timeout', () => req.destroy())
      req.on('error', () => resolve(undefined))
      req.end(bytes)
    })
  }

  #onRequest (req, res) {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('error', () => {})
    req.on('end', async () => {
      const id = req.headers['lentilwheel-request-id']
      const own = { 'Lentilwheel-Instance-Id': this.id, 'Lentilwheel-Request-Id': id }
      if (req.headers['lentilwheel-expected-instance'] !== this.id) {
        res.writeHead(421, { ...own, 'Content-Length': 0 })
        res.end()
        return
      }
      const run = { id, at: Date.now(), method: req.method, path: req.url, body: Buffer.concat(chunks), headers: req.headers, instance: this.id, version: this.version }
      this.runs.push(run)
      this.record?.(`run ${id} instance ${this.id} version ${this.version}`)
      const { status = 200, body = Buffer.from(`body of ${id}`), headers = {}, unframed = false } = await this.respond?.(run) ?? {}
      const signed = { ...own, ...headers, 'Lentilwheel-Response-Signature': signature(id, status, body) }
      if (!unframed) {
        res.writeHead(status, { ...signed, 'Content-Length': body.length })
        res.end(body)
        return
      }
      // An answer without a length, which ends with its connection.
      const { socket } = res
      socket.write(`HTTP/1.1 ${status} OK\r\n${Object.entries(signed).map(([name, value]) => `${name}: ${value}\r\n`).join('')}Connection: close\r\n\r\n`)
      socket.end(body)
    })
  }
}

/** Binds an answer to its request, its status and the whole of its body. */
export function signature (id, status, body) {
  return `${createHash('sha256').update(`${id} ${status} ${body.length} `).update(body).digest('hex').slice(0, 32)}.${body.length}`
}
