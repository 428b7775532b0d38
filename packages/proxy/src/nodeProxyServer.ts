import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { groupBy, type Cancel, type EndpointView, type Metrics, type Random, type Timers } from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import {
  CALLER_HEADERS_TIMEOUT_MS, CALLER_KEEP_ALIVE_MS, DRAIN_LIMIT_MS, DRAIN_LINGER_MS, DRAIN_QUIET_LIMIT_MS, DRAIN_QUIET_MS, MAX_HEADER_BYTES, NOT_RUN_HEADER,
  REFUSAL_HEADER, UPKEEP_MS
} from './constants.js'
import { ProxyCounters } from './counters.js'
import { IdleConnections } from './limits/idleConnections.js'
import { Call } from './nodeCall.js'
import { refuse, type ProxyCore } from './nodeProxyCore.js'
import { Target } from './nodeTarget.js'
import type { ProxyCallObserver, TrafficShare } from './observer.js'
import { REFUSALS, type Refusal } from './requests/refusal.js'
import { RequestHead } from './requests/requestHead.js'
import { buildRouter, type Router } from './routing/router.js'
import { ServiceState } from './service/serviceState.js'

export interface ProxyOptions {
  /** Id of this daemon; decides which subset of targets it uses. */
  daemon: string
  dataCentre: string
  timers: Timers
  random: Random
  metrics: Metrics
  observer?: ProxyCallObserver
  /** How a move divides a service's traffic; without one all goes to the service's current version. */
  shareOf? (service: string): TrafficShare | undefined
  onEjected? (target: EndpointView): void
  onRestored? (target: EndpointView): void
}

export interface DrainOptions {
  /** How long new connections are still accepted. */
  lingerMs?: number
  /** After this time calls in flight are cut off. */
  limitMs?: number
}

const METRICS_PERIOD_MS = 1_000
const IDLE_SWEEP_MS = 5_000

/** Forwards calls to targets by the snapshot in force. */
export class ProxyServer {
  readonly counters = new ProxyCounters()
  readonly #server: Server
  readonly #opts: ProxyOptions
  readonly #core: ProxyCore
  readonly #services = new Map<string, ServiceState<Target>>()
  readonly #calls = new Map<Socket, Call>()
  readonly #idle = new IdleConnections<Socket>(CALLER_KEEP_ALIVE_MS)
  readonly #ejected = new Set<Target>()
  readonly #cancels: Cancel[]
  #router: Router | undefined
  #endpoints: readonly EndpointView[] = []
  #callers = 1
  #active = 0
  /** Connections accepted so far. */
  #accepted = 0
  #refusesAll = false
  #onIdle: (() => void) | undefined

