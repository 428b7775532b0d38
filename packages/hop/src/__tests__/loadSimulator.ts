import { keyHash, SeededRandom, VirtualTimers, type Random } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, TEST_HEADERS as names, testQuarantine } from './fixtures.js'
import { Fleet } from '../fleet/fleet.js'
import type { PeerLink } from '../fleet/fleetTypes.js'
import type { HostRecord, TargetRecord } from '../fleet/hostRecord.js'
import { LinkForecast } from '../inbound/linkForecast.js'
import { InboundHandler } from '../inbound/inboundHandler.js'
import { NoopCallLog } from '../observe/callLog.js'
import type { CallMetrics, HedgeOutcome } from '../observe/callMetrics.js'
import { TrafficSummary } from '../observe/trafficSummary.js'
import { Hedging } from '../outbound/hedging.js'
import { OutboundHandler } from '../outbound/outboundHandler.js'
import { LoadBalancer } from '../outbound/loadBalancer.js'
import { ResponseSizes } from '../outbound/responseSizes.js'
import { RetryBudget } from '../outbound/retryBudget.js'
import type { Quarantine } from '../quarantine/quarantine.js'
import { UnlimitedQuota } from '../quota/quotaGate.js'
import type { QuarantineNews } from '../quarantine/quarantineNews.js'
import type { HopReply } from '../link/messages.js'
import { CONTROL_URGENCY, urgencyOf } from '../link/urgency.js'
import type { MeshConfig, MeshRoute, MeshWorkspace } from '../routing/meshConfig.js'
import { RouteTable } from '../routing/routeTable.js'
import { EpochTracker } from '../store/epochTracker.js'
import type { ClassResult, DaemonRestart, LoadOptions, StatedLimit } from './loadOptions.js'
import { SimCallers, type CallerRequest, type RequestDone } from './simCallers.js'
import { SimLinks } from './simLinks.js'
import { SimTarget, type ParentRun } from './simTarget.js'
import type { SimWorkspaces } from './simWorkspaces.js'
import type { RequestClass, Workload } from './workloads.js'

/** Time for which a target that crashed is gone. */
const DOWN_MS = 3_200
/** Simulated network latency between two daemons, one way. */
const ONE_WAY_MS = 1

interface SimHost {
  record: HostRecord
  client: SimTarget
  fleet: Fleet
  inbound: InboundHandler
  outbound: OutboundHandler
  balancer: LoadBalancer
  quarantine: Quarantine
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
  readonly #callers: SimCallers
  readonly #links: SimLinks
  /** Requests for each service, and those that arrived at its targets as retries. */
  readonly counts = new Map<string, { requests: number, retries: number }>()
  readonly #arrivedIds = new Set<string>()
  readonly #retryIds = new Set<string>()
  /** Number of responses that came through another daemon, and how many of them from another data centre. */
  readonly servedByLocation = { all: 0, remote: 0 }
  /** Bytes of request and response bodies sent between data centres, by class. */
  readonly remoteBytes = new Map<string, number>()
  /** Times in milliseconds at which each target received its requests. */
  readonly arrivals = new Map<string, number[]>()
  /** Limits that the targets of each host stated, one after the other, beginning with the first finite one. */
  readonly statedLimits = new Map<string, StatedLimit[]>()
  /** Times in milliseconds at which deadly requests began to run, and at which they crashed a target. */
  readonly deadlyArrivals: number[] = []
  readonly deadlyCrashes: number[] = []
  /** Refusals of requests that aren't deadly, by reason. */
  readonly refusals = new Map<string, number>()
  /** Offers that daemons rejected, by reason. */
  readonly rejectedOffers = new Map<string, number>()
  /** Age in milliseconds of what a daemon knew of a target when it offered it a request. */
  readonly loadAges: number[] = []
  readonly #lastReplyAt = new Map<string, number>()
  /** Second runs of slow requests, over all daemons. */
  readonly hedges = new Map<HedgeOutcome, number>()
  readonly #metrics: CallMetrics = { ...noMetrics, hedge: (outcome) => { this.hedges.set(outcome, (this.hedges.get(outcome) ?? 0) + 1) } }
  /** Hosts whose daemon is down. */
  readonly #down = new Set<string>()
  #ids = 0

