import http from 'node:http'
import { randomBytes } from 'node:crypto'

/** Stand-in of the requesters on one machine: sends single requests and tells how each ended. */
export class Requester {
  #ip
  #port
  #agent = new http.Agent({ keepAlive: true, keepAliveMsecs: 1_000, timeout: 12_000 })

  constructor (ip, port) {
    this.#ip = ip
    this.#port = port
  }

  /**
   * Sends a request and waits for its answer until the time budget is over, then leaves. Resolves to `id`, `sentAt`, `status` (0 for
   * none), `outcome` (`answer`, `none` or the error), `headers`, `body` and `ms`.
   */
  async send ({ method = 'GET', host, url, body = '', deadlineMs, id = randomBytes(8).toString('hex'), headers = {} }) {
    const sentAt = Date.now()
    return await new Promise((resolve) => {
      const finish = (result) => {
        clearTimeout(timer)
        resolve({ id, sentAt, ms: Date.now() - sentAt, status: 0, headers: {}, body: '', ...result })
      }
      const req = http.request({
        host: this.#ip,
        port: this.#port,
        method,
        path: url,
        agent: this.#agent,
        headers: {
          ...headers,
          Host: host,
          'Lentilwheel-Request-Id': id,
          'Lentilwheel-Deadline-Ms': String(deadlineMs),
          ...body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }
        }
      }, (res) => {
        const chunks = []
        res.on('data', (chunk) => chunks.push(chunk))
        res.on('error', (err) => finish({ outcome: `broken off: ${err.message}`, status: res.statusCode, headers: res.headers }))
        res.on('end', () => finish({ outcome: 'answer', status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('latin1') }))
      })
      const timer = setTimeout(() => {
        finish({ outcome: 'none' })
        req.destroy()
      }, deadlineMs)
      req.on('error', (err) => finish({ outcome: err.message }))
      req.end(body)
    })
  }

  close () {
    this.#agent.destroy()
  }
}
