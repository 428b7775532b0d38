import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { groupBy, type Cancel, type EndpointView, type Metrics, type Random, type Timers } from '@lentilwheel/core'
import type { Snapshot } from '@lentilwheel/config'
import {
  CALLER_HEADERS_TIMEOUT_MS, CALLER_IDLE_TIMEOUT_MS, DRAIN_LINGER_MS, DRAIN_QUIET_LIMIT_MS, DRAIN_QUIET_PERIOD_MS,
  DRAIN_TIMEOUT_MS, MAINTENANCE_PERIOD_MS, MAX_HEADER_BYTES, NOT_RUN_HEADER, REFUSAL_HEADER
} from './constants.js'
import { ProxyCounters } from './counters.js'
import { IdleConnectionSweeper } from './limits/idleConnectionSweeper.js'
import { Call } from './nodeCall.js'
import { reject, type ProxyContext } from './nodeProxyContext.js'
import { Target } from './nodeTarget.js'
import type { ProxyCallObserver, TrafficShare } from './observer.js'
import { REJECTIONS, type Rejection } from './requests/rejection.js'
import { RequestHead } from './requests/requestHead.js'
import { buildRouter, type Router } from './routing/router.js'
import { ServiceState } from './service/serviceState.js'

export interface ProxyOptions {
  /** Id of this daemon; determines the subset of targets that it uses. */
  daemon: string
  dataCentre: string
  timers: Timers
  random: Random
  metrics: Metrics
  observer?: ProxyCallObserver
  /** How a move splits a service's traffic; without a move all calls go to the service's current version. */
  shareOf? (service: string): TrafficShare | undefined
  onEjected? (target: EndpointView): void
  onRestored? (target: EndpointView): void
}

export interface DrainOptions {
  /** How long new calls are still served. */
  lingerMs?: number
  /** Longest wait for calls in flight; the ones left are cut off. */
  timeoutMs?: number
}

const METRICS_PERIOD_MS = 1_000
const IDLE_SWEEP_PERIOD_MS = 5_000

/**
 * The HTTP proxy of a daemon: routes calls by the active configuration snapshot and forwards them to targets, with
 * retries, deadlines, queues and load balancing.
 */
export class ProxyServer {
  readonly counters = new ProxyCounters()
  readonly #server: Server
  readonly #opts: ProxyOptions
  readonly #context: ProxyContext
  readonly #services = new Map<string, ServiceState<Target>>()
  /** The latest call on each connection of a caller. */
  readonly #calls = new Map<Socket, Call>()
  readonly #idleSweeper = new IdleConnectionSweeper<Socket>(CALLER_IDLE_TIMEOUT_MS)
  readonly #ejectedTargets = new Set<Target>()
  readonly #cancelTimers: Cancel[]
  #router: Router | undefined
  #endpoints: readonly EndpointView[] = []
  /** Daemons that share the targets. */
  #daemonCount = 1
  /** Calls in flight. */
  #activeCount = 0
  /** Connections accepted so far. */
  #acceptedCount = 0
  #isRejectingAll = false
  #onIdle: (() => void) | undefined

