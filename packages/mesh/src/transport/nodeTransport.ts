import { createSocket, type Socket } from 'node:dgram'
import { Agent, createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { createConnectRouter } from '@connectrpc/connect'
import { createTransport } from '@connectrpc/connect/protocol-connect'
import type { UniversalClientRequest, UniversalClientResponse, UniversalHandler } from '@connectrpc/connect/protocol'
import type { Metrics } from '@lentilwheel/core'
import { MAX_DATAGRAM_BYTES, MAX_RPC_BYTES } from '../constants.js'
import { MeshMessageTooLarge, MeshPeerUnreachable, MeshUnauthenticated } from '../errors.js'
import { MeshService } from '../gen/mesh_pb.js'
import { splitAddress, type MeshAddress } from '../wire/address.js'
import type { MeshAuth } from '../wire/auth.js'
import type { MeshMethod, MeshTransport, TransportHandlers } from './transport.js'

const MAC_HEADER = 'x-mesh-mac'
/** Calls to one peer are rare, so a connection is kept only for the few calls of one exchange. */
const KEEP_ALIVE_MS = 2_000
const MAX_IDLE_CONNECTIONS = 4
/** A peer that sends its request slower than this gives its connection back. */
const SLOW_PEER_LIMITS = { headersTimeout: 5_000, requestTimeout: 10_000, connectionsCheckingInterval: 5_000 }
/** Connections that peers may hold open at once; a storm beyond it is refused and retried with backoff. */
const MAX_SERVER_CONNECTIONS = 256

export interface NodeMeshTransportOptions {
  address: string
  port: number
  auth: MeshAuth
  metrics: Metrics
}

/** Datagrams over UDP and calls over connect-es on HTTP/1.1, both on the mesh port. */
export class NodeMeshTransport implements MeshTransport {
  readonly #opts: NodeMeshTransportOptions
  readonly #agent = new Agent({ keepAlive: true, timeout: KEEP_ALIVE_MS, maxFreeSockets: MAX_IDLE_CONNECTIONS })
  #udp: Socket | undefined
  #server: Server | undefined

  constructor (opts: NodeMeshTransportOptions) {
    this.#opts = opts
  }

  async listen (handlers: TransportHandlers): Promise<void> {
    const { address, port } = this.#opts
    const routes = makeRoutes(handlers)
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, ...SLOW_PEER_LIMITS }, (req, res) => {
      this.#serve(routes, req, res).catch((err) => {
        if (err instanceof MeshUnauthenticated) this.#opts.metrics.count('mesh.dropped', 1, { reason: 'unauthenticated' })
        res.destroy()
      })
    })
    server.maxConnections = MAX_SERVER_CONNECTIONS
    await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, address, resolve))
    this.#server = server
    const udp = createSocket('udp4')
    await new Promise<void>((resolve, reject) => udp.once('error', reject).bind(port, address, resolve))
    udp.on('error', () => {})
    udp.on('message', (sealed, from) => handlers.onDatagram(`${from.address}:${from.port}`, sealed))
    this.#udp = udp
  }

  send (to: MeshAddress, sealed: Uint8Array): void {
    if (sealed.length > MAX_DATAGRAM_BYTES) throw new MeshMessageTooLarge(`datagram has ${sealed.length} bytes`)
    const { ip, port } = splitAddress(to)
    this.#udp?.send(sealed, port, ip, () => {})
  }

  async call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs: number
  ): Promise<MessageShape<O>> {
    const transport = createTransport({
      httpClient: async (httpReq) => await this.#send(httpReq),
      baseUrl: `http://${to}`,
      useBinaryFormat: true,
      interceptors: [],
      acceptCompression: [],
      sendCompression: null,
      compressMinBytes: MAX_RPC_BYTES,
      readMaxBytes: MAX_RPC_BYTES,
      writeMaxBytes: MAX_RPC_BYTES
    })
    try {
      const res = await transport.unary(method, AbortSignal.timeout(timeoutMs), undefined, undefined, req)
      return res.message
    } catch (err) {
      throw new MeshPeerUnreachable(`${to} did not answer ${method.name}`, err)
    }
  }

  async close (): Promise<void> {
    this.#agent.destroy()
    const server = this.#server
    const udp = this.#udp
    this.#server = undefined
    this.#udp = undefined
    if (udp) await new Promise<void>((resolve) => udp.close(resolve))
    if (!server) return
    server.closeAllConnections()
    await new Promise<void>((resolve) => server.close(() => resolve()))
  }

  /** HTTP client of connect-es: adds the code to the request and checks that of the answer. */
  async #send (req: UniversalClientRequest): Promise<UniversalClientResponse> {
    const url = new URL(req.url)
    const body = await readAll(req.body ?? [])
    const mac = Buffer.from(this.#opts.auth.mac('request', url.pathname, body)).toString('base64')
    const headers = { 'content-type': 'application/proto', 'content-length': body.length, [MAC_HEADER]: mac }
    const res = await new Promise<IncomingMessage>((resolve, reject) => {
      const { hostname, port, pathname } = url
      const sent = request({ hostname, port, path: pathname, method: 'POST', headers, agent: this.#agent, signal: req.signal })
      sent.once('response', resolve).once('error', reject).end(body)
    })
    const answer = await readAll(res)
    const answerMac = Buffer.from(String(res.headers[MAC_HEADER] ?? ''), 'base64')
    this.#opts.auth.check('response', `${mac} ${res.statusCode}`, answer, answerMac)
    this.#count(methodName(url.pathname), body.length, answer.length)
    const header = new Headers({ 'content-type': String(res.headers['content-type'] ?? '') })
    return { status: res.statusCode ?? 0, header, body: chunks(answer), trailer: new Headers() }
  }

  /** Checks the code of a request before connect-es decodes it; a peer without the key learns nothing. */
  async #serve (routes: Routes, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? ''
    const mac = String(req.headers[MAC_HEADER] ?? '')
    const handler = routes.get(path)
    if (!handler || mac === '') {
      req.destroy()
      return
    }
    const body = await readAll(req)
    this.#opts.auth.check('request', path, body, Buffer.from(mac, 'base64'))
    const abort = new AbortController()
    res.once('close', () => abort.abort())
    const answer = await handler({
      httpVersion: req.httpVersion,
      url: `http://mesh${path}`,
      method: 'POST',
      header: new Headers({ 'content-type': 'application/proto' }),
      body: chunks(body),
      signal: abort.signal
    })
    const bytes = await readAll(answer.body ?? [])
    const answerMac = this.#opts.auth.mac('response', `${mac} ${answer.status}`, bytes)
    this.#count(methodName(path), bytes.length, body.length)
    res.sendDate = false
    res.writeHead(answer.status, {
      'content-type': answer.header?.get('content-type') ?? 'application/proto',
      'content-length': bytes.length,
      [MAC_HEADER]: Buffer.from(answerMac).toString('base64')
    })
    res.end(bytes)
  }

  #count (message: string, sent: number, received: number): void {
    this.#opts.metrics.count('mesh.bytes_sent', sent + HTTP_OVERHEAD_BYTES, { message })
    this.#opts.metrics.count('mesh.bytes_received', received + HTTP_OVERHEAD_BYTES, { message })
  }
}

