import type { ServerType } from '@hono/node-server'
import { Hono } from 'hono'
import { EventLog, MemoryMetrics, NodeTimers, ProcessLogger, SeededRandom, type Endpoint } from '@lentilwheel/core'
import { EMPTY_SNAPSHOT, type Snapshot } from '@lentilwheel/config'
import { decodeHead, HEAD_KEY, HttpPlatformClient, loadSnapshot } from '@lentilwheel/platform'
import { ProxyServer } from '@lentilwheel/proxy'
import { createAdminApp, type AdminSources, type DaemonStatus } from './admin/app.js'
import { listenApp } from './nodeHttpSides.js'
import type { ResolvedConfig } from './settings/schema.js'
import { announcementSchema, toEndpoint } from './targets.js'

const WATCH_RETRY_MS = 500

/** One daemon: takes versions into force, serves calls and takes announcements of targets. */
export class Daemon {
  readonly #cfg: ResolvedConfig
  readonly #random
  readonly #timers
  readonly #log
  readonly #events
  readonly #metrics = new MemoryMetrics()
  readonly #platform
  readonly #proxy
  readonly #stop = new AbortController()
  readonly #endpoints = new Map<string, Endpoint>()
  readonly #servers: ServerType[] = []
  #snapshot: Snapshot = EMPTY_SNAPSHOT
  #since = 0

  constructor (cfg: ResolvedConfig, seed: number) {
    this.#cfg = cfg
    this.#random = new SeededRandom(seed)
    this.#timers = new NodeTimers(this.#random)
    this.#log = new ProcessLogger({ name: cfg.id, format: cfg.log, timers: this.#timers })
    this.#events = new EventLog({ daemon: cfg.id, timers: this.#timers })
    this.#platform = new HttpPlatformClient({ url: cfg.platform.url, timers: this.#timers, metrics: this.#metrics })
    this.#proxy = new ProxyServer({
      daemon: cfg.id,
      dataCentre: cfg.dataCentre,
      timers: this.#timers,
      random: this.#random,
      metrics: this.#metrics
    })
  }

  async start (): Promise<void> {
    this.#events.record('daemonStarted')
    await this.#proxy.listen(this.#cfg.proxyPort, this.#cfg.address)
    const targets = await listenApp(this.#targetApp(), this.#cfg.targetPort, this.#cfg.targetAddress)
    const admin = await listenApp(createAdminApp(this.#adminSources()), this.#cfg.adminPort, this.#cfg.adminAddress)
    this.#servers.push(targets.server, admin.server)
    this.#watchHead().catch((err: unknown) => this.#log.error('watch of the head ended', { err }))
  }

  async stop (): Promise<void> {
    this.#events.record('daemonStopping')
    this.#stop.abort()
    await this.#proxy.drain()
    for (const server of this.#servers) server.close()
    await this.#platform.close()
  }

  async #watchHead (): Promise<void> {
    let revision = 0
    while (!this.#stop.signal.aborted) {
      try {
        const stored = await this.#platform.watch(HEAD_KEY, revision, this.#stop.signal)
        if (!stored) continue
        revision = stored.revision
        const head = decodeHead(stored.value)
        if (head.version <= this.#snapshot.version) continue
        this.#takeIntoForce(await loadSnapshot(this.#platform, head, this.#snapshot.objects))
      } catch (err) {
        this.#log.warn('head could not be read', { err: String(err) })
        await new Promise<void>((resolve) => this.#timers.after(WATCH_RETRY_MS, resolve))
      }
    }
  }

  #takeIntoForce (snapshot: Snapshot): void {
    this.#snapshot = snapshot
    this.#since = this.#timers.wallNow()
    this.#proxy.setSnapshot(snapshot)
    this.#events.record('versionInForce', { version: snapshot.version, rootHash: snapshot.rootHash }, snapshot.changeId)
    this.#log.info('version in force', { version: snapshot.version })
  }

  #targetApp (): Hono {
    const app = new Hono()
    app.post('/targets', async (ctx) => {
      const parsed = announcementSchema.safeParse(await ctx.req.json())
      if (!parsed.success) return ctx.json({ error: parsed.error.issues.map((issue) => issue.message) }, 400)
      const endpoint = toEndpoint(this.#cfg, parsed.data)
      this.#endpoints.set(endpoint.id, endpoint)
      this.#publishEndpoints()
      this.#events.record('targetAnnounced', { target: endpoint.id, service: endpoint.service })
      return ctx.json({ id: endpoint.id }, 201)
    })
    app.delete('/targets/:daemon/:name', (ctx) => {
      this.#endpoints.delete(`${ctx.req.param('daemon')}/${ctx.req.param('name')}`)
      this.#publishEndpoints()
      return ctx.body(null, 204)
    })
    return app
  }

  #publishEndpoints (): void {
    this.#proxy.setEndpoints([...this.#endpoints.values()].map((endpoint) => ({ ...endpoint, reachable: true })))
  }

  #status (): DaemonStatus {
    const { version, rootHash } = this.#snapshot
    const ready = version > 0
    return {
      daemon: this.#cfg.id,
      dataCentre: this.#cfg.dataCentre,
      version,
      rootHash,
      since: this.#since,
      ready,
      reason: ready ? '' : 'no version is held yet',
      relay: true,
      members: 1,
      targets: this.#endpoints.size
    }
  }

  #adminSources (): AdminSources {
    return {
      status: () => this.#status(),
      fleetStatus: async () => ({ accounts: [], moves: [] }),
      events: (since) => this.#events.since(since),
      fleetEvents: async () => ({ events: this.#events.since(0), silent: [] }),
      counters: () => Object.fromEntries(this.#metrics.counters),
      takeBack: () => false
    }
  }
}
