import {
  createServer, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse
} from 'node:http'
import type { AddressInfo } from 'node:net'
import { FakePlatformStore } from './fakePlatformStore.js'

/** `down` closes connections, `slow` delays responses, `html` answers with a gateway's HTML page. */
export type PlatformMode = 'up' | 'down' | 'slow' | 'html'

export interface PlatformCounts {
  reads: number
  writes: number
  /** Number of long polls that wait now. */
  watching: number
}

const MAX_VALUE_BYTES = 1024 * 1024

/** Fake of the platform's object API over HTTP, which can simulate outages, delays and lost responses. */
export class FakePlatformServer {
  readonly store: FakePlatformStore
  readonly counts: PlatformCounts = { reads: 0, writes: 0, watching: 0 }
  mode: PlatformMode = 'up'
  /** Delay of each response in the mode `slow`. */
  slowMs = 2_000
  /** Keys whose next write takes effect, but whose response is lost: the connection is closed instead. */
  readonly loseNextResponse = new Set<string>()
  readonly #server: Server

  constructor (store = new FakePlatformStore()) {
    this.store = store
    this.#server = createServer((req, res) => { this.#serve(req, res).catch(() => res.destroy()) })
  }

  async listen (port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise((resolve) => this.#server.close(resolve))
  }

  async #serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform')
    const isWrite = req.method !== 'GET'
    if (isWrite) this.counts.writes++
    else this.counts.reads++
    if (this.mode === 'down') return dropConnection(res)
    if (this.mode === 'slow') await new Promise((resolve) => setTimeout(resolve, this.slowMs))
    if (this.mode === 'html') {
      return respond(res, 200, { 'content-type': 'text/html' }, '<html>Bad gateway</html>')
    }
    if (url.pathname === '/objects') return this.#list(url, res)
    if (!url.pathname.startsWith('/objects/')) return respond(res, 404)
    const key = url.pathname.slice('/objects/'.length).split('/').map(decodeURIComponent).join('/')
    if (req.method === 'PUT') return await this.#put(key, req, res)
    if (req.method === 'DELETE') return this.#remove(key, req, res)
    if (url.searchParams.get('watch') === '1') return this.#watch(key, url, res)
    this.#get(key, res)
  }

  #get (key: string, res: ServerResponse): void {
    const object = this.store.get(key)
    if (!object) return respond(res, 404)
    res.writeHead(200, { etag: `"${object.revision}"` }).end(object.value)
  }

  #list (url: URL, res: ServerResponse): void {
    const items = this.store.list(url.searchParams.get('prefix') ?? '').map(([key, object]) => ({
      key, revision: object.revision, value: Buffer.from(object.value).toString('base64')
    }))
    res.writeHead(200, { etag: '"0"', 'content-type': 'application/json' }).end(JSON.stringify(items))
  }

  async #put (key: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const value = new Uint8Array(Buffer.concat(chunks))
    if (value.length > MAX_VALUE_BYTES) return respond(res, 413)
    const ifRevision = readCondition(req)
    if (ifRevision === undefined) return respond(res, 428)
    const revision = this.store.put(key, value, ifRevision)
    if (this.loseNextResponse.delete(key)) return dropConnection(res)
    if (revision === undefined) return respond(res, 412)
    res.writeHead(200, { etag: `"${revision}"` }).end()
  }

  #remove (key: string, req: IncomingMessage, res: ServerResponse): void {
    const ifRevision = readCondition(req)
    if (ifRevision === undefined) return respond(res, 428)
    res.writeHead(this.store.remove(key, ifRevision) ? 204 : 412).end()
  }

  #watch (key: string, url: URL, res: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0)
    const current = this.store.get(key)
    if (current && current.revision !== after) return this.#get(key, res)
    this.counts.watching++
    const finish = (sendResponse: () => void): void => {
      clearTimeout(timer)
      stopListening()
      sendResponse()
    }
    const stopListening = this.store.listen((changed) => {
      if (changed === key) finish(() => this.#get(key, res))
    })
    const timer = setTimeout(() => finish(() => res.writeHead(304).end()), Number(url.searchParams.get('timeoutMs') ?? 0))
    res.once('close', () => {
      clearTimeout(timer)
      stopListening()
      this.counts.watching--
    })
  }
}

function readCondition (req: IncomingMessage): number | undefined {
  if (req.headers['if-none-match'] === '*') return 0
  const etag = req.headers['if-match']
  return etag === undefined ? undefined : Number(etag.replaceAll('"', ''))
}

function respond (res: ServerResponse, status: number, headers: OutgoingHttpHeaders = {}, body = ''): void {
  res.writeHead(status, headers).end(body)
}

function dropConnection (res: ServerResponse): void {
  res.destroy()
}