/** Counted for the request or status line and the headers of one direction of a call; the longest are near it. */
const HTTP_OVERHEAD_BYTES = 220

type Routes = ReadonlyMap<string, UniversalHandler>

function makeRoutes (handlers: TransportHandlers): Routes {
  const router = createConnectRouter({ grpc: false, grpcWeb: false, readMaxBytes: MAX_RPC_BYTES })
  for (const method of MeshService.methods) {
    const unary = method as MeshMethod
    router.rpc(unary, async (req: MessageShape<DescMessage>) => await handlers.onCall(unary, req))
  }
  return new Map(router.handlers.map((handler) => [handler.requestPath, handler]))
}

function methodName (path: string): string {
  const name = path.slice(path.lastIndexOf('/') + 1)
  return name.charAt(0).toLowerCase() + name.slice(1)
}

async function readAll (body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>): Promise<Uint8Array> {
  const parts: Uint8Array[] = []
  let bytes = 0
  for await (const part of body) {
    bytes += part.length
    if (bytes > MAX_RPC_BYTES) throw new MeshMessageTooLarge(`message has more than ${MAX_RPC_BYTES} bytes`)
    parts.push(part)
  }
  return parts.length === 1 ? new Uint8Array(parts[0]!) : new Uint8Array(Buffer.concat(parts))
}

async function * chunks (bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes
}
