import http from 'node:http'
import net from 'node:net'
import { randomBytes } from 'node:crypto'

/** An answer of an instance as the pages describe it; `headers`: more header lines. */
export function answerOf (id, status, body, headers = []) {
  const signature = randomBytes(8).toString('hex')
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, `Lentilwheel-Request-Id: ${id}`, `Lentilwheel-Response-Signature: ${signature}`,
    `Content-Length: ${body.length}`, ...headers
  ]
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), Buffer.from(body)])
}

/** Stand-in of an application instance: serves requests, announces itself to its daemon, and records what it runs. */
export class Instance {
  /** Requests that ran: `at`, `id`, `method`, `url` and `headers`. */
  runs = []
  state = 'ready'
  #opts
  #sequence = 0
  #server
  #sockets = new Set()
  #timer

  /** `answer(run, socket)`: returns the bytes of the answer, or a promise of them; anything else if it has answered on the socket itself. */
  constructor (opts) {
    this.#opts = { slots: 6, version: 'v1', answer: ({ id }) => answerOf(id, 200, `ran ${id}`), ...opts }
    this.born = Date.now()
    this.#server = net.createServer((socket) => this.#onConnection(socket))
  }

  get id () {
    return this.#opts.id
  }

  async listen () {
    const { ip, port } = this.#opts
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, ip, resolve))
  }

  /** Announces itself now and at each heartbeat interval. */
  startBeats () {
    this.beat().catch(() => {})
    this.#timer = setInterval(() => this.beat().catch(() => {}), this.#opts.beatMs)
  }

  stopBeats () {
    clearInterval(this.#timer)
  }

  /** Makes the next heartbeat; it may be sent later. */
  nextBeat () {
    const { service, ip, port, zone, version, slots } = this.#opts
    return {
      service, address: `${ip}:${port}`, zone, version, slots, state: this.state, cold_remaining_ms: 0, sequence: ++this.#sequence, born: this.born
    }
  }

  /** Sends a heartbeat; resolves to the status of the answer. */
  async beat (beat = this.nextBeat()) {
    return await this.#call('PUT', beat)
  }

  /** Tells the daemon that this instance leaves; resolves to the status of the answer. */
  async leave () {
    this.stopBeats()
    return await this.#call('DELETE')
  }

  close () {
    this.stopBeats()
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  async #call (method, body) {
    const { ip, controlPort, id } = this.#opts
    return await new Promise((resolve, reject) => {
      const headers = { 'Content-Type': 'application/json' }
      const req = http.request({ host: ip, port: controlPort, method, path: `/-/instances/${id}`, headers, timeout: 1_000 }, (res) => {
        res.resume()
        res.on('end', () => resolve(res.statusCode))
      })
      req.on('timeout', () => req.destroy(new Error('no answer within a second')))
      req.on('error', reject)
      req.end(body && JSON.stringify(body))
    })
  }

  #onConnection (socket) {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('error', () => {})
    let received = Buffer.alloc(0)
    let queue = Promise.resolve()
    socket.on('data', (chunk) => {
      received = Buffer.concat([received, chunk])
      for (;;) {
        const end = received.indexOf('\r\n\r\n')
        if (end < 0) return
        const req = parseHead(received.subarray(0, end).toString('latin1'))
        const length = Number(req.headers['content-length'] ?? 0)
        if (received.length < end + 4 + length) return
        req.body = received.subarray(end + 4, end + 4 + length).toString()
        received = received.subarray(end + 4 + length)
        queue = queue.then(() => this.#serve(req, socket))
      }
    })
  }

  async #serve (req, socket) {
    const id = req.headers['lentilwheel-request-id']
    const expected = req.headers['lentilwheel-expected-instance']
    if (id === undefined) return socket.write('HTTP/1.1 400 Bad Request\r\nLentilwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
    if (expected !== undefined && expected !== this.id) {
      return socket.write(`HTTP/1.1 421 Misdirected Request\r\nLentilwheel-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
    }
    const run = { at: Date.now(), id, method: req.method, url: req.url, headers: req.headers, body: req.body, instance: this.id }
    this.runs.push(run)
    this.#opts.onRun?.(run)
    const bytes = await this.#opts.answer(run, socket)
    if (Buffer.isBuffer(bytes) && !socket.destroyed) socket.write(bytes)
  }
}

function parseHead (text) {
  const [start, ...lines] = text.split('\r\n')
  const [method, url] = start.split(' ')
  const headers = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return { method, url, headers }
}
