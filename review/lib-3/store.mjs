import http from 'node:http'

/** Stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches, as PROTOCOL.md describes them. */
export class Store {
  #objects = new Map()
  #changes = []
  #watches = new Set()
  #revision = 100
  #server = http.createServer((req, res) => {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => this.#handle(req, res, Buffer.concat(chunks).toString()))
  })

  async start (address) {
    await new Promise((resolve) => this.#server.listen(0, address, resolve))
    return `${address}:${this.#server.address().port}`
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  read (kind, name) {
    return this.#kind(kind).get(name)
  }

  /** Writes the spec of an object as an operator does; its status stays as it is. */
  put (kind, name, spec) {
    const before = this.read(kind, name)
    return this.#record(kind, { metadata: this.#metadata(name, before), spec, status: before?.status ?? null })
  }

  #kind (kind) {
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map())
    return this.#objects.get(kind)
  }

  #metadata (name, before) {
    const revision = ++this.#revision
    return { name, revision, created: before?.metadata.created ?? revision, finalizers: [], deleting: false }
  }

  #record (kind, object, deleted = false) {
    if (deleted) this.#kind(kind).delete(object.metadata.name)
    else this.#kind(kind).set(object.metadata.name, object)
    this.#changes.push({ kind, revision: object.metadata.revision, event: { object, deleted } })
    for (const wake of [...this.#watches]) wake()
    return object
  }

  #handle (req, res, text) {
    const send = (status, body) => {
      const json = JSON.stringify(body)
      res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(json), 'Store-Era': '1' })
      res.end(json)
    }
    const url = new URL(req.url, 'http://store')
    const [, kind, name, part] = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(?:\/(status))?$/.exec(url.pathname)?.map((s) => s && decodeURIComponent(s)) ?? []
    if (!kind) return send(404, { error: 'no such path' })
    const body = text === '' ? undefined : JSON.parse(text)
    if (req.method === 'GET' && name === undefined) {
      if (url.searchParams.has('watch')) return this.#watch(res, send, kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait_ms')))
      const after = url.searchParams.get('after') ?? ''
      return send(200, { items: [...this.#kind(kind).values()].filter((o) => o.metadata.name > after), has_more: false, store_revision: this.#revision })
    }
    if (req.method === 'POST') {
      const existing = this.read(kind, body.metadata.name)
      return existing ? send(409, existing) : send(200, this.#record(kind, { metadata: this.#metadata(body.metadata.name), spec: body.spec, status: null }))
    }
    const stored = this.read(kind, name)
    if (!stored) return send(404, { error: 'not found' })
    if (req.method === 'GET') return send(200, stored)
    const expected = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (expected !== undefined && expected !== stored.metadata.revision) return send(409, stored)
    if (req.method === 'DELETE') return send(200, this.#record(kind, { ...stored, metadata: this.#metadata(name, stored) }, true))
    const next = part === 'status' ? { ...stored, status: body.status } : { ...stored, spec: body.spec }
    if (JSON.stringify(next) === JSON.stringify(stored)) return send(200, stored)
    return send(200, this.#record(kind, { ...next, metadata: this.#metadata(name, stored) }))
  }

  #watch (res, send, kind, from, waitMs) {
    const answer = (isOver) => {
      const events = this.#changes.filter((change) => change.kind === kind && change.revision > from).map(({ event }) => event)
      if (events.length === 0 && !isOver) return
      this.#watches.delete(wake)
      clearTimeout(timer)
      if (!res.destroyed) send(200, { events, store_revision: this.#revision })
    }
    const wake = () => answer(false)
    const timer = setTimeout(() => answer(true), waitMs)
    this.#watches.add(wake)
    answer(waitMs === 0)
  }
}
