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
import { DaemonAdminBackend } from './admin/daemonAdminBackend.js'
import { MoveRunner } from './moves/moveRunner.js'
import { listenApp } from './nodeListenApp.js'
import type { ResolvedConfig } from './settings/schema.js'

/** The daemon `lentilwheeld`: connects the mesh, the proxy, the move engine, the admin API and the API for targets. */
export class Daemon {
  readonly #cfg: ResolvedConfig
  readonly #timers: NodeTimers
  readonly #log: Logger
  readonly #counters = new MemoryMetrics()
  readonly #statsd: StatsdMetrics | undefined
  readonly #metrics: Metrics
  readonly #events: EventLog
  readonly #platformClient: HttpPlatformClient
  readonly #mesh: Mesh
  readonly #proxy: ProxyServer
  readonly #moveEngine: MoveEngine
  readonly #targetApp: TargetApp
  readonly #moveRunner: MoveRunner
  readonly #adminBackend: DaemonAdminBackend
  readonly #httpServers: ServerType[] = []

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
    this.#platformClient = this.#createPlatformClient()
    this.#mesh = this.#createMesh(random)
    this.#moveEngine = createMoveEngine({
      daemon: cfg.id, timers: this.#timers, isCoordinator: (move) => this.#mesh.isCoordinator(move)
    })
    this.#proxy = this.#createProxy(random)
    this.#targetApp = this.#createTargetApp()
    this.#moveRunner = new MoveRunner({
      engine: this.#moveEngine, mesh: this.#mesh, events: this.#events, timers: this.#timers
    })
    this.#adminBackend = new DaemonAdminBackend({
      id: cfg.id,
      dataCentre: cfg.dataCentre,
      mesh: this.#mesh,
      engine: this.#moveEngine,
      events: this.#events,
      counters: this.#counters,
      timers: this.#timers
    })
  }

  /** Opens all ports. The proxy rejects calls until the mesh is ready. */
  async start (): Promise<void> {
    const { address, proxyPort, adminAddress, adminPort, targetAddress, targetPort } = this.#cfg
    this.#events.record('daemonStarted')
    this.#subscribeToMesh()
    await this.#proxy.listen(proxyPort, address)
    const admin = await listenApp(createAdminApp(this.#adminBackend), adminPort, adminAddress)
    const targets = await listenApp(this.#targetApp.app, targetPort, targetAddress)
    this.#httpServers.push(admin.server, targets.server)
    await this.#mesh.start()
  }

  /**
   * Stops without aborting calls: announces that the targets leave, waits for calls in flight up to `drainSeconds`,
   * then closes the mesh and the servers.
   */
  async stop (): Promise<void> {
    this.#events.record('daemonStopping')
    this.#targetApp.leaveAll()
    await this.#proxy.drain({ timeoutMs: this.#cfg.drainSeconds * 1000 })
    this.#moveRunner.stop()
    this.#targetApp.stop()
    await this.#mesh.stop()
    for (const server of this.#httpServers) server.close()
    await this.#platformClient.close()
    this.#statsd?.close()
  }

  #createPlatformClient (): HttpPlatformClient {
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
      platform: this.#platformClient,
      timers: this.#timers,
      random,
      metrics: this.#metrics,
      log: this.#log,
      events: this.#events
    })
  }

  #createProxy (random: SeededRandom): ProxyServer {
    const eventRecorder = (type: 'targetEjected' | 'targetRestored') => (target: { id: string, service: string }) => {
      this.#events.record(type, { target: target.id, service: target.service })
    }
    return new ProxyServer({
      daemon: this.#cfg.id,
      dataCentre: this.#cfg.dataCentre,
      timers: this.#timers,
      random,
      metrics: this.#metrics,
      observer: this.#moveEngine,
      shareOf: (service) => this.#moveEngine.shareOf(service),
      onEjected: eventRecorder('targetEjected'),
      onRestored: eventRecorder('targetRestored')
    })
  }

  #createTargetApp (): TargetApp {
    return createTargetApp({
      daemon: { id: this.#cfg.id, dataCentre: this.#cfg.dataCentre },
      timers: this.#timers,
      probe: httpProbe,
      onEndpoints: (endpoints) => this.#mesh.setEndpoints(endpoints),
      onEvent: (event) => this.#recordTargetEvent(event)
    })
  }

  #recordTargetEvent ({ kind, endpoint, reason }: TargetEvent): void {
    const eventTypes = {
      announced: 'targetAnnounced', ready: 'targetReady', leaving: 'targetLeaving', gone: 'targetGone'
    } as const
    const { id: target, service, version: targetVersion } = endpoint
    this.#events.record(eventTypes[kind], { target, service, targetVersion, reason })
  }

  #subscribeToMesh (): void {
    this.#mesh.on({
      onSnapshot: () => this.#applySnapshot(),
      onReadiness: (readiness) => this.#onReadiness(readiness),
      onEndpoints: (endpoints) => {
        this.#proxy.setEndpoints(endpoints)
        this.#moveEngine.setEndpoints(endpoints)
        this.#proxy.setDaemonCount(this.#mesh.members().length)
      },
      onFact: (fact) => this.#moveEngine.onFact(fact),
      onEvidence: (report) => this.#moveEngine.onEvidence(report)
    })
  }

  #onReadiness ({ ready, reason }: Readiness): void {
    if (ready) this.#events.record('daemonReady')
    this.#log.info(ready ? 'ready' : 'not ready', { reason })
    this.#applySnapshot()
  }

  /** Applies the mesh's configuration once ready; until then it may be older than the one before the daemon's restart. */
  #applySnapshot (): void {
    if (!this.#mesh.readiness().ready) return
    const snapshot = this.#mesh.snapshot()
    this.#moveEngine.setConfig(snapshot)
    this.#proxy.setSnapshot(snapshot)
    this.#adminBackend.setActiveSnapshot(snapshot)
    this.#log.info('configuration version applied', { version: snapshot.version })
  }
}
