import http from 'node:http'

const HEARTBEAT_MS = 1_500

/** Stand-in for an application instance: answers requests after a time and announces itself to the daemon on its host. */
export class Instance {
  state = 'ready'
  running = 0
  /** Status with which it answers a request, by its URL. */
  statusOf = () => 200
  #sequence = 0
  #born = Date.now()
  #timer
  server = http.createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => this.#handle(req, res))
  })

  constructor (opts) {
    this.opts = opts
  }

  async start () {
    await new Promise((resolve) => this.server.listen(this.opts.port, this.opts.address, resolve))
    this.#timer = setInterval(() => this.heartbeat().catch(() => {}), HEARTBEAT_MS)
    while (await this.heartbeat().catch(() => 0) !== 200) await new Promise((resolve) => setTimeout(resolve, 100))
  }

  stop () {
    clearInterval(this.#timer)
    this.server.closeAllConnections()
    this.server.close()
  }

  async heartbeat () {
    const { service, address, port, version, slots, zone } = this.opts
    return await this.#tell('PUT', { service, address: `${address}:${port}`, zone, version, slots, state: this.state, cold_remaining_ms: 0, sequence: ++this.#sequence, born: this.#born })
  }

  async leave () {
    clearInterval(this.#timer)
    return await this.#tell('DELETE')
  }

  async #tell (method, body) {
    const { address, controlPort, id } = this.opts
    return await new Promise((resolve, reject) => {
      const req = http.request({ host: address, port: controlPort, method, path: `/-/instances/${id}`, agent: false, timeout: 1_000, headers: body ? { 'Content-Type': 'application/json' } : {} }, (res) => {
        res.resume()
        resolve(res.statusCode)
      })
      req.on('error', reject)
      req.on('timeout', () => req.destroy(new Error('no answer')))
      req.end(body && JSON.stringify(body))
    })
  }

  #handle (req, res) {
    const { id, slots, workMs, service, version, onRun } = this.opts
    const requestId = req.headers['lentilwheel-request-id']
    const refuse = (status, headers) => {
      res.writeHead(status, { 'Content-Length': 0, ...requestId === undefined ? {} : { 'Lentilwheel-Request-Id': requestId }, ...headers })
      res.end()
    }
    if (req.url === '/health') return refuse(this.state === 'ready' ? 200 : 503, { 'Lentilwheel-Instance-Id': id })
    if (requestId === undefined) return refuse(400, { 'Lentilwheel-Not-Executed': '1' })
    const expected = req.headers['lentilwheel-expected-instance']
    if (expected !== undefined && expected !== id) return refuse(421, { 'Lentilwheel-Instance-Id': id })
    if (this.running >= slots) return refuse(503, { 'Lentilwheel-Not-Executed': '1' })
    this.running++
    const status = this.statusOf(req.url)
    onRun?.({ requestId, id, service, version, status })
    let isOver = false
    const end = () => {
      if (!isOver) this.running--
      isOver = true
    }
    res.on('close', end)
    setTimeout(() => {
      if (res.destroyed) return
      const body = `${status} ${requestId}`
      res.writeHead(status, { 'Content-Length': body.length, 'Lentilwheel-Request-Id': requestId, 'Lentilwheel-Response-Signature': `mac.${requestId}`, 'Lentilwheel-Instance-Load': `${this.running},0,${slots}` })
      res.end(body)
    }, workMs)
  }
}
