import { errorCode } from '@lentilwheel/core'
import type { EvacuationRecord } from '../evacuation/evacuationRecord.js'
import { Evacuations } from '../evacuation/evacuations.js'
import { EvacuationWatcher } from '../evacuation/evacuationWatcher.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import { createMemoryBudget, DEFAULT_MEMORY_BYTES } from '../buffers/memoryBudget.js'
import { Fleet } from '../fleet/fleet.js'
import { departuresNotIn, type Departure, type HostRecord, type TargetRecord } from '../fleet/hostRecord.js'
import { InboundHandler } from '../inbound/inboundHandler.js'
import { isAnnouncement, LocalTarget, type Announcement } from '../inbound/localTarget.js'
import { LinkForecast } from '../inbound/linkForecast.js'
import { NodeTargetClient } from '../inbound/nodeTargetClient.js'
import { createResponseLimits } from '../inbound/responseLimits.js'
import { NodeHopServer } from '../link/nodeHopServer.js'
import { SendQueue } from '../link/sendQueue.js'
import { OpenSockets } from '../link/nodeOpenSockets.js'
import { NodePeerLink } from '../link/nodePeerLink.js'
import { TrafficSummary } from '../observe/trafficSummary.js'
import { NodeMetricsServer } from '../observe/nodeMetricsServer.js'
import { resolveCallerLimits } from '../outbound/callerLimits.js'
import { NodeOutboundServer } from '../outbound/nodeOutboundServer.js'
import { OutboundHandler } from '../outbound/outboundHandler.js'
import type { OutboundOptions } from '../outbound/outboundTypes.js'
import { RouteExplainer } from '../outbound/routeExplainer.js'
import { LoadBalancer } from '../outbound/loadBalancer.js'
import { ResponseSizes } from '../outbound/responseSizes.js'
import { Hedging } from '../outbound/hedging.js'
import { RetryBudget } from '../outbound/retryBudget.js'
import { MoveController } from '../rollout/moveController.js'
import { BlockStore } from '../quarantine/blockStore.js'
import { NewsSpreader } from '../quarantine/newsSpreader.js'
import { Quarantine } from '../quarantine/quarantine.js'
import { DaemonQuota } from '../quota/daemonQuota.js'
import type { RouteTable } from '../routing/routeTable.js'
import { closeConnections } from './connectionClose.js'
import { ConfigUpdater } from './configUpdater.js'
import { DaemonRegistration } from './daemonRegistration.js'
import { PeerDiscovery } from './peerDiscovery.js'
import { START_SETTINGS, type ResolvedHopConfig } from './resolvedHopConfig.js'
import { LoopLag } from './nodeLoopLag.js'
import type { HopDaemonOptions, ReceiptOutcome } from './hopDaemonTypes.js'
import { GracefulShutdown } from './gracefulShutdown.js'
import { ResourceReport } from './resourceReport.js'

const TARGET_CHECK_INTERVAL_MS = 250
/** Time for the last responses to be sent before the servers are closed. */
const LAST_RESPONSES_MS = 50
/** Part of the budget for memory that replies of ended calls may take in addition to it. */
const MAX_RETAINED_SHARE = 0.25
/** Time after which a daemon without any peer reports that it is ready nevertheless. */
const ALONE_READY_MS = 3_000

/**
 * One daemon, put together from its parts: the outbound side takes callers' requests and offers them to the daemons beside
 * targets, the inbound side admits offered requests to the target beside this daemon, and the fleet, the configuration
 * updater and the move controller keep what both sides need to know.
 */
export class HopDaemon {
  readonly #opts: HopDaemonOptions
  readonly #fleet: Fleet
  readonly #quarantine: Quarantine
  readonly #blockStore: BlockStore
  readonly #localTarget: LocalTarget
  readonly #inbound: InboundHandler
  readonly #outbound: OutboundHandler
  readonly #loadBalancer: LoadBalancer
  readonly #retryBudget: RetryBudget
  readonly #hedging: Hedging
  readonly #traffic: TrafficSummary
  readonly #sendQueue: SendQueue
  readonly #budget: BufferBudget
  readonly #outboundServer: NodeOutboundServer
  readonly #hopServer: NodeHopServer
  /** Connections to and from other daemons. */
  readonly #peerSockets = new OpenSockets()
  readonly #metricsServer: NodeMetricsServer
  readonly #configUpdater: ConfigUpdater
  readonly #registration: DaemonRegistration
  readonly #discovery: PeerDiscovery
  readonly #moves: MoveController
  readonly #evacuations: Evacuations
  readonly #evacuationWatcher: EvacuationWatcher
  readonly #quota: DaemonQuota
  #cfg: ResolvedHopConfig
  #startedAt = 0
  /** The target as last announced to peers, to notice changes; empty for none. */
  #announcedKey = ''
  /** Set once the daemon has been told to stop. */
  #shutdown: GracefulShutdown | undefined
  #wasReady = false
  /** Departures that wait for the store, with the messages of the target that tell them. */
  #unconfirmed = 0

