import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { Fleet } from '../fleet/fleet.js'
import { leavingsNotIn, type HostRecord, type Leaving } from '../fleet/records.js'
import { InboundDesk } from '../inbound/inboundDesk.js'
import { LocalTarget, type Announcement } from '../inbound/localTarget.js'
import { NodeTargetClient } from '../inbound/nodeTargetClient.js'
import { responseBounds } from '../inbound/responseBounds.js'
import type { HeaderNames } from '../inbound/targetResult.js'
import { NodeHopServer } from '../link/nodeHopServer.js'
import { NodePeerLink } from '../link/nodePeerLink.js'
import type { CallLog } from '../observe/callLog.js'
import type { CallMetrics } from '../observe/callMetrics.js'
import { NodeMetricsServer } from '../observe/nodeMetricsServer.js'
import { NodeOutboundServer } from '../outbound/nodeOutboundServer.js'
import { OutboundDesk } from '../outbound/outboundDesk.js'
import { Placer } from '../outbound/placer.js'
import { ResponseSizes } from '../outbound/responseSizes.js'
import { RetryBudget } from '../outbound/retryBudget.js'
import { Moves } from '../rollout/moves.js'
import type { ObjectStore } from '../store/objectStore.js'
import type { StoreCodec } from './codec.js'
import { ConfigKeeper } from './configKeeper.js'
import { Directory } from './directory.js'
import type { ResolvedHopConfig } from './settings.js'
import { Stopper } from './stopper.js'

export interface HopDaemonOptions {
  cfg: ResolvedHopConfig
  timers: Timers
  random: Random
  log: CallLog
  metrics: CallMetrics
  names: HeaderNames
  store: ObjectStore
  codec: StoreCodec
}

const TARGET_CHECK_MS = 250
/** Time in which the last answers go out before the process ends. */
const LAST_ANSWERS_MS = 50
/** Bound on a target's answer before a configuration is known. */
const NO_CONFIG_BODY_BYTES = 1024 * 1024
/** Time after which a daemon that found no peer says that it is ready all the same. */
const ALONE_READY_MS = 3_000

/** One daemon: callers on one side, the target beside it on the other, peers in between. */
export class HopDaemon {
  readonly #opts: HopDaemonOptions
  readonly #fleet: Fleet
  readonly #local: LocalTarget
  readonly #inbound: InboundDesk
  readonly #outbound: OutboundDesk
  readonly #placer: Placer
  readonly #budget: RetryBudget
  readonly #outboundServer: NodeOutboundServer
  readonly #hopServer: NodeHopServer
  readonly #metricsServer: NodeMetricsServer
  readonly #config: ConfigKeeper
  readonly #directory: Directory
  readonly #moves: Moves
  #cfg: ResolvedHopConfig
  #startedAt = 0
  #targetKey = ''
  #stopper: Stopper | undefined
  #wasReady = false

