import { request as httpRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { NodeTimers, NoopMetrics, SeededRandom, type EndpointView } from '@lentilwheel/core'
import { buildSnapshot, checkConfig, rootHash, toObjects, type ConfigInput, type Snapshot } from '@lentilwheel/config'
import { FakeTarget } from '@lentilwheel/testkit'
import { ATTEMPT_HEADER } from '../constants.js'
import { ProxyServer, type ProxyOptions } from '../nodeProxyServer.js'

/** What a caller received for one call. */
export interface CallResult {
  /** 0 when there was no complete response head. */
  status: number
  headers: IncomingHttpHeaders
  body: string
  trailers: Record<string, string | undefined>
  /** Whether the connection broke before the response was complete. */
  isBroken: boolean
}

export interface CallOptions {
  method?: string
  path?: string
  id?: string
  body?: string
  headers?: Record<string, string>
  /** Receives a function that aborts the request. */
  onRequest? (abort: () => void): void
}

export function snapshotOf (cfg: ConfigInput, version = 1): Snapshot {
  const objects = toObjects(checkConfig(cfg))
  return buildSnapshot({ version, changeId: 'c', acceptedAt: 0, rootHash: rootHash(objects.values()) }, objects)
}

/** A configuration with one service, by its defaults with idempotent PUT and non-idempotent POST. */
export function ordersConfig (timeout = '20s', service: Partial<ConfigInput['services']> = {}): ConfigInput {
  return {
    services: { orders: { versions: ['v1', 'v2'], current: 'v1', timeout, maxAttempts: 3 }, ...service },
    routes: { all: { service: 'orders', path: '/*' } }
  }
}

export function endpointOf (target: FakeTarget, index: number, change: Partial<EndpointView> = {}): EndpointView {
  return {
    id: `d${index}/orders`,
    service: 'orders',
    version: 'v1',
    address: '127.0.0.1',
    port: target.port,
    dataCentre: 'here',
    slots: 6,
    connections: 100,
    state: 'ready',
    reachable: true,
    ...change
  }
}

/** Test harness: a proxy and fake targets on loopback sockets, and clients that call them. */
export class ProxyHarness {
  readonly proxy: ProxyServer
  readonly targets: FakeTarget[] = []
  port = 0

  constructor (opts: Partial<ProxyOptions> = {}) {
    const random = new SeededRandom(1)
    this.proxy = new ProxyServer({
      daemon: 'd0', dataCentre: 'here', timers: new NodeTimers(random), random, metrics: new NoopMetrics(), ...opts
    })
  }

  async start (targetCount: number, cfg: ConfigInput = ordersConfig()): Promise<this> {
    for (let i = 0; i < targetCount; i++) {
      const target = new FakeTarget({ service: 'orders', version: 'v1' })
      await target.start()
      this.targets.push(target)
    }
    this.proxy.setSnapshot(snapshotOf(cfg))
    this.proxy.setEndpoints(this.targets.map((target, i) => endpointOf(target, i)))
    this.port = await this.proxy.listen(0, '127.0.0.1')
    return this
  }

  async stop (): Promise<void> {
    await this.proxy.close()
    await Promise.all(this.targets.map((target) => target.kill()))
  }

  /** How often the targets ran the request with this id. */
  runCount (id: string): number {
    return this.targets.reduce((sum, target) => sum + (target.runs.get(id) ?? 0), 0)
  }

  async call (opts: CallOptions = {}): Promise<CallResult> {
    return await new Promise((resolve) => {
      const req = httpRequest({
        port: this.port,
        host: '127.0.0.1',
        method: opts.method ?? 'GET',
        path: opts.path ?? '/x',
        agent: false,
        headers: { ...opts.headers, ...(opts.id === undefined ? {} : { 'x-request-id': opts.id }) }
      }, (res) => collect(res, resolve))
      req.once('error', () => resolve({ status: 0, headers: {}, body: '', trailers: {}, isBroken: true }))
      opts.onRequest?.(() => req.destroy())
      req.end(opts.body)
    })
  }

  /** Sends raw bytes and returns all bytes that the proxy sends until it closes the connection. */
  async sendRaw (bytes: string): Promise<string> {
    return await new Promise((resolve) => {
      const socket = connect({ port: this.port, host: '127.0.0.1', allowHalfOpen: true })
      let text = ''
      socket.on('data', (chunk) => { text += String(chunk) })
      socket.on('error', () => {})
      socket.on('end', () => socket.end())
      socket.on('close', () => resolve(text))
      socket.write(bytes, 'latin1')
    })
  }
}

function collect (res: IncomingMessage, resolve: (result: CallResult) => void): void {
  let body = ''
  res.on('data', (chunk) => { body += String(chunk) })
  res.on('error', () => {})
  res.once('close', () => {
    const { statusCode, headers, trailers, complete } = res
    resolve({ status: statusCode ?? 0, headers, body, trailers, isBroken: !complete })
  })
}

/** Whether this attempt is the first for its call. */
export function isFirstAttempt (req: IncomingMessage): boolean {
  return req.headers[ATTEMPT_HEADER] === undefined
}

/**
 * Checks one result against the guarantees of the proxy and returns what is wrong: a non-idempotent request runs at most
 * once, a request reported as not run has not run, and a complete response belongs to its request.
 */
export function findViolation (harness: ProxyHarness, id: string, isIdempotent: boolean, result: CallResult): string | undefined {
  const runs = harness.runCount(id)
  if (!isIdempotent && runs > 1) return `${id} ran ${runs} times`
  if (result.headers['x-lentilwheel-not-run'] === '1' && runs > 0) return `${id} ran and was reported as not run`
  if (result.status === 200 && !result.isBroken && !result.body.includes(`"id":"${id}"`)) {
    return `${id} got the response ${result.body.slice(0, 80)}`
  }
  return undefined
}
