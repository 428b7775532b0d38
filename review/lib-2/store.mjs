// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one revision counter,
// conditional writes, and watches that wait for the next event.
import http from 'node:http'

export class Store {
  #objects = new Map()
  #events = []
  #revision = 1
  #waiting = new Set()
  #server

  async listen (address, port) {
    this.#server = http.createServer((req, res) => this.#onRequest(req, res))
    await new Promise((resolve) => this.#server.listen(port, address, resolve))
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  get (kind, name) {
    return this.#objects.get(`${kind}/${name}`)
  }

  /** A write of the operator, which creates the object or replaces its spec. */
  put (kind, name, spec) {
    const known = this.get(kind, name)
    return this.#change(kind, { ...known, metadata: { ...known?.metadata ?? { name, created: Date.now(), finalizers: [], deleting: false } }, spec })
  }

  #change (kind, object, deleted = false) {
    const revision = ++this.#revision
    const changed = { ...object, metadata: { ...object.metadata, revision } }
    const path = `${kind}/${object.metadata.name}`
    if (deleted) this.#objects.delete(path)
    else this.#objects.set(path, changed)
    this.#events.push({ kind, revision, event: { object: changed, deleted } })
    for (const wake of [...this.#waiting]) wake()
    return changed
  }

  #onRequest (req, res) {
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('end', () => {
      const url = new URL(req.url, 'http://store')
      const [, , , kind, name, part] = url.pathname.split('/').map(decodeURIComponent)
      const text = Buffer.concat(chunks).toString()
      this.#handle({ method: req.method, kind, name, part, query: url.searchParams, body: text === '' ? {} : JSON.parse(text) }, res)
    })
  }

  #handle ({ method, kind, name, part, query, body }, res) {
    const known = name === undefined ? undefined : this.get(kind, name)
    const condition = body.metadata?.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined)
    const isConflict = known !== undefined && condition !== undefined && condition !== known.metadata.revision
    if (method === 'GET' && query.has('watch')) return this.#watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), res)
    if (method === 'GET' && name === undefined) {
      const items = [...this.#objects].filter(([path]) => path.startsWith(`${kind}/`)).map(([, object]) => object)
      return answer(res, 200, { items, has_more: false, store_revision: this.#revision })
    }
    if (method === 'GET') return known ? answer(res, 200, known) : answer(res, 404, {})
    if (method === 'POST') {
      const newName = body.metadata.name
      if (this.get(kind, newName)) return answer(res, 409, this.get(kind, newName))
      return answer(res, 201, this.#change(kind, { metadata: { name: newName, created: Date.now(), finalizers: [], deleting: false }, spec: body.spec }))
    }
    if (!known) return answer(res, 404, {})
    if (isConflict) return answer(res, 409, known)
    if (method === 'DELETE') return answer(res, 200, this.#change(kind, known, true))
    const changed = part === 'status' ? { ...known, status: body.status } : { ...known, spec: body.spec }
    if (JSON.stringify(changed) === JSON.stringify(known)) return answer(res, 200, known)
    return answer(res, 200, this.#change(kind, changed))
  }

  #watch (kind, revision, waitMs, res) {
    const reply = () => {
      const events = this.#events.filter((entry) => entry.kind === kind && entry.revision > revision).map(({ event }) => event)
      if (events.length === 0 && Date.now() < until) return
      this.#waiting.delete(reply)
      clearTimeout(timer)
      answer(res, 200, { events, store_revision: this.#revision })
    }
    const until = Date.now() + Math.min(waitMs, 30_000)
    const timer = setTimeout(reply, Math.max(0, until - Date.now()) + 2)
    this.#waiting.add(reply)
    res.on('close', () => {
      this.#waiting.delete(reply)
      clearTimeout(timer)
    })
    reply()
  }
}

function answer (res, status, body) {
  const bytes = Buffer.from(JSON.stringify(body))
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length, 'Store-Era': '1' })
  res.end(bytes)
}
