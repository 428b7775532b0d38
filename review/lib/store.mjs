import http from 'node:http'

const OBJECTS_PATH = '/-/objects/'

/** Stand-in of the platform's metadata store: objects by kind and name, conditional writes, lists and watches. */
export class Store {
  #objects = new Map()
  #events = []
  #waiting = new Set()
  #revision = 100
  #server = http.createServer((req, res) => this.#serve(req, res))

  async listen (port, ip) {
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, ip, resolve))
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes an object as the operator does. */
  put (kind, name, spec) {
    const known = this.#objects.get(`${kind}/${name}`)
    return this.#change(kind, name, { spec, status: known?.status ?? null })
  }

  get (kind, name) {
    return this.#objects.get(`${kind}/${name}`)
  }

  #change (kind, name, { spec, status }) {
    const known = this.#objects.get(`${kind}/${name}`)
    if (known && JSON.stringify([known.spec, known.status]) === JSON.stringify([spec, status])) return known
    const revision = ++this.#revision
    const metadata = { name, revision, created: known?.metadata.created ?? revision, finalizers: [], deleting: false }
    const object = { metadata, spec, status }
    this.#objects.set(`${kind}/${name}`, object)
    this.#addEvent(kind, object, false)
    return object
  }

  #addEvent (kind, object, deleted) {
    this.#events.push({ kind, revision: this.#revision, object, deleted })
    for (const check of [...this.#waiting]) check()
  }

  #serve (req, res) {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const url = new URL(req.url, 'http://store')
      if (!url.pathname.startsWith(OBJECTS_PATH)) return send(res, 404)
      const [kind, name, part] = url.pathname.slice(OBJECTS_PATH.length).split('/').map(decodeURIComponent)
      const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined
      const revision = body?.metadata?.revision ?? url.searchParams.get('revision') ?? undefined
      if (req.method === 'GET') return name === undefined ? this.#list(kind, url.searchParams, res) : this.#get(kind, name, res)
      if (req.method === 'POST') return this.#create(kind, body, res)
      const known = this.#objects.get(`${kind}/${name}`)
      if (!known) return send(res, 404)
      if (revision !== undefined && Number(revision) !== known.metadata.revision) return send(res, 409, known)
      if (req.method === 'DELETE') return this.#remove(kind, known, res)
      const change = part === 'status' ? { spec: known.spec, status: body.status } : { spec: body.spec, status: known.status }
      send(res, 200, this.#change(kind, name, change))
    })
  }

  #get (kind, name, res) {
    const object = this.#objects.get(`${kind}/${name}`)
    send(res, object ? 200 : 404, object)
  }

  #create (kind, { metadata: { name }, spec }, res) {
    const known = this.#objects.get(`${kind}/${name}`)
    if (known) return send(res, 409, known)
    send(res, 200, this.#change(kind, name, { spec, status: null }))
  }

  #remove (kind, known, res) {
    this.#objects.delete(`${kind}/${known.metadata.name}`)
    this.#revision++
    this.#addEvent(kind, known, true)
    send(res, 200, known)
  }

  #list (kind, query, res) {
    if (query.has('watch')) return this.#watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), res)
    const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
    send(res, 200, { items, has_more: false, store_revision: this.#revision })
  }

  #watch (kind, after, waitMs, res) {
    const check = () => {
      const events = this.#events.filter((event) => event.kind === kind && event.revision > after)
      if (events.length > 0) finish(events)
    }
    const finish = (events) => {
      clearTimeout(timer)
      this.#waiting.delete(check)
      send(res, 200, { events: events.map(({ object, deleted }) => ({ object, deleted })), store_revision: this.#revision })
    }
    const timer = setTimeout(() => finish([]), waitMs)
    res.on('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
    })
    this.#waiting.add(check)
    check()
  }
}

function send (res, status, body) {
  res.writeHead(status, { 'Content-Type': 'application/json' }).end(body === undefined ? '' : JSON.stringify(body))
}