  constructor (workload: Workload, opts: LoadOptions) {
    this.#workload = workload
    this.opts = opts
    this.#random = new SeededRandom(Math.imul(opts.seed, 0x9e3779b1))
    this.#links = new SimLinks(this.timers, ONE_WAY_MS, opts.linkBytesPerMs ?? (() => Infinity))
    this.#callers = new SimCallers({
      timers: this.timers,
      random: this.#random,
      load: opts,
      classes: workload.classes,
      dataCentres: workload.dataCentres,
      send: (req, deadlineMs, done) => this.sendRequest(this.#callerHost(req), req.cls, undefined, done, deadlineMs, req.path, req.workspace)
    })
    this.#build()
  }

  /** What the workspaces of the callers get; undefined if they have none. */
  get workspaces (): SimWorkspaces | undefined {
    return this.#callers.workspaces
  }

  /** Milliseconds until the responses of a class, the shortest first. */
  sortedLatencies (cls: string): number[] {
    return this.#callers.latencies.get(cls)!.toSorted((a, b) => a - b)
  }

  /** Class of a request, by its URL. */
  classOf (url: string): RequestClass {
    return this.classNamed(url.split('/')[1]!)
  }

  /** Service of the target of a host. */
  serviceOf (host: string): string {
    return this.#hosts.get(host)!.record.target!.service
  }

  classNamed (name: string): RequestClass {
    return this.#workload.classes.find((cls) => cls.name === name)!
  }

  /** Runs the workload, and returns the outcomes by class. */
  run (): Record<string, ClassResult> {
    this.#callers.start()
    for (const restart of this.opts.restarts ?? []) this.#scheduleRestart(restart)
    for (const { host, atS } of this.opts.kills ?? []) this.timers.after(atS * 1000, () => this.crash(host, false))
    this.timers.advance(this.opts.seconds * 1000 + 5_000)
    return this.#callers.results()
  }

  /** A host that is up, in the data centre of the caller; a deadly request always has the same caller, so it comes from hosts of the first service. */
  #callerHost ({ cls, path, dataCentre }: CallerRequest): string {
    const isDeadly = this.opts.isDeadly?.(`/${cls.name}/${path}`)
    const hosts = this.#upHosts().filter((host) => {
      const { record } = this.#hosts.get(host)!
      if (dataCentre !== undefined && record.dataCentre !== dataCentre) return false
      return !isDeadly || record.target!.service === this.#workload.services[0]!.name
    })
    return this.#random.pick(hosts)
  }

  /** Sends one request through the daemon of a host; `done` is told whether it succeeded. */
  sendRequest (host: string, cls: RequestClass, parent: ParentRun | undefined, done: RequestDone, deadlineMs = cls.deadlineMs, path = 'x', workspace?: number): () => void {
    const url = `/${cls.name}/${path}`
    const id = parent ? `${parent.id}.${++this.#ids}` : `r${++this.#ids}`
    const counts = this.#countsOf(cls.service)
    counts.requests++
    if (parent?.isRetry) this.#retryIds.add(id)
    return this.#hosts.get(host)!.outbound.handle({
      method: cls.idempotent ? 'GET' : 'POST',
      url,
      head: { requestId: id, host: 'h', path: url, headers: workspace === undefined || !this.opts.workspaces?.isKnown ? [] : ['Authorization', `Bearer ${keyOf(workspace)}`], deadlineMs },
      body: new Uint8Array(cls.requestBytes ?? 0),
      origin: this.#hosts.get(host)!.inbound.originOf(id)
    }, {
      respond: (reply, urgency) => {
        // A target reaches the daemon beside it without the link.
        if (parent) return done(reply.status === 200)
        this.#links.send(host, reply.body.length, urgency, () => done(reply.status === 200))
      },
      reject: (status, reason, retryAfterMs) => {
        if (!this.opts.isDeadly?.(url)) this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1)
        done(false, retryAfterMs, status === 503)
      }
    })
  }

  /** Crashes the target of a host. */
  crash (host: string, isByRequest: boolean): void {
    const hasCrashed = this.#hosts.get(host)!.client.crash(DOWN_MS)
    if (isByRequest && hasCrashed) this.deadlyCrashes.push(this.timers.now())
  }

  /** Called when the target of a host has started again. */
  onTargetStart (host: string): void {
    const simHost = this.#hosts.get(host)!
    const { record } = simHost
    simHost.record = { ...record, sequence: record.sequence + 1, target: { ...record.target!, startedAt: this.timers.now() } }
    simHost.inbound.onTargetChange()
    this.#spreadRecords()
  }

  /** Counts an arrival at a target; true if the run is a retry, or a nested call of one. */
  onArrival (host: string, service: string, id: string): boolean {
    const times = this.arrivals.get(host)
    if (times) times.push(this.timers.now())
    else this.arrivals.set(host, [this.timers.now()])
    const isRepeated = this.#arrivedIds.has(id)
    this.#arrivedIds.add(id)
    if (isRepeated || this.#retryIds.has(id)) this.#countsOf(service).retries++
    return isRepeated || this.#retryIds.has(id)
  }

  /** Records the limit that a target states in a response. */
  onStatement (host: string, perS: number): void {
    const stated = this.statedLimits.get(host)
    if (stated ? stated.at(-1)!.perS === perS : perS === Infinity) return
    const limit = { at: this.timers.now(), perS }
    if (stated) stated.push(limit)
    else this.statedLimits.set(host, [limit])
  }

  #countRejectedOffer (reason: string): void {
    this.rejectedOffers.set(reason, (this.rejectedOffers.get(reason) ?? 0) + 1)
  }

  /** Records how old the sender's knowledge of the target is. */
  #recordAge (from: string, peer: string): void {
    const lastAt = this.#lastReplyAt.get(`${from} ${peer}`)
    if (lastAt !== undefined) this.loadAges.push(this.timers.now() - lastAt)
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
    for (const { outbound } of this.#hosts.values()) outbound.setTable(new RouteTable(config))
    this.#spreadRecords()
  }

  /** Tells every daemon the records of all others. */
  #spreadRecords (): void {
    const records = [...this.#hosts.values()].map(({ record }) => record)
    for (const { fleet, balancer } of this.#hosts.values()) {
      fleet.merge(records)
      balancer.setHosts(records)
    }
  }

  #scheduleRestart ({ host, stoppingAtS, downAtS, upAtS }: DaemonRestart): void {
    const { timers } = this
    timers.after(stoppingAtS * 1000, () => {
      const stopped = this.#hosts.get(host)!
      stopped.record = { ...stopped.record, stopping: true, sequence: stopped.record.sequence + 1 }
      this.#spreadRecords()
    })
    timers.after(downAtS * 1000, () => this.#down.add(host))
    timers.after(upAtS * 1000, () => {
      const { record, client } = this.#hosts.get(host)!
      this.#down.delete(host)
      this.#addDaemon({ ...record, stopping: false, incarnation: record.incarnation + 1, sequence: 1 }, client)
      this.#hosts.get(host)!.outbound.setTable(new RouteTable(this.#config()))
      this.#spreadRecords()
      const peer = this.#upHosts().find((other) => other !== host)!
      timers.after(2 * ONE_WAY_MS, () => this.#hosts.get(host)!.quarantine.merge(this.#hosts.get(peer)!.quarantine.all()))
    })
  }

  #upHosts (): string[] {
    return [...this.#hosts.keys()].filter((host) => !this.#down.has(host))
  }

  #addHost (host: string, dataCentre: string, service: Workload['services'][number], speed: number): void {
    const target: TargetRecord = { id: `t-${host}`, startedAt: 1_000, service: service.name, version: 'v1', slots: service.slots, state: 'ready', coldMs: 0 }
    const record: HostRecord = { host, dataCentre, address: host, port: 1, incarnation: 1, sequence: 1, stopping: false, target }
    const random = new SeededRandom(Math.imul(this.#random.int(1e9), 0x9e3779b1))
    this.#addDaemon(record, new SimTarget(this, host, service.name, service.slots, speed, random), random)
  }

  /** Starts a daemon on the host of the record, which knows nothing of what an earlier one knew. */
  #addDaemon (record: HostRecord, client: SimTarget, random = new SeededRandom(Math.imul(this.#random.int(1e9), 0x9e3779b1))): void {
    const { timers } = this
    const { host, dataCentre, incarnation } = record
    const target = (): TargetRecord => this.#hosts.get(host)?.record.target ?? record.target!
    const log = new NoopCallLog()
    const quarantine = testQuarantine(timers, { idPrefix: () => `${host}/${incarnation}`, onNews: (news, isOwn) => { if (isOwn) this.#tellOthers(host, news) } })
    const fleet = new Fleet({
      own: record, quarantine, timers, random, log, openLink: (peer) => this.#link(host, peer, dataCentre), ...NO_FLEET_EVENTS, epochs: new EpochTracker(new NoopCallLog())
    })
    const sizes = new ResponseSizes()
    const link = new LinkForecast(this.#links.queue(host), sizes)
    const balancer = new LoadBalancer({ timers, random, dataCentre, host, link })
    const inboundHandler = new InboundHandler({
      timers, random, log, names, client, target, isAnnouncementOverdue: () => false, incarnation: () => incarnation, isVersionAllowed: () => true, link, coldPerS: () => undefined, onTargetLeaving: () => {}, onRefusal: (_route, reason) => this.#countRejectedOffer(reason), onTargetCrash: () => {}, quarantine, rejectionRate: (called, priority) => balancer.rejectionRate(called, priority), onResult: () => {}
    })
    inboundHandler.onTargetChange()
    const budget = new RetryBudget({ ratio: 0.2, windowMs: 10_000, slack: 56 })
    const outbound = new OutboundHandler({
      timers, random, log, metrics: this.#metrics, names, fleet, inbound: inboundHandler, loadBalancer: balancer, budget, hedging: new Hedging(budget, this.opts.hedging), sizes, traffic: new TrafficSummary(noMetrics), versions: { choose: () => undefined }, quarantine, quota: new UnlimitedQuota(), callerService: () => record.target!.service
    })
    this.#hosts.set(host, { record, client, fleet, inbound: inboundHandler, outbound, balancer, quarantine })
  }

  #tellOthers (from: string, news: QuarantineNews): void {
    for (const [host, { quarantine }] of this.#hosts) {
      if (host !== from && !this.#down.has(host)) this.timers.after(ONE_WAY_MS, () => quarantine.merge(news))
    }
  }

  #link (from: string, peer: string, dataCentre: string): PeerLink {
    const isDown = (): boolean => this.#down.has(peer)
    return {
      get isUp () { return !isDown() },
      isRefused: false,
      endpoint: { address: peer, port: 1 },
      call: (message, _bulky, reply, onAnswered) => {
        this.#recordAge(from, peer)
        let isCancelled = false
        let dropReply = (): void => {}
        const { inbound, record } = this.#hosts.get(peer)!
        const isRemote = record.dataCentre !== dataCentre
        if (isRemote) this.#countRemoteBytes(message.route, message.body.length)
        const urgency = urgencyOf(message)
        this.#links.send(from, message.body.length, urgency, () => {
          if (isCancelled) return
          if (isDown()) return reply({ kind: 'notRun', reason: 'unsent' })
          inbound.offer(message, (hopReply) => {
            if (hopReply.kind === 'response') this.servedByLocation.all++
            if (hopReply.kind === 'response' && isRemote) {
              this.servedByLocation.remote++
              this.#countRemoteBytes(message.route, hopReply.body.length)
            }
            if (hopReply.kind === 'response') this.#links.send(peer, 0, CONTROL_URGENCY, () => { if (!isCancelled) onAnswered() })
            dropReply = this.#links.send(peer, bodyBytes(hopReply), urgency, () => {
              this.#lastReplyAt.set(`${from} ${peer}`, this.timers.now())
              if (!isCancelled) reply(hopReply)
            })
          })
        })
        return () => {
          isCancelled = true
          this.#links.send(from, 0, CONTROL_URGENCY, () => {
            dropReply()
            inbound.cancel(message.key)
          })
        }
      },
      sync: async (message) => message,
      fetchConfig: async () => undefined,
      askQuota: () => {},
      askReach: () => {},
      keepAlive: () => {},
      reopen: () => {},
      check: () => {},
      close: () => {}
    }
  }

  /** The workspaces by which daemons tell callers apart, without quotas; none if they can't. */
  get #knownWorkspaces (): MeshWorkspace[] {
    const { workspaces } = this.opts
    if (!workspaces?.isKnown) return []
    return Array.from({ length: workspaces.count }, (_, i) => ({ name: `w${i}`, keyHashes: [keyHash(keyOf(i))], ratePerS: 0, burst: 0 }))
  }

  #config (): MeshConfig {
    const routes: MeshRoute[] = this.#workload.classes.map((cls) => ({
      name: cls.name, host: 'h', pathPrefix: `/${cls.name}/`, parts: [{ service: cls.service, weight: 1 }], idempotent: cls.idempotent, bulky: cls.bulky ?? false, timeoutMs: cls.timeoutMs, targetLatencyMs: cls.targetLatencyMs, priority: cls.priority, maxAttempts: 2, allowsAnonymous: false
    }))
    return { version: 1, routes, services: new Map(), workspaces: new Map(this.#knownWorkspaces.map((workspace) => [workspace.name, workspace])), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  }
}

function bodyBytes (reply: HopReply): number {
  return reply.kind === 'response' ? reply.body.length : 0
}

const noMetrics: CallMetrics = { request: () => {}, wait: () => {}, refusal: () => {}, rejection: () => {}, hedge: () => {}, event: () => {}, state: () => {}, text: async () => '' }

function keyOf (workspace: number): string {
  return `key${workspace}`
}
