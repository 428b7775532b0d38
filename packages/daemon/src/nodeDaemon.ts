import type { ServerType } from '@hono/node-server'
import {
  EventLog, MemoryMetrics, NodeTimers, ProcessLogger, SeededRandom, StatsdMetrics, TeeMetrics, TokenBucket,
  type Logger, type Metrics
} from '@lentilwheel/core'
import { createMesh, type Mesh, type Readiness } from '@lentilwheel/mesh'
import { createMoveEngine, type MoveEngine } from '@lentilwheel/moves'
import { HttpPlatformClient } from '@lentilwheel/platform'
import { createTargetApp, httpProbe, ProxyServer, type TargetApp, type TargetEvent } from '@lentilwheel/proxy'
import { createAdminApp } from './admin/app.js'
import { DaemonSources } from './admin/sources.js'
import { MoveRunner } from './moves/moveRunner.js'
import { listenApp } from './nodeHttpSides.js'
import type { ResolvedConfig } from './settings/schema.js'

/** One daemon: connects the mesh, the proxy, the move engine and the HTTP sides. */
export class Daemon {
  readonly #cfg: ResolvedConfig
  readonly #timers: NodeTimers
  readonly #log: Logger
  readonly #counters = new MemoryMetrics()
  readonly #statsd: StatsdMetrics | undefined
  readonly #metrics: Metrics
  readonly #events: EventLog
  readonly #platform: HttpPlatformClient
  readonly #mesh: Mesh
  readonly #proxy: ProxyServer
  readonly #engine: MoveEngine
  readonly #targets: TargetApp
  readonly #runner: MoveRunner
  readonly #sources: DaemonSources
  readonly #servers: ServerType[] = []

  constructor (cfg: ResolvedConfig, seed: number) {
    const random = new SeededRandom(seed)
    this.#cfg = cfg
    this.#timers = new NodeTimers(random)
    this.#log = new ProcessLogger({ name: cfg.id, format: cfg.log, timers: this.#timers })
    this.#statsd = cfg.statsd && new StatsdMetrics({
      host: cfg.statsd.address,
      port: cfg.statsd.port,
      tags: { daemon: cfg.id, data_centre: cfg.dataCentre }
    })
    this.#metrics = this.#statsd ? new TeeMetrics(this.#counters, this.#statsd) : this.#counters
    this.#events = new EventLog({ daemon: cfg.id, timers: this.#timers })
    this.#platform = this.#createPlatform()
    this.#mesh = this.#createMesh(random)
    this.#engine = createMoveEngine({
      daemon: cfg.id, timers: this.#timers, isCoordinator: (move) => this.#mesh.isCoordinator(move)
    })
    this.#proxy = this.#createProxy(random)
    this.#targets = this.#createTargets()
    this.#runner = new MoveRunner({
      engine: this.#engine, mesh: this.#mesh, events: this.#events, timers: this.#timers
    })
    this.#sources = new DaemonSources({
      id: cfg.id,
      dataCentre: cfg.dataCentre,
      mesh: this.#mesh,
      engine: this.#engine,
      events: this.#events,
      counters: this.#counters,
      timers: this.#timers
    })
  }

  /** Opens all ports; the proxy refuses calls until the mesh is ready. */
  async start (): Promise<void> {
    const { address, proxyPort, adminAddress, adminPort, targetAddress, targetPort } = this.#cfg
    this.#events.record('daemonStarted')
    this.#listenToMesh()
    await this.#proxy.listen(proxyPort, address)
    const admin = await listenApp(createAdminApp(this.#sources), adminPort, adminAddress)
    const targets = await listenApp(this.#targets.app, targetPort, targetAddress)
    this.#servers.push(admin.server, targets.server)
    await this.#mesh.start()
  }

  /** Ends without cutting off a call: the targets leave first, then calls in flight end, then the mesh closes. */
  async stop (): Promise<void> {
    this.#events.record('daemonStopping')
    this.#targets.leaveAll()
    await this.#proxy.drain({ limitMs: this.#cfg.drainSeconds * 1000 })
    this.#runner.stop()
    this.#targets.stop()
    await this.#mesh.stop()
    for (const server of this.#servers) server.close()
    await this.#platform.close()
    this.#statsd?.close()
  }

  #createPlatform (): HttpPlatformClient {
    const { url, callsPerSecond, callBurst } = this.#cfg.platform
    const budget = new TokenBucket({ perSecond: callsPerSecond, burst: callBurst, now: this.#timers.now() })
    return new HttpPlatformClient({ url, timers: this.#timers, metrics: this.#metrics, budget })
  }

  #createMesh (random: SeededRandom): Mesh {
    const { id, address, meshPort, proxyPort, adminPort, dataCentre, region, seeds, meshKey } = this.#cfg
    return createMesh({
      identity: { id, address, ports: { mesh: meshPort, proxy: proxyPort, admin: adminPort }, dataCentre, region },
      seeds,
      meshKey,
      platform: this.#platform,
      timers: this.#timers,
      random,
      metrics: this.#metrics,
      log: this.#log,
      events: this.#events
    })
  }

  #createProxy (random: SeededRandom): ProxyServer {
    const onTarget = (type: 'targetEjected' | 'targetRestored') => (target: { id: string, service: string }) => {
      this.#events.record(type, { target: target.id, service: target.service })
    }
    return new ProxyServer({
      daemon: this.#cfg.id,
      dataCentre: this.#cfg.dataCentre,
      timers: this.#timers,
      random,
      metrics: this.#metrics,
      observer: this.#engine,
      shareOf: (service) => this.#engine.shareOf(service),
      onEjected: onTarget('targetEjected'),
      onRestored: onTarget('targetRestored')
    })
  }

  #createTargets (): TargetApp {
    return createTargetApp({
      daemon: { id: this.#cfg.id, dataCentre: this.#cfg.dataCentre },
      timers: this.#timers,
      probe: httpProbe,
      onEndpoints: (endpoints) => this.#mesh.setEndpoints(endpoints),
      onEvent: (event) => this.#recordTarget(event)
    })
  }

  #recordTarget ({ kind, endpoint, reason }: TargetEvent): void {
    const types = {
      announced: 'targetAnnounced', ready: 'targetReady', leaving: 'targetLeaving', gone: 'targetGone'
    } as const
    const { id: target, service, version: targetVersion } = endpoint
    this.#events.record(types[kind], { target, service, targetVersion, reason })
  }

  #listenToMesh (): void {
    this.#mesh.on({
      onSnapshot: () => this.#takeSnapshot(),
      onReadiness: (readiness) => this.#onReadiness(readiness),
      onEndpoints: (endpoints) => {
        this.#proxy.setEndpoints(endpoints)
        this.#engine.setEndpoints(endpoints)
        this.#proxy.setCallers(this.#mesh.members().length)
      },
      onFact: (fact) => this.#engine.onFact(fact),
      onEvidence: (report) => this.#engine.onEvidence(report)
    })
  }

  #onReadiness ({ ready, reason }: Readiness): void {
    if (ready) this.#events.record('daemonReady')
    this.#log.info(ready ? 'ready' : 'not ready', { reason })
    this.#takeSnapshot()
  }

  /** A daemon that isn't ready serves nothing: it may still hold less than it held before its restart. */
  #takeSnapshot (): void {
    if (!this.#mesh.readiness().ready) return
    const snapshot = this.#mesh.snapshot()
    this.#engine.setConfig(snapshot)
    this.#proxy.setSnapshot(snapshot)
    this.#sources.inForce(snapshot)
    this.#log.info('version in force', { version: snapshot.version })
  }
}