  constructor (opts: HopDaemonOptions) {
    const { cfg, timers, random, log, metrics, names, store, codec } = opts
    this.#opts = opts
    this.#cfg = cfg
    this.#local = new LocalTarget(cfg.announceMs)
    this.#placer = new Placer({ timers, random, dataCentre: cfg.dataCentre, host: cfg.host })
    this.#budget = new RetryBudget(cfg.retryBudget)
    this.#fleet = new Fleet({
      own: this.#ownRecord(),
      timers,
      random,
      log,
      openLink: (host, address, port) => new NodePeerLink({ host, address, port, timers, log, idleProbeMs: () => this.#fleet.idleProbeMs, onState: (peer, up) => this.#fleet.onLinkState(peer, up) }),
      onChange: () => this.#onFleetChange(),
      onPeerVersion: () => this.#config.chase(),
      onLeavings: (leavings) => this.#onLeavings(leavings),
      onFact: (fact) => this.#moves.onFact(fact),
      orders: () => this.#moves.orders(),
      onOrder: (order, from) => this.#moves.onOrder(order, from),
      onReport: (report) => this.#moves.onReport(report)
    })
    this.#moves = new Moves({ fleet: this.#fleet, store, codec, timers, random, log })
    const client = new NodeTargetClient({
      host: cfg.target.address,
      port: cfg.target.port,
      names,
      timers,
      onStray: (why) => {
        metrics.event('strayBytes')
        log.call(false, 'strayBytes', { why })
      },
      bounds: responseBounds(() => this.#outbound.table?.config.limits.maxBodyBytes ?? NO_CONFIG_BODY_BYTES),
      onBoundPassed: (passed) => {
        metrics.event('boundPassed')
        const { requestId: id, ...rest } = passed
        log.call(false, 'boundPassed', { id, from: 'target', ...rest })
      },
      onConnect: () => metrics.event('targetConnection')
    })
    this.#inbound = new InboundDesk({
      timers,
      random,
      log,
      names,
      client,
      target: () => this.#local.record(timers.now()),
      isOverdue: () => this.#local.isOverdue(timers.now()),
      incarnation: () => this.#fleet.own.incarnation,
      isVersionOpen: (service, version) => this.#moves.isOpen(service, version),
      pressure: (service, priority) => this.#placer.pressure(service, priority),
      onResult: (target, result) => this.#moves.onResult(target, result)
    })
    this.#outbound = new OutboundDesk({
      timers, random, log, metrics, names, fleet: this.#fleet, desk: this.#inbound, placer: this.#placer, budget: this.#budget, sizes: new ResponseSizes(), versions: this.#moves, callerService: () => this.#cfg.service
    })
    this.#outboundServer = new NodeOutboundServer({
      ...cfg.outbound, desk: this.#outbound, log, metrics, names, originOf: (id) => this.#inbound.originOf(id)
    })
    this.#config = new ConfigKeeper({
      fleet: this.#fleet,
      store,
      codec,
      timers,
      random,
      log,
      onConfig: (table) => {
        this.#outbound.setTable(table)
        this.#outboundServer.setLimits(table.config.limits)
        metrics.state('configVersion', table.config.version)
      }
    })
    this.#directory = new Directory({ fleet: this.#fleet, store, timers, random, log, seeds: cfg.seeds })
    this.#hopServer = new NodeHopServer({
      ...cfg.hop, timers, desk: this.#inbound, log, onSync: (message) => this.#fleet.onSync(message), onConfigAsked: (have) => this.#config.changesSince(have)
    })
    this.#metricsServer = new NodeMetricsServer(cfg.metrics, metrics)
  }

  async start (): Promise<void> {
    const { timers, log, metrics } = this.#opts
    this.#startedAt = timers.now()
    log.decision('started', { incarnation: this.#fleet.own.incarnation, dataCentre: this.#cfg.dataCentre, service: this.#cfg.service })
    await Promise.all([this.#hopServer.listen(), this.#outboundServer.listen(), this.#metricsServer.listen()])
    this.#config.start()
    this.#directory.start()
    this.#moves.start()
    timers.every(TARGET_CHECK_MS, () => this.#checkTarget())
    timers.every(1_000, () => {
      metrics.state('peersUp', this.#fleet.live().length - 1)
      metrics.state('running', this.#inbound.active)
    })
  }

  /** The target beside this daemon says how it is. */
  announce (announcement: Announcement): void {
    const outcome = this.#local.announce(announcement, this.#opts.timers.now())
    if (outcome === 'stale') {
      const { id, sequence, startedAt } = announcement
      this.#opts.log.decision('staleAnnouncement', { target: id, sequence, startedAt })
    }
    this.#checkTarget()
  }

  /** The target beside this daemon says that it goes. */
  leave (id: string): void {
    this.#opts.log.decision('targetLeft', { target: id })
    this.#local.leave(id, this.#opts.timers.wallNow())
    this.#fleet.setLeavings(this.#local.leavings())
    this.#checkTarget()
  }

  get isReady (): boolean {
    if (!this.#outbound.table || this.#stopper) return false
    const isAlone = this.#fleet.live().length < 2
    const isReady = !isAlone || this.#opts.timers.now() - this.#startedAt > ALONE_READY_MS
    if (isReady !== this.#wasReady) this.#opts.log.decision('readiness', { isReady, peers: this.#fleet.live().length - 1 })
    this.#wasReady = isReady
    return isReady
  }

  /** Settings were read again; addresses stay as they were at the start. */
  reload (cfg: ResolvedHopConfig): void {
    const { service, retryBudget } = cfg
    this.#cfg = { ...this.#cfg, service, retryBudget }
    this.#budget.setBounds(retryBudget)
    this.#opts.log.decision('reloaded', { service })
  }

  /** Lets what is under way end, then closes. */
  async stop (): Promise<void> {
    if (this.#stopper) {
      await this.#stopper.done
      return
    }
    const { timers, log } = this.#opts
    log.decision('stopping', { outbound: this.#outbound.active, inbound: this.#inbound.active })
    this.#stopper = new Stopper({
      timers,
      graceMs: this.#cfg.graceMs,
      server: this.#outboundServer,
      active: () => this.#outboundServer.open + this.#inbound.active
    })
    this.#fleet.setStopping()
    if (!this.#local.record(timers.now())) this.#directory.withdraw()
    const how = await this.#stopper.done
    if (how === 'graceOver') {
      this.#outbound.giveUpAll()
      await new Promise<void>((resolve) => { timers.after(LAST_ANSWERS_MS, resolve) })
    }
    log.decision('stopped', { how, outbound: this.#outbound.active, inbound: this.#inbound.active })
    this.#config.stop()
    this.#moves.stop()
    this.#hopServer.close()
    this.#outboundServer.close()
    this.#fleet.close()
  }

  #ownRecord (): HostRecord {
    const { host, dataCentre, hop } = this.#cfg
    const incarnation = Math.floor(this.#opts.timers.wallNow())
    return { host, dataCentre, ...hop, incarnation, sequence: 0, stopping: false }
  }

  /** Tells peers when the target beside this daemon has changed for them. */
  #checkTarget (): void {
    const record = this.#local.record(this.#opts.timers.now())
    const key = record ? [record.id, record.service, record.version, record.slots, record.state].join() : ''
    if (key === this.#targetKey) return
    this.#opts.log.decision('target', { ...record, before: this.#targetKey })
    this.#targetKey = key
    this.#inbound.targetChanged()
    this.#fleet.setLeavings(this.#local.leavings())
    this.#fleet.setTarget(record)
  }

  /** What left before a restart of this daemon is known to its peers. */
  #onLeavings (leavings: readonly Leaving[]): void {
    const forgotten = leavingsNotIn(this.#local.leavings(), leavings)
    if (forgotten.length === 0) return
    this.#opts.log.decision('leavingsRecalled', { targets: forgotten.map(({ id }) => id) })
    this.#local.recall(forgotten)
    this.#fleet.setLeavings(this.#local.leavings())
    this.#checkTarget()
  }

  #onFleetChange (): void {
    try {
      const records = this.#fleet.records()
      this.#placer.setHosts(records)
      this.#moves.setHosts(records)
      this.#config.chase()
    } catch (err) {
      this.#opts.log.decision('fleetChangeFailed', { code: errorCode(err), reason: (err as Error).stack })
    }
  }
}
