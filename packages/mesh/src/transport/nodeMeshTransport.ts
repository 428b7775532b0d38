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
import { parseAddress, type MeshAddress } from '../wire/address.js'
import type { MeshAuth } from '../wire/meshAuth.js'
import type { MeshMethod, MeshTransport, TransportHandlers } from './meshTransport.js'

const MAC_HEADER = 'x-mesh-mac'
/** Calls to one peer are rare, so a connection is kept open only for the few calls of one exchange. */
const KEEP_ALIVE_MS = 2_000
const MAX_IDLE_CONNECTIONS = 4
/** A connection is closed when its request takes longer than this to arrive. */
const SERVER_TIMEOUTS = { headersTimeout: 5_000, requestTimeout: 10_000, connectionsCheckingInterval: 5_000 }
/** Connections that peers may hold open at once; more are refused, and the peers retry with backoff. */
const MAX_SERVER_CONNECTIONS = 256

export interface NodeMeshTransportOptions {
  address: string
  port: number
  auth: MeshAuth
  metrics: Metrics
}

/**
 * Transport with real sockets: datagrams over UDP and calls with connect-es over HTTP/1.1, both on the mesh port. Signs
 * and verifies calls, so that connect-es decodes nothing from a peer without the mesh key.
 */
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
    const routes = createRoutes(handlers)
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, ...SERVER_TIMEOUTS }, (req, res) => {
      this.#handleHttpRequest(routes, req, res).catch((err) => {
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
    udp.on('message', (signed, from) => handlers.onDatagram(`${from.address}:${from.port}`, signed))
    this.#udp = udp
  }

  send (to: MeshAddress, signed: Uint8Array): void {
    if (signed.length > MAX_DATAGRAM_BYTES) throw new MeshMessageTooLarge(`datagram of ${signed.length} bytes is too large`)
    const { ip, port } = parseAddress(to)
    this.#udp?.send(signed, port, ip, () => {})
  }

  async call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs: number
  ): Promise<MessageShape<O>> {
    const transport = createTransport({
      httpClient: async (httpReq) => await this.#sendHttpRequest(httpReq),
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
      throw new MeshPeerUnreachable(`no valid answer from ${to} to ${method.name}`, err)
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

  /** HTTP client for connect-es: signs the request and verifies the response. */
  async #sendHttpRequest (req: UniversalClientRequest): Promise<UniversalClientResponse> {
    const url = new URL(req.url)
    const body = await readAll(req.body ?? [])
    const mac = Buffer.from(this.#opts.auth.computeMac('request', url.pathname, body)).toString('base64')
    const headers = { 'content-type': 'application/proto', 'content-length': body.length, [MAC_HEADER]: mac }
    const res = await new Promise<IncomingMessage>((resolve, reject) => {
      const { hostname, port, pathname } = url
      const sent = request({ hostname, port, path: pathname, method: 'POST', headers, agent: this.#agent, signal: req.signal })
      sent.once('response', resolve).once('error', reject).end(body)
    })
    const response = await readAll(res)
    const responseMac = Buffer.from(String(res.headers[MAC_HEADER] ?? ''), 'base64')
    this.#opts.auth.verify('response', `${mac} ${res.statusCode}`, response, responseMac)
    this.#countBytes(methodNameOf(url.pathname), body.length, response.length)
    const header = new Headers({ 'content-type': String(res.headers['content-type'] ?? '') })
    return { status: res.statusCode ?? 0, header, body: singleChunk(response), trailer: new Headers() }
  }

  /** Verifies the MAC of a request before connect-es decodes it; a peer without the key gets no response at all. */
  async #handleHttpRequest (routes: Routes, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? ''
    const mac = String(req.headers[MAC_HEADER] ?? '')
    const handler = routes.get(path)
    if (!handler || mac === '') {
      req.destroy()
      return
    }
    const body = await readAll(req)
    this.#opts.auth.verify('request', path, body, Buffer.from(mac, 'base64'))
    const abort = new AbortController()
    res.once('close', () => abort.abort())
    const response = await handler({
      httpVersion: req.httpVersion,
      url: `http://mesh${path}`,
      method: 'POST',
      header: new Headers({ 'content-type': 'application/proto' }),
      body: singleChunk(body),
      signal: abort.signal
    })
    const bytes = await readAll(response.body ?? [])
    const responseMac = this.#opts.auth.computeMac('response', `${mac} ${response.status}`, bytes)
    this.#countBytes(methodNameOf(path), bytes.length, body.length)
    res.sendDate = false
    res.writeHead(response.status, {
      'content-type': response.header?.get('content-type') ?? 'application/proto',
      'content-length': bytes.length,
      [MAC_HEADER]: Buffer.from(responseMac).toString('base64')
    })
    res.end(bytes)
  }

  #countBytes (message: string, sent: number, received: number): void {
    this.#opts.metrics.count('mesh.bytes_sent', sent + HTTP_OVERHEAD_BYTES, { message })
    this.#opts.metrics.count('mesh.bytes_received', received + HTTP_OVERHEAD_BYTES, { message })
  }
}

/** Bytes counted for the start line and headers of one direction of a call, close to the largest possible. */
const HTTP_OVERHEAD_BYTES = 220

type Routes = ReadonlyMap<string, UniversalHandler>

function createRoutes (handlers: TransportHandlers): Routes {
  const router = createConnectRouter({ grpc: false, grpcWeb: false, readMaxBytes: MAX_RPC_BYTES })
  for (const method of MeshService.methods) {
    const unary = method as MeshMethod
    router.rpc(unary, async (req: MessageShape<DescMessage>) => await handlers.onCall(unary, req))
  }
  return new Map(router.handlers.map((handler) => [handler.requestPath, handler]))
}

function methodNameOf (path: string): string {
  const name = path.slice(path.lastIndexOf('/') + 1)
  return name.charAt(0).toLowerCase() + name.slice(1)
}

async function readAll (body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>): Promise<Uint8Array> {
  const parts: Uint8Array[] = []
  let bytes = 0
  for await (const part of body) {
    bytes += part.length
    if (bytes > MAX_RPC_BYTES) throw new MeshMessageTooLarge(`message is larger than ${MAX_RPC_BYTES} bytes`)
    parts.push(part)
  }
  return parts.length === 1 ? new Uint8Array(parts[0]!) : new Uint8Array(Buffer.concat(parts))
}

async function * singleChunk (bytes: Uint8Array): AsyncIterable<Uint8Array> {
  yield bytes
}
