import { SeededRandom, VirtualTimers, type Random } from '@lentilwheel/core'
import { TEST_HEADERS as names } from './headerNames.js'
import { Fleet } from '../fleet/fleet.js'
import type { PeerLink } from '../fleet/fleetTypes.js'
import type { HostRecord, TargetRecord } from '../fleet/hostRecord.js'
import { InboundHandler } from '../inbound/inboundHandler.js'
import type { TargetClient } from '../inbound/nodeTargetClient.js'
import type { TargetRequest } from '../inbound/nodeTargetConnection.js'
import type { TargetResult } from '../inbound/targetResult.js'
import { NoopCallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import { OutboundHandler } from '../outbound/outboundHandler.js'
import { LoadBalancer } from '../outbound/loadBalancer.js'
import { ResponseSizes } from '../outbound/responseSizes.js'
import { RetryBudget } from '../outbound/retryBudget.js'
import type { MeshConfig, MeshRoute } from '../routing/meshConfig.js'
import { RouteTable } from '../routing/routeTable.js'
import type { RequestClass, Workload } from './workloads.js'

/** Length and disturbances of a simulation. */
export interface LoadOptions {
  seed: number
  seconds: number
  /** Factor on the request rate, by simulated time in seconds. */
  rateAt (second: number): number
  /** Factor on the work of a target, by simulated time in seconds. */
  slowness? (host: string, service: string, second: number): number
  /** Share of requests that a target fails. */
  failing? (host: string, service: string, second: number): number
  /** Share of requests that a target sheds at once. */
  shedding? (host: string, service: string, second: number): number
}

/** Outcomes of the requests of one class, as their callers see them. */
export interface ClassResult {
  requests: number
  onTime: number
  late: number
  rejected: number
  failed: number
  /** Value earned as a fraction of the value of all requests, had all responses been in time. */
  valueShare: number
  /** Rejections that came later than a quarter of the target latency. */
  lateRejections: number
  /** Requests that were served after one rejection, and those of them within the target latency. */
  servedAfterRejection: number
  onTimeAfterRejection: number
}

/** The running request that makes a nested call. */
interface ParentRun {
  id: string
  isRetry: boolean
}

/** Simulated network latency between two daemons, one way. */
const ONE_WAY_MS = 1
const DEFAULT_RESPONSE_BYTES = 100

interface SimHost {
  record: HostRecord
  fleet: Fleet
  inbound: InboundHandler
  outbound: OutboundHandler
  balancer: LoadBalancer
}

/** Simulated target: runs requests in its slots at its speed, makes their nested calls, and can be slow, fail or shed. */
class SimTarget implements TargetClient {
  readonly #simulator: LoadSimulator
  readonly #host: string
  readonly #service: string
  readonly #slots: number
  readonly #speed: number
  readonly #random: Random
  running = 0

  constructor (simulator: LoadSimulator, host: string, service: string, slots: number, speed: number, random: Random) {
    this.#simulator = simulator
    this.#host = host
    this.#service = service
    this.#slots = slots
    this.#speed = speed
    this.#random = random
  }

  reset (): void {}

  send (request: TargetRequest, _idempotent: boolean, done: (result: TargetResult) => void): () => void {
    const { timers, opts } = this.#simulator
    const second = timers.now() / 1000
    const head = request.bytes.toString('latin1').split('\r\n')
    const isRetry = this.#simulator.onArrival(this.#host, this.#service, request.requestId)
    const cls = this.#simulator.classOf(head[0]!.split(' ')[1]!)
    let isDone = false
    const end = (result: TargetResult): void => {
      if (isDone) return
      isDone = true
      this.running--
      stopDeadline()
      done(result)
    }
    this.running++
    if (this.running > this.#slots) throw new Error(`${this.#host} got more requests than it has slots`)
    const stopDeadline = timers.after(request.timeoutMs, () => end(response(504)))
    if (this.#random.next() < (opts.shedding?.(this.#host, this.#service, second) ?? 0)) {
      timers.after(1, () => end({ kind: 'notRun', reason: 'shed' }))
    } else {
      const tailFactor = this.#random.next() < 0.01 ? 4 : 1
      const slowness = opts.slowness?.(this.#host, this.#service, second) ?? 1
      const spread = Math.exp(0.35 * standardNormal(this.#random))
      const work = cls.workMs * spread * tailFactor * slowness / this.#speed
      const isFailing = this.#random.next() < (opts.failing?.(this.#host, this.#service, second) ?? 0)
      const parent = { id: request.requestId, isRetry }
      timers.after(work, () => this.#makeCalls(cls, parent, () => isDone, (ok) => end(response(ok && !isFailing ? 200 : 500, cls.responseBytes))))
    }
    return () => end({ kind: 'failed', reason: 'cancelled' })
  }

  #makeCalls (cls: RequestClass, parent: ParentRun, isDone: () => boolean, done: (ok: boolean) => void): void {
    let remainingCalls = cls.calls && this.#random.next() < cls.calls.share ? cls.calls.times : 0
    const next = (): void => {
      if (isDone()) return
      if (remainingCalls-- <= 0) return done(true)
      this.#simulator.sendRequest(this.#host, this.#simulator.classNamed(cls.calls!.class), parent, (ok) => ok ? next() : done(false))
    }
    next()
  }
}

/**
 * Simulates a workload in virtual time, to test what callers get under load: the outbound and inbound sides of the daemons
 * are the real ones, the targets, callers and network are simulated.
 */
export class LoadSimulator {
  readonly timers = new VirtualTimers()
  readonly opts: LoadOptions
  readonly #workload: Workload
  readonly #random: Random
  readonly #hosts = new Map<string, SimHost>()
  readonly #results = new Map<string, ClassResult>()
  /** Requests for each service, and those that arrived at its targets as retries. */
  readonly counts = new Map<string, { requests: number, retries: number }>()
  readonly #arrivedIds = new Set<string>()
  readonly #retryIds = new Set<string>()
  /** Number of responses that came through another daemon, and how many of them from another data centre. */
  readonly servedByLocation = { all: 0, remote: 0 }
  /** Bytes of request and response bodies sent between data centres, by class. */
  readonly remoteBytes = new Map<string, number>()
  /** Number of requests that each target received. */
  readonly arrivals = new Map<string, number>()
  #ids = 0

  constructor (workload: Workload, opts: LoadOptions) {
    this.#workload = workload
    this.opts = opts
    this.#random = new SeededRandom(Math.imul(opts.seed, 0x9e3779b1))
    for (const cls of workload.classes) this.#results.set(cls.name, { requests: 0, onTime: 0, late: 0, rejected: 0, failed: 0, valueShare: 0, lateRejections: 0, servedAfterRejection: 0, onTimeAfterRejection: 0 })
    this.#build()
  }

  /** Class of a request, by its URL. */
  classOf (url: string): RequestClass {
    return this.classNamed(url.split('/')[1]!)
  }

  classNamed (name: string): RequestClass {
    return this.#workload.classes.find((cls) => cls.name === name)!
  }

  /** Runs the workload, and returns the outcomes by class. */
  run (): Record<string, ClassResult> {
    for (const cls of this.#workload.classes) if (cls.ratePerS > 0) this.#schedule(cls)
    this.timers.advance(this.opts.seconds * 1000 + 5_000)
    const results: Record<string, ClassResult> = {}
    for (const cls of this.#workload.classes) {
      const result = this.#results.get(cls.name)!
      const maxValue = result.requests * cls.value
      result.valueShare = maxValue > 0 ? (result.onTime * cls.value + result.late * cls.lateValue) / maxValue : 0
      results[cls.name] = result
    }
    return results
  }

  /** Sends one request through the daemon of a host; `done` is told whether it succeeded. */
  sendRequest (host: string, cls: RequestClass, parent: ParentRun | undefined, done: (ok: boolean, retryAfterMs?: number, isRejected?: boolean) => void, deadlineMs = cls.deadlineMs): () => void {
    const id = parent ? `${parent.id}.${++this.#ids}` : `r${++this.#ids}`
    const counts = this.#countsOf(cls.service)
    counts.requests++
    if (parent?.isRetry) this.#retryIds.add(id)
    return this.#hosts.get(host)!.outbound.handle({
      method: cls.idempotent ? 'GET' : 'POST',
      url: `/${cls.name}/x`,
      head: { requestId: id, host: 'h', path: `/${cls.name}/x`, headers: [], deadlineMs },
      body: new Uint8Array(cls.requestBytes ?? 0),
      origin: this.#hosts.get(host)!.inbound.originOf(id)
    }, {
      respond: (reply) => done(reply.status === 200),
      reject: (status, _reason, retryAfterMs) => done(false, retryAfterMs, status === 503)
    })
  }

  /** Counts an arrival at a target; true if the run is a retry, or a nested call of one. */
  onArrival (host: string, service: string, id: string): boolean {
    this.arrivals.set(host, (this.arrivals.get(host) ?? 0) + 1)
    const isRepeated = this.#arrivedIds.has(id)
    this.#arrivedIds.add(id)
    if (isRepeated || this.#retryIds.has(id)) this.#countsOf(service).retries++
    return isRepeated || this.#retryIds.has(id)
  }

  #countRemoteBytes (cls: string, bytes: number): void {
    this.remoteBytes.set(cls, (this.remoteBytes.get(cls) ?? 0) + bytes)
  }

  #countsOf (service: string): { requests: number, retries: number } {
    let counts = this.counts.get(service)
    if (!counts) this.counts.set(service, counts = { requests: 0, retries: 0 })
    return counts
  }

  #build (): void {
    const config = this.#config()
    let hostCount = 0
    for (const service of this.#workload.services) {
      for (let i = 0; i < service.targets; i++) {
        const host = `h${String(++hostCount).padStart(2, '0')}`
        const dataCentre = this.#workload.dataCentres[i % this.#workload.dataCentres.length]!
        this.#addHost(host, dataCentre, service, service.speeds[i % service.speeds.length]!)
      }
    }
    const records = [...this.#hosts.values()].map(({ record }) => record)
    for (const { fleet, balancer, outbound } of this.#hosts.values()) {
      fleet.merge(records)
      balancer.setHosts(records)
      outbound.setTable(new RouteTable(config))
    }
  }

  #addHost (host: string, dataCentre: string, service: Workload['services'][number], speed: number): void {
    const { timers } = this
    const random = new SeededRandom(Math.imul(this.#random.int(1e9), 0x9e3779b1))
    const log = new NoopCallLog()
    const target: TargetRecord = { id: `t-${host}`, service: service.name, version: 'v1', slots: service.slots, state: 'ready', coldMs: 0 }
    const record: HostRecord = { host, dataCentre, address: host, port: 1, incarnation: 1, sequence: 1, stopping: false, target }
    const fleet = new Fleet({
      own: record, timers, random, log, openLink: (peer) => this.#link(peer, dataCentre), onChange: () => {}, onNewerPeerVersion: () => {}, onDepartures: () => {}, onFact: () => {}, orders: () => [], onOrder: () => {}, onReport: () => {}
    })
    const client = new SimTarget(this, host, service.name, service.slots, speed, random)
    const balancer = new LoadBalancer({ timers, random, dataCentre, host })
    const inboundHandler = new InboundHandler({
      timers, random, log, names, client, target: () => target, isAnnouncementOverdue: () => false, incarnation: () => 1, isVersionAllowed: () => true, rejectionRate: (called, priority) => balancer.rejectionRate(called, priority), onResult: () => {}
    })
    inboundHandler.onTargetChange()
    const budget = new RetryBudget({ ratio: 0.2, windowMs: 10_000, slack: 56 })
    const outbound = new OutboundHandler({
      timers, random, log, metrics: noMetrics, names, fleet, inbound: inboundHandler, loadBalancer: balancer, budget, sizes: new ResponseSizes(), versions: { choose: () => undefined }, callerService: () => service.name
    })
    this.#hosts.set(host, { record, fleet, inbound: inboundHandler, outbound, balancer })
  }

  #link (peer: string, dataCentre: string): PeerLink {
    const { timers } = this
    return {
      isUp: true,
      endpoint: { address: peer, port: 1 },
      call: (message, _bulky, reply) => {
        let isCancelled = false
        const { inbound, record } = this.#hosts.get(peer)!
        const isRemote = record.dataCentre !== dataCentre
        if (isRemote) this.#countRemoteBytes(message.route, message.body.length)
        timers.after(ONE_WAY_MS, () => {
          if (isCancelled) return
          inbound.offer(message, (hopReply) => {
            if (hopReply.kind === 'response') this.servedByLocation.all++
            if (hopReply.kind === 'response' && isRemote) {
              this.servedByLocation.remote++
              this.#countRemoteBytes(message.route, hopReply.body.length)
            }
            timers.after(ONE_WAY_MS, () => { if (!isCancelled) reply(hopReply) })
          })
        })
        return () => {
          isCancelled = true
          timers.after(ONE_WAY_MS, () => inbound.cancel(message.key))
        }
      },
      sync: async (message) => message,
      fetchConfig: async () => undefined,
      keepAlive: () => {},
      close: () => {}
    }
  }

  #config (): MeshConfig {
    const routes: MeshRoute[] = this.#workload.classes.map((cls) => ({
      name: cls.name, host: 'h', pathPrefix: `/${cls.name}/`, parts: [{ service: cls.service, weight: 1 }], idempotent: cls.idempotent, bulky: cls.bulky ?? false, timeoutMs: cls.timeoutMs, targetLatencyMs: cls.targetLatencyMs, priority: cls.priority, maxAttempts: 2
    }))
    return { version: 1, routes, services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  }

  /** Schedules the requests of a class as a Poisson process. */
  #schedule (cls: RequestClass): void {
    const perMs = cls.ratePerS * this.opts.rateAt(this.timers.now() / 1000) / 1000
    const delayMs = -Math.log(1 - this.#random.next()) / perMs
    if (this.timers.now() + delayMs > this.opts.seconds * 1000) return
    this.timers.after(delayMs, () => {
      this.#schedule(cls)
      const result = this.#results.get(cls.name)!
      result.requests++
      this.#attempt(this.#random.pick([...this.#hosts.keys()]), cls, this.timers.now(), cls.retries)
    })
  }

  /** One attempt of a caller, which retries as its class allows and waits for Retry-After, but no longer than a third of its time. */
  #attempt (host: string, cls: RequestClass, requestedAt: number, retries: number, rejections = 0): void {
    const { timers } = this
    const result = this.#results.get(cls.name)!
    const startedAt = timers.now()
    const remainingMs = requestedAt + cls.deadlineMs - startedAt
    let isDone = false
    const stopDeadline = timers.after(remainingMs, () => {
      if (isDone) return
      isDone = true
      result.failed++
      cancel()
    })
    const cancel = this.sendRequest(host, cls, undefined, (ok, retryAfterMs, isRejected) => {
      if (isDone) return
      isDone = true
      stopDeadline()
      const ms = timers.now() - requestedAt
      if (isRejected && timers.now() - startedAt > cls.targetLatencyMs / 4) result.lateRejections++
      if (ok) {
        if (ms <= cls.targetLatencyMs) result.onTime++
        else result.late++
        if (rejections === 1) result.servedAfterRejection++
        if (rejections === 1 && ms <= cls.targetLatencyMs) result.onTimeAfterRejection++
      } else if (retries > 0 && (isRejected || cls.idempotent)) {
        const waitMs = Math.min(retryAfterMs ?? 20, (requestedAt + cls.deadlineMs - timers.now()) / 3)
        timers.after(waitMs, () => this.#attempt(this.#random.pick([...this.#hosts.keys()]), cls, requestedAt, retries - 1, rejections + (isRejected ? 1 : 0)))
      } else if (isRejected) {
        result.rejected++
      } else {
        result.failed++
      }
    }, remainingMs)
  }
}

const noMetrics: CallMetrics = { request: () => {}, event: () => {}, state: () => {}, text: async () => '' }

function response (status: number, bytes = DEFAULT_RESPONSE_BYTES): TargetResult {
  return { kind: 'response', status, headers: [], body: Buffer.alloc(bytes), unframed: false, statement: { limitPerS: Infinity, isLeaving: false } }
}

function standardNormal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