  constructor (opts: ProxyOptions) {
    this.#opts = opts
    this.#context = {
      timers: opts.timers,
      random: opts.random,
      counters: this.counters,
      observer: opts.observer,
      shareOf: opts.shareOf ?? (() => undefined),
      isDraining: false
    }
    this.#server = this.#createServer()
    this.#cancelTimers = [
      opts.timers.every(MAINTENANCE_PERIOD_MS, () => this.#runMaintenance()),
      opts.timers.every(IDLE_SWEEP_PERIOD_MS, () => this.#idleSweeper.sweep(opts.timers.now(), (socket) => this.#calls.has(socket))),
      opts.timers.every(METRICS_PERIOD_MS, () => this.#flushMetrics())
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

  /** Replaces the configuration; calls that are already routed finish with the one that they started with. */
  setSnapshot (snapshot: Snapshot): void {
    const { services } = snapshot.config
    for (const [name, service] of Object.entries(services)) {
      const state = this.#services.get(name)
      if (state) state.configure(service)
      else this.#services.set(name, this.#createServiceState(name, service))
    }
    this.#router = buildRouter(snapshot.config)
    for (const [name, state] of this.#services) {
      if (Object.hasOwn(services, name)) continue
      this.#services.delete(name)
      state.updateEndpoints([], this.#daemonCount, this.#opts.timers.now())
    }
  }

  setEndpoints (endpoints: readonly EndpointView[]): void {
    this.#endpoints = endpoints
    const byService = groupBy(endpoints, (endpoint) => endpoint.service)
    const now = this.#opts.timers.now()
    for (const [name, state] of this.#services) state.updateEndpoints(byService.get(name) ?? [], this.#daemonCount, now)
  }

  /** Sets the number of daemons among which the targets' connections are divided. */
  setDaemonCount (daemonCount: number): void {
    if (daemonCount === this.#daemonCount) return
    this.#daemonCount = daemonCount
    this.setEndpoints(this.#endpoints)
  }

  /**
   * Stops gracefully: tells callers to close their connections, then rejects new calls, then stops accepting connections
   * and waits for the calls in flight.
   */
  async drain (opts: DrainOptions = {}): Promise<void> {
    this.#context.isDraining = true
    const lingerMs = opts.lingerMs ?? DRAIN_LINGER_MS
    await this.#sleep(lingerMs)
    this.#isRejectingAll = true
    if (lingerMs > 0) await this.#waitUntilNoNewConnections()
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    await this.#waitUntilIdle(opts.timeoutMs ?? DRAIN_TIMEOUT_MS)
    this.#server.closeIdleConnections()
    await this.#stop(closed)
  }

  /** Stops at once; calls in flight are cut off. */
  async close (): Promise<void> {
    this.#context.isDraining = true
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    await this.#stop(closed)
  }

  async #stop (closed: Promise<void>): Promise<void> {
    for (const cancel of this.#cancelTimers) cancel()
    this.#server.closeAllConnections()
    await closed
    for (const state of this.#services.values()) state.updateEndpoints([], this.#daemonCount, this.#opts.timers.now())
    this.#flushMetrics()
  }

  #createServer (): Server {
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: CALLER_HEADERS_TIMEOUT_MS,
      // Idle connections are closed by a periodic sweep, which costs nothing per call.
      keepAliveTimeout: 0,
      // Each call has its own deadline.
      requestTimeout: 0,
      // RequestHead checks the host, so that the rejection states that the request wasn't run.
      requireHostHeader: false,
      noDelay: true
    })
    server.on('connection', (socket) => {
      this.#acceptedCount++
      this.#idleSweeper.add(socket, this.#opts.timers.now())
      socket.once('close', () => this.#idleSweeper.remove(socket))
    })
    server.on('request', (req, res) => this.#handleRequest(req, res, false))
    server.on('checkContinue', (req, res) => this.#handleRequest(req, res, true))
    server.on('checkExpectation', (_req, res) => this.#reject(res, REJECTIONS.expectation, true))
    server.on('clientError', (err, socket) => this.#onParseError(err as NodeJS.ErrnoException, socket as Socket))
    return server
  }

  #handleRequest (req: IncomingMessage, res: ServerResponse, isAwaitingContinue: boolean): void {
    this.counters.calls++
    const head = new RequestHead(req.method!, req.url!, req.rawHeaders)
    if (head.rejection) return this.#reject(res, head.rejection, true)
    if (this.#isRejectingAll) return this.#reject(res, REJECTIONS.stopping, true)
    if (!this.#router) return this.#reject(res, REJECTIONS.noConfiguration, isAwaitingContinue)
    const route = this.#router.match(req.method!, head.host, head.path, req.headers)
    if (!route) return this.#reject(res, REJECTIONS.noRoute, isAwaitingContinue)
    const service = this.#services.get(route.serviceName)!
    const call = new Call(this.#context, req, res, head, route, service, isAwaitingContinue)
    this.#trackCall(call, req, res)
    call.start()
  }

  #trackCall (call: Call, req: IncomingMessage, res: ServerResponse): void {
    const socket = req.socket
    let isOpen = true
    this.#activeCount++
    this.#calls.set(socket, call)
    const onClose = (): void => {
      if (!isOpen) return
      isOpen = false
      this.#activeCount--
      if (this.#calls.get(socket) === call) this.#calls.delete(socket)
      call.onClose()
      if (this.#activeCount === 0) this.#onIdle?.()
    }
    res.once('close', onClose)
    // A pipelined response that waits behind others has no socket yet and gets no close event of the socket.
    if (!res.socket) socket.once('close', onClose)
  }

  #reject (res: ServerResponse, rejection: Rejection, close: boolean): void {
    this.counters.refused++
    reject(res, rejection, { notRun: true, close: close || this.#context.isDraining })
  }

  /** Handles bytes that aren't HTTP; while a call is in progress, the caller would take a response for that call's. */
  #onParseError (err: NodeJS.ErrnoException, socket: Socket): void {
    const call = this.#calls.get(socket)
    if (call || !socket.writable || err.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    this.counters.refused++
    const rejection = parseErrorRejection(err.code)
    socket.end(`HTTP/1.1 ${rejection.status} Refused\r\n${NOT_RUN_HEADER}: 1\r\n${REFUSAL_HEADER}: ${rejection.code}\r\n` +
      'connection: close\r\ncontent-length: 0\r\n\r\n')
  }

  #createServiceState (name: string, service: Snapshot['config']['services'][string]): ServiceState<Target> {
    const { daemon, dataCentre, random, timers } = this.#opts
    const state = new ServiceState<Target>(service, {
      daemon,
      dataCentre,
      random,
      createTarget: (endpoint, now, isWarm) => new Target(endpoint, now, isWarm),
      retireTarget: (target) => target.retire()
    })
    state.updateEndpoints(this.#endpoints.filter((endpoint) => endpoint.service === name), this.#daemonCount, timers.now())
    return state
  }

  #runMaintenance (): void {
    const now = this.#opts.timers.now()
    for (const state of this.#services.values()) {
      for (const target of state.tick(now, MAINTENANCE_PERIOD_MS)) {
        this.counters.ejections++
        this.#ejectedTargets.add(target)
        this.#opts.onEjected?.(target.endpoint)
      }
      for (const target of state.targets) target.pruneClosed()
    }
    for (const target of this.#ejectedTargets) {
      if (target.isEjected(now)) continue
      this.#ejectedTargets.delete(target)
      this.#opts.onRestored?.(target.endpoint)
    }
  }

  #flushMetrics (): void {
    this.counters.flush(this.#opts.metrics)
    this.#opts.metrics.gauge('proxy.active', this.#activeCount)
  }

  /** Waits for a period without new connections, as closing the listener resets the ones that it hasn't accepted yet. */
  async #waitUntilNoNewConnections (): Promise<void> {
    for (let waitedMs = 0; waitedMs < DRAIN_QUIET_LIMIT_MS; waitedMs += DRAIN_QUIET_PERIOD_MS) {
      const before = this.#acceptedCount
      await this.#sleep(DRAIN_QUIET_PERIOD_MS)
      if (this.#acceptedCount === before) return
    }
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#opts.timers.after(ms, resolve) })
  }

  async #waitUntilIdle (timeoutMs: number): Promise<void> {
    if (this.#activeCount === 0) return
    await new Promise<void>((resolve) => {
      const cancel = this.#opts.timers.after(timeoutMs, resolve)
      this.#onIdle = () => {
        cancel()
        resolve()
      }
    })
  }
}

function parseErrorRejection (code: string | undefined): Rejection {
  if (code === 'HPE_HEADER_OVERFLOW') return REJECTIONS.headTooLarge
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return REJECTIONS.headTimeout
  return REJECTIONS.badHead
}