  constructor (opts: ProxyOptions) {
    this.#opts = opts
    this.#core = {
      timers: opts.timers,
      random: opts.random,
      counters: this.counters,
      observer: opts.observer,
      shareOf: opts.shareOf ?? (() => undefined),
      draining: false
    }
    this.#server = this.#createServer()
    this.#cancels = [
      opts.timers.every(UPKEEP_MS, () => this.#upkeep()),
      opts.timers.every(IDLE_SWEEP_MS, () => this.#idle.sweep(opts.timers.now(), (socket) => this.#calls.has(socket))),
      opts.timers.every(METRICS_PERIOD_MS, () => this.#sendMetrics())
    ]
  }

  async listen (port: number, host: string): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    return (this.#server.address() as AddressInfo).port
  }

  /** Swaps the configuration; calls already routed end under the one they began with. */
  setSnapshot (snapshot: Snapshot): void {
    const { services } = snapshot.config
    for (const [name, service] of Object.entries(services)) {
      const state = this.#services.get(name)
      if (state) state.configure(service)
      else this.#services.set(name, this.#newService(name, service))
    }
    this.#router = buildRouter(snapshot.config)
    for (const [name, state] of this.#services) {
      if (Object.hasOwn(services, name)) continue
      this.#services.delete(name)
      state.update([], this.#callers, this.#opts.timers.now())
    }
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    this.#endpoints = endpoints
    const byService = groupBy(endpoints, (endpoint) => endpoint.service)
    const now = this.#opts.timers.now()
    for (const [name, state] of this.#services) state.update(byService.get(name) ?? [], this.#callers, now)
  }

  /** Sets the number of daemons that share the targets; divides the targets' connections. */
  setCallers (callers: number): void {
    if (callers === this.#callers) return
    this.#callers = callers
    this.setEndpoints(this.#endpoints)
  }

  /** Ends without cutting off a request: callers are told to leave, then refused, then nothing new is accepted. */
  async drain (opts: DrainOptions = {}): Promise<void> {
    this.#core.draining = true
    const lingerMs = opts.lingerMs ?? DRAIN_LINGER_MS
    await this.#sleep(lingerMs)
    this.#refusesAll = true
    if (lingerMs > 0) await this.#waitUntilQuiet()
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    await this.#waitUntilIdle(opts.limitMs ?? DRAIN_LIMIT_MS)
    this.#server.closeIdleConnections()
    await this.#stop(closed)
  }

  /** Ends at once; calls in flight are cut off. */
  async close (): Promise<void> {
    this.#core.draining = true
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    await this.#stop(closed)
  }

  async #stop (closed: Promise<void>): Promise<void> {
    for (const cancel of this.#cancels) cancel()
    this.#server.closeAllConnections()
    await closed
    for (const state of this.#services.values()) state.update([], this.#callers, this.#opts.timers.now())
    this.#sendMetrics()
  }

  #createServer (): Server {
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: CALLER_HEADERS_TIMEOUT_MS,
      // Idle connections are swept, which costs a call nothing.
      keepAliveTimeout: 0,
      // Each call has its own deadline.
      requestTimeout: 0,
      // Checked with the rest of the head, so that the refusal says that nothing was run.
      requireHostHeader: false,
      noDelay: true
    })
    server.on('connection', (socket) => {
      this.#accepted++
      this.#idle.add(socket, this.#opts.timers.now())
      socket.once('close', () => this.#idle.remove(socket))
    })
    server.on('request', (req, res) => this.#serve(req, res, false))
    server.on('checkContinue', (req, res) => this.#serve(req, res, true))
    server.on('checkExpectation', (_req, res) => this.#refuse(res, REFUSALS.expectation, true))
    server.on('clientError', (err, socket) => this.#onGarbage(err as NodeJS.ErrnoException, socket as Socket))
    return server
  }

  #serve (req: IncomingMessage, res: ServerResponse, awaitsContinue: boolean): void {
    this.counters.calls++
    const head = new RequestHead(req.method!, req.url!, req.rawHeaders)
    if (head.refusal) return this.#refuse(res, head.refusal, true)
    if (this.#refusesAll) return this.#refuse(res, REFUSALS.stopping, true)
    if (!this.#router) return this.#refuse(res, REFUSALS.noConfiguration, awaitsContinue)
    const route = this.#router.match(req.method!, head.host, head.path, req.headers)
    if (!route) return this.#refuse(res, REFUSALS.noRoute, awaitsContinue)
    const service = this.#services.get(route.serviceName)!
    const call = new Call(this.#core, req, res, head, route, service, awaitsContinue)
    this.#track(call, req, res)
    call.start()
  }

  #track (call: Call, req: IncomingMessage, res: ServerResponse): void {
    const socket = req.socket
    let isOpen = true
    this.#active++
    this.#calls.set(socket, call)
    const onClose = (): void => {
      if (!isOpen) return
      isOpen = false
      this.#active--
      if (this.#calls.get(socket) === call) this.#calls.delete(socket)
      call.closed()
      if (this.#active === 0) this.#onIdle?.()
    }
    res.once('close', onClose)
    // An answer that waits behind others on its connection has no socket yet and isn't told when that closes.
    if (!res.socket) socket.once('close', onClose)
  }

  #refuse (res: ServerResponse, refusal: Refusal, close: boolean): void {
    this.counters.refused++
    refuse(res, refusal, { notRun: true, close: close || this.#core.draining })
  }

  /** A caller that sent what isn't HTTP; an answer would be mistaken for that of a call still in progress. */
  #onGarbage (err: NodeJS.ErrnoException, socket: Socket): void {
    const call = this.#calls.get(socket)
    if (call || !socket.writable || err.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    this.counters.refused++
    const refusal = garbageRefusal(err.code)
    socket.end(`HTTP/1.1 ${refusal.status} Refused\r\n${NOT_RUN_HEADER}: 1\r\n${REFUSAL_HEADER}: ${refusal.code}\r\n` +
      'connection: close\r\ncontent-length: 0\r\n\r\n')
  }

  #newService (name: string, service: Snapshot['config']['services'][string]): ServiceState<Target> {
    const { daemon, dataCentre, random, timers } = this.#opts
    const state = new ServiceState<Target>(service, {
      daemon,
      dataCentre,
      random,
      makeTarget: (view, now, warm) => new Target(view, now, warm),
      retireTarget: (target) => target.retire()
    })
    state.update(this.#endpoints.filter((endpoint) => endpoint.service === name), this.#callers, timers.now())
    return state
  }

  #upkeep (): void {
    const now = this.#opts.timers.now()
    for (const state of this.#services.values()) {
      for (const target of state.tick(now, UPKEEP_MS)) {
        this.counters.ejections++
        this.#ejected.add(target)
        this.#opts.onEjected?.(target.view)
      }
      for (const target of state.targets) target.trim()
    }
    for (const target of this.#ejected) {
      if (target.ejected(now)) continue
      this.#ejected.delete(target)
      this.#opts.onRestored?.(target.view)
    }
  }

  #sendMetrics (): void {
    this.counters.flush(this.#opts.metrics)
    this.#opts.metrics.gauge('proxy.active', this.#active)
  }

  /** Closing the listener resets connections that it has not accepted yet, so it is closed when none arrive. */
  async #waitUntilQuiet (): Promise<void> {
    for (let waited = 0; waited < DRAIN_QUIET_LIMIT_MS; waited += DRAIN_QUIET_MS) {
      const before = this.#accepted
      await this.#sleep(DRAIN_QUIET_MS)
      if (this.#accepted === before) return
    }
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#opts.timers.after(ms, resolve) })
  }

  async #waitUntilIdle (limitMs: number): Promise<void> {
    if (this.#active === 0) return
    await new Promise<void>((resolve) => {
      const cancel = this.#opts.timers.after(limitMs, resolve)
      this.#onIdle = () => {
        cancel()
        resolve()
      }
    })
  }
}

function garbageRefusal (code: string | undefined): Refusal {
  if (code === 'HPE_HEADER_OVERFLOW') return REFUSALS.headTooLarge
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return REFUSALS.headTimeout
  return REFUSALS.badHead
}