  constructor (opts: HopDaemonOptions) {
    const { cfg, timers, random, log, metrics, names, store, codec } = opts
    const queue = this.#sendQueue = new SendQueue({ timers, bytesPerMs: cfg.linkBytesPerMs })
    const budget = this.#budget = createMemoryBudget(cfg.memoryBytes ?? DEFAULT_MEMORY_BYTES, () => timers.now())
    this.#opts = opts
    this.#cfg = cfg
    this.#localTarget = new LocalTarget(cfg.announceMs)
    const sizes = new ResponseSizes()
    const link = new LinkForecast(queue, sizes)
    const evacuations = this.#evacuations = new Evacuations({ timers, epochs: store.epochs, log, onChange: (changed, from) => this.#onEvacuationChange(changed, from) })
    this.#loadBalancer = new LoadBalancer({ timers, random, dataCentre: cfg.dataCentre, host: cfg.host, link, evacuations })
    this.#retryBudget = new RetryBudget(cfg.retryBudget)
    this.#hedging = new Hedging(this.#retryBudget, cfg.hedging)
    this.#traffic = new TrafficSummary(metrics)
    const newsSpreader = new NewsSpreader({ timers, send: (news, peers) => this.#fleet.sendQuarantineNews(news, peers) })
    this.#quarantine = new Quarantine({
      timers,
      log,
      idPrefix: () => `${cfg.host}/${this.#fleet.own.incarnation}`,
      onNews: (news, isOwn) => newsSpreader.spread(news, isOwn),
      onRefused: (fingerprint) => this.#inbound.cancelRefused(fingerprint),
      onBlocked: (block, isOwn) => {
        if (isOwn || this.#fleet.rank() === 0) this.#blockStore.save(block)
      },
      onUnblocked: (block) => this.#blockStore.save(block)
    })
    this.#blockStore = new BlockStore({ store, quarantine: this.#quarantine, timers, random, log, isLeader: () => this.#fleet.rank() === 0 })
    this.#fleet = new Fleet({
      own: this.#ownRecord(),
      timers,
      random,
      log,
      openLink: (host, address, port) => new NodePeerLink({
        host, address, port, timers, log, queue, budget, openSockets: this.#peerSockets, idlePingMs: () => this.#fleet.idlePingMs, onStateChange: (peer, incarnation) => this.#fleet.onLinkState(peer, incarnation), onSilent: () => this.#fleet.onSilentLink()
      }),
      onChange: () => this.#onFleetChange(),
      onNewerPeerVersion: () => this.#configUpdater.catchUp(),
      onWatchersChange: () => this.#configUpdater.checkTurn(),
      onDepartures: (departures) => this.#onDepartures(departures),
      onFact: (fact) => this.#moves.onFact(fact),
      orders: () => this.#moves.orders(),
      onOrder: (order, from) => this.#moves.onOrder(order, from),
      onReport: (report) => this.#moves.onReport(report),
      trustedVersions: () => this.#moves.trustedVersions(),
      onTrustedVersions: (versions) => this.#moves.onTrustedVersions(versions),
      epochs: store.epochs,
      evacuations,
      quarantine: this.#quarantine
    })
    this.#evacuationWatcher = new EvacuationWatcher({ isEnabled: cfg.hasEvacuations ?? false, evacuations, fleet: this.#fleet, store, codec, timers, random, log })
    this.#quota = new DaemonQuota({ host: cfg.host, timers, random, log, fleet: this.#fleet, slack: cfg.quotaSlack })
    this.#moves = new MoveController({ fleet: this.#fleet, store, codec, evacuations, timers, random, log })
    const client = new NodeTargetClient({
      host: cfg.target.address,
      port: cfg.target.port,
      names,
      timers,
      onUnsolicitedData: (why) => {
        metrics.event('strayBytes')
        log.call(false, 'strayBytes', { why })
      },
      limits: createResponseLimits(undefined, budget),
      onLimitExceeded: (exceeded) => {
        metrics.event('boundPassed')
        const { requestId: id, ...rest } = exceeded
        log.call(false, 'boundPassed', { id, from: 'target', ...rest })
      },
      onConnect: () => metrics.event('targetConnection')
    })
    this.#inbound = new InboundHandler({
      timers,
      random,
      log,
      names,
      client,
      target: () => this.#target(),
      isAnnouncementOverdue: () => this.#localTarget.isAnnouncementOverdue(timers.now()),
      incarnation: () => this.#fleet.own.incarnation,
      isVersionAllowed: (service, version) => this.#moves.isVersionAllowed(service, version),
      rejectionRate: (service, priority) => this.#loadBalancer.rejectionRate(service, priority),
      coldPerS: (service) => this.#outbound.table?.config.services.get(service)?.coldPerS,
      isEvacuated: () => evacuations.isEvacuated(cfg.dataCentre),
      isPresumedCold: () => this.#localTarget.isPresumedCold,
      link,
      maxRetainedBytes: budget.limitBytes * MAX_RETAINED_SHARE,
      quarantine: this.#quarantine,
      onTargetLeaving: (departure) => this.#onTargetLeaving(departure),
      onRefusal: (route, reason) => this.#traffic.recordRefusal(route, reason),
      onTargetCrash: () => metrics.event('targetCrash'),
      onResult: (target, result) => this.#moves.onResult(target, result)
    })
    const outboundOptions: OutboundOptions = {
      timers, random, log, metrics, names, fleet: this.#fleet, inbound: this.#inbound, loadBalancer: this.#loadBalancer, budget: this.#retryBudget, hedging: this.#hedging, sizes, traffic: this.#traffic, versions: this.#moves, quarantine: this.#quarantine, quota: this.#quota.gate, callerService: () => this.#cfg.service
    }
    this.#outbound = new OutboundHandler(outboundOptions)
    const lag = new LoopLag(timers)
    this.#outboundServer = new NodeOutboundServer({
      ...cfg.outbound, timers, lag, queue, budget, callerLimits: resolveCallerLimits(cfg.callerLimits, cfg.memoryBytes, cfg.maxDescriptors), handler: this.#outbound, log, metrics, names, originOf: (id) => this.#inbound.originOf(id)
    })
    this.#configUpdater = new ConfigUpdater({
      fleet: this.#fleet,
      store,
      codec,
      timers,
      random,
      log,
      // Without routes no request is sent, so a daemon that starts sends none before it knows which data centres are evacuated, and which versions services run.
      onConfig: (table) => this.#evacuationWatcher.whenLoaded(() => this.#moves.whenLoaded(() => this.#setTable(table)))
    })
    this.#registration = new DaemonRegistration({
      fleet: this.#fleet,
      store,
      timers,
      random,
      log,
      departures: () => this.#localTarget.departures(),
      onEarlierDepartures: (departures) => this.#onDepartures(departures),
      onLoaded: () => this.#checkTarget()
    })
    this.#discovery = new PeerDiscovery({ fleet: this.#fleet, store, timers, random, log, seeds: cfg.seeds })
    this.#hopServer = new NodeHopServer({
      ...cfg.hop, identity: () => this.#fleet.own, lag, queue, budget, openSockets: this.#peerSockets, timers, handler: this.#inbound, log, onSync: (message) => this.#fleet.onSync(message), onQuota: (message, reply) => this.#quota.gate.onQuestions(message, reply), isUp: (host) => this.#fleet.isUp(host), deltaSince: (heldVersion) => this.#configUpdater.deltaSince(heldVersion)
    })
    const explainer = new RouteExplainer({
      outbound: outboundOptions, table: () => this.#outbound.table, versionOptions: (service) => this.#moves.options(service)
    })
    this.#metricsServer = new NodeMetricsServer({ ...cfg.metrics, metrics, explainer })
  }

  /** Opens the servers and starts the periodic work. */
  async start (): Promise<void> {
    const { timers, log, metrics, store } = this.#opts
    this.#startedAt = timers.now()
    log.decision('started', { incarnation: this.#fleet.own.incarnation, dataCentre: this.#cfg.dataCentre, service: this.#cfg.service })
    await Promise.all([this.#hopServer.listen(), this.#outboundServer.listen(), this.#metricsServer.listen()])
    this.#configUpdater.start()
    this.#registration.start()
    this.#discovery.start()
    this.#blockStore.start()
    this.#moves.start()
    this.#evacuationWatcher.start()
    timers.every(TARGET_CHECK_INTERVAL_MS, () => this.#checkTarget())
    new ResourceReport({ timers, log, metrics, store, fleet: this.#fleet, inbound: this.#inbound, hopServer: this.#hopServer, outboundServer: this.#outboundServer, budget: this.#budget, queue: this.#sendQueue, quarantine: this.#quarantine, evacuations: this.#evacuations, traffic: this.#traffic, quota: this.#quota.gate }).start()
  }

  /** Handles an announcement of the target beside this daemon. */
  async announce (announcement: Announcement): Promise<ReceiptOutcome> {
    if (!isAnnouncement(announcement, this.#opts.timers.wallNow())) {
      this.#opts.log.decision('badRecord', { from: 'target' })
      return 'invalid'
    }
    const { id, sequence, startedAt, state } = announcement
    const outcome = this.#localTarget.announce(announcement, this.#opts.timers.now())
    if (outcome === 'stale') this.#opts.log.decision('staleAnnouncement', { target: id, sequence, startedAt })
    this.#checkTarget()
    const isLeaving = state === 'draining' && this.#localTarget.hasDeparted(id, startedAt)
    return isLeaving ? await this.#confirm({ id, startedAt, state }) : 'confirmed'
  }

  /** Handles the message by which the target beside this daemon says that it leaves. */
  async leave (id: string): Promise<ReceiptOutcome> {
    this.#opts.log.decision('targetLeft', { target: id })
    const departure = this.#localTarget.leave(id, this.#opts.timers.wallNow())
    this.#fleet.setDepartures(this.#localTarget.departures())
    this.#checkTarget()
    return await this.#confirm(departure)
  }

  /** Whether callers may use the daemon: it has a configuration and the blocked requests, isn't stopping, and has found a peer or waited for one. */
  get isReady (): boolean {
    if (!this.#outbound.table || !this.#blockStore.isLoaded || this.#shutdown) return false
    const isAlone = this.#fleet.live().length < 2
    const isReady = !isAlone || this.#opts.timers.now() - this.#startedAt > ALONE_READY_MS
    if (isReady !== this.#wasReady) this.#opts.log.decision('readiness', { isReady, peers: this.#fleet.live().length - 1 })
    this.#wasReady = isReady
    return isReady
  }

  /** Applies changed settings, and logs the names of those that differ and only count from the next start. */
  reload (cfg: ResolvedHopConfig): void {
    const { service, retryBudget, hedging, graceMs, announceMs, linkBytesPerMs } = cfg
    const needRestart = START_SETTINGS.filter((name) => JSON.stringify(cfg[name]) !== JSON.stringify(this.#cfg[name]))
    this.#cfg = { ...this.#cfg, service, retryBudget, graceMs, announceMs, linkBytesPerMs }
    this.#retryBudget.setLimits(retryBudget)
    this.#hedging.setLimits(hedging)
    this.#localTarget.setPeriod(announceMs)
    this.#sendQueue.setBytesPerMs(linkBytesPerMs)
    this.#opts.log.decision('reloaded', { service, graceMs, announceMs, maxHedgeShare: hedging?.maxShare, ...needRestart.length > 0 ? { needRestart } : {} })
  }

  /** Lets requests in flight complete, within the grace period, then closes everything. */
  async stop (): Promise<void> {
    if (this.#shutdown) {
      await this.#shutdown.done
      return
    }
    const { timers, log } = this.#opts
    log.decision('stopping', { graceMs: this.#cfg.graceMs, outbound: this.#outbound.active, inbound: this.#inbound.active })
    this.#shutdown = new GracefulShutdown({
      timers,
      graceMs: this.#cfg.graceMs,
      server: this.#outboundServer,
      tellPeers: () => this.#fleet.setStopping(),
      inFlight: () => this.#outboundServer.inFlight + this.#inbound.active + this.#sendQueue.waiting + this.#unconfirmed
    })
    this.#discovery.stop()
    if (!this.#localTarget.record(timers.now())) this.#registration.deregister()
    const how = await this.#shutdown.done
    if (how === 'graceOver') {
      this.#outbound.abortAll()
      await new Promise<void>((resolve) => { timers.after(LAST_RESPONSES_MS, resolve) })
    }
    log.decision('stopped', { how, outbound: this.#outbound.active, inbound: this.#inbound.active })
    this.#configUpdater.stop()
    this.#moves.stop()
    this.#evacuationWatcher.stop()
    this.#blockStore.stop()
    this.#inbound.startRefusing()
    const closePeers = (): void => {
      this.#hopServer.close()
      this.#fleet.close()
    }
    await closeConnections({ timers, log, exitAt: this.#shutdown.exitAt, callers: this.#outboundServer, peers: this.#peerSockets, closePeers })
  }

  #ownRecord (): HostRecord {
    const { host, dataCentre, hop } = this.#cfg
    const incarnation = Math.floor(this.#opts.timers.wallNow())
    return { host, dataCentre, ...hop, incarnation, sequence: 0, stopping: false }
  }

  /** The target beside this daemon; undefined as long as an announcement of it may be older than a departure that isn't known yet. */
  #target (): TargetRecord | undefined {
    return this.#registration.isLoaded ? this.#localTarget.record(this.#opts.timers.now()) : undefined
  }

  /** Confirms a departure once it can't be forgotten any more. The target gets no new requests in either case. */
  async #confirm (departure: Departure): Promise<ReceiptOutcome> {
    this.#unconfirmed++
    const isKept = await this.#registration.keep(departure).finally(() => { this.#unconfirmed-- })
    if (isKept) return 'confirmed'
    this.#opts.log.decision('departureNotConfirmed', { target: departure.id, startedAt: departure.startedAt, state: departure.state })
    return 'unconfirmed'
  }

  /** Announces the target beside this daemon to peers if anything that they use has changed. */
  #checkTarget (): void {
    const record = this.#target()
    const key = record ? [record.id, record.startedAt, record.service, record.version, record.slots, record.state].join() : ''
    if (key === this.#announcedKey) return
    this.#opts.log.decision('target', { ...record, before: this.#announcedKey })
    this.#announcedKey = key
    this.#inbound.onTargetChange()
    this.#fleet.setDepartures(this.#localTarget.departures())
    this.#fleet.setTarget(record)
  }

  /** Takes no more requests for a target that says in a response that it leaves. */
  #onTargetLeaving (departure: Departure): void {
    if (this.#localTarget.record(this.#opts.timers.now())?.state !== 'ready') return
    this.#opts.log.decision('targetLeaving', { target: departure.id, startedAt: departure.startedAt })
    this.#localTarget.addDepartures([departure])
    this.#registration.update()
    this.#checkTarget()
  }

  /** Restores departures that this daemon lost in a restart, from what its peers remember. */
  #onDepartures (departures: readonly Departure[]): void {
    const forgotten = departuresNotIn(this.#localTarget.departures(), departures)
    if (forgotten.length === 0) return
    this.#opts.log.decision('leavingsRecalled', { targets: forgotten.map(({ id }) => id) })
    this.#localTarget.addDepartures(forgotten)
    this.#registration.update()
    this.#fleet.setDepartures(this.#localTarget.departures())
    this.#checkTarget()
  }

  /** Applies changed orders to evacuate data centres, and tells peers of them. */
  #onEvacuationChange (changed: readonly EvacuationRecord[], from: string): void {
    const own = changed.find(({ dataCentre }) => dataCentre === this.#cfg.dataCentre)
    if (own?.isOrdered) this.#inbound.onEvacuation()
    else if (own) this.#localTarget.presumeCold()
    this.#onFleetChange()
    this.#fleet.sendEvacuations(from === 'store')
  }

  #setTable (table: RouteTable): void {
    const { config } = table
    this.#outbound.setTable(table)
    this.#outboundServer.setLimits(config.limits)
    this.#quota.setWorkspaces(config.workspaces)
    this.#opts.metrics.state('configVersion', config.version)
  }

  /** Passes changed records to the parts that use them; a failure there is logged, not thrown. */
  #onFleetChange (): void {
    try {
      const records = this.#fleet.records()
      this.#loadBalancer.setHosts(records)
      this.#moves.setHosts(records)
      this.#quota.onFleetChange()
      this.#configUpdater.catchUp()
    } catch (err) {
      this.#opts.log.decision('fleetChangeFailed', { code: errorCode(err), reason: (err as Error).stack })
    }
  }
}
