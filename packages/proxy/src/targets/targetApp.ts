import { Hono, type Context } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { runEffects, type Endpoint, type Timers } from '@lentilwheel/core'
import { announcementSchema, parseLoad, renewalSchema } from './announcement.js'
import { LEASE_MS, DRAIN_MS, RENEWAL_PERIOD_MS, TargetRegistry, type TargetEvent } from './targetRegistry.js'

const POLL_PERIOD_MS = 1_000
const MAX_BODY_BYTES = 16 * 1024

/** Requests a health or load endpoint of a target; rejects when there is no response. */
export type Probe = (endpoint: Endpoint, path: string) => Promise<{ status: number, body: string }>

export interface TargetAppOptions {
  daemon: { id: string, dataCentre: string }
  timers: Timers
  probe: Probe
  /** Called with all targets registered at this daemon whenever one of them changes. */
  onEndpoints (endpoints: Endpoint[]): void
  onEvent? (event: TargetEvent): void
}

/** HTTP API at which targets announce themselves; the daemon serves it on its loopback address for targets. */
export interface TargetApp {
  readonly app: Hono
  endpoints (): Endpoint[]
  /** Starts draining all targets, as when the daemon stops. */
  leaveAll (): void
  stop (): void
}

/** Creates the API with its registry and starts the timers that expire leases and poll health and load endpoints. */
export function createTargetApp (opts: TargetAppOptions): TargetApp {
  const registry = new TargetRegistry(opts.daemon)
  let published = ''
  const publish = (): void => {
    const endpoints = registry.endpoints()
    const text = JSON.stringify(endpoints)
    if (text === published) return
    published = text
    opts.onEndpoints(endpoints)
  }
  const run = <R>(transition: Generator<TargetEvent, R>): R => {
    const result = runEffects(transition, (event) => opts.onEvent?.(event))
    publish()
    return result
  }
  const now = (): number => opts.timers.now()
  const poller = new ProbePoller(registry, { probe: opts.probe, run, publish, now })
  const cancels = [
    opts.timers.every(POLL_PERIOD_MS, () => run(registry.tick(now()))),
    opts.timers.every(POLL_PERIOD_MS, () => poller.poll(), { jitter: 0.1 })
  ]
  return {
    app: buildApp(registry, run, now),
    endpoints: () => registry.endpoints(),
    leaveAll: () => run(registry.leaveAll(now())),
    stop: () => { for (const cancel of cancels) cancel() }
  }
}

/** Runs a transition of the registry, reports its events and publishes the endpoints if they changed. */
type RunTransition = <R>(transition: Generator<TargetEvent, R>) => R

function buildApp (registry: TargetRegistry, run: RunTransition, now: () => number): Hono {
  const app = new Hono()
  const targetId = (ctx: Context): string => `${ctx.req.param('daemon')}/${ctx.req.param('name')}`
  const notFound = (ctx: Context): Response => ctx.json({ error: 'not known here; announce it with POST /targets' }, 404)
  app.use(bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError: (ctx) => ctx.json({ error: `the body is larger than ${MAX_BODY_BYTES} bytes` }, 413, { connection: 'close' })
  }))
  app.get('/targets', (ctx) => ctx.json(registry.endpoints()))
  app.post('/targets', async (ctx) => {
    const parsed = announcementSchema.safeParse(await readJsonBody(ctx))
    if (!parsed.success) return ctx.json({ error: describeIssues(parsed.error.issues) }, 400)
    const id = run(registry.announce(parsed.data, now()))
    return ctx.json({ id, renewEveryMs: RENEWAL_PERIOD_MS, leaseMs: LEASE_MS }, 201)
  })
  app.put('/targets/:daemon/:name', async (ctx) => {
    const parsed = renewalSchema.safeParse(await readJsonBody(ctx) ?? {})
    if (!parsed.success) return ctx.json({ error: describeIssues(parsed.error.issues) }, 400)
    return run(registry.renew(targetId(ctx), parsed.data, now())) ? ctx.json({ leaseMs: LEASE_MS }) : notFound(ctx)
  })
  app.delete('/targets/:daemon/:name', (ctx) => {
    return run(registry.leave(targetId(ctx), now())) ? ctx.json({ serveForMs: DRAIN_MS }) : notFound(ctx)
  })
  return app
}

/** The JSON body of a request; undefined when it is empty or not valid JSON. */
async function readJsonBody (ctx: Context): Promise<unknown> {
  const text = await ctx.req.text()
  try {
    return text === '' ? undefined : JSON.parse(text)
  } catch {
    return undefined
  }
}

function describeIssues (issues: readonly { path: PropertyKey[], message: string }[]): string[] {
  return issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
}

/** Polls the health and load endpoints of the targets; an endpoint that hasn't responded yet isn't requested again. */
class ProbePoller {
  readonly #registry: TargetRegistry
  readonly #probe: Probe
  readonly #run: RunTransition
  readonly #publish: () => void
  readonly #now: () => number
  readonly #pending = new Set<string>()

  constructor (
    registry: TargetRegistry, opts: { probe: Probe, run: RunTransition, publish: () => void, now: () => number }
  ) {
    this.#registry = registry
    this.#probe = opts.probe
    this.#run = opts.run
    this.#publish = opts.publish
    this.#now = opts.now
  }

  poll (): void {
    const endpoints = new Map(this.#registry.endpoints().map((endpoint) => [endpoint.id, endpoint]))
    for (const { id, announcement } of this.#registry.announcements()) {
      const endpoint = endpoints.get(id)!
      if (endpoint.state === 'gone') continue
      if (announcement.healthPath !== undefined) this.#runOnce(`${id} health`, this.#healthProbe(endpoint, announcement.healthPath))
      if (announcement.loadPath !== undefined) this.#runOnce(`${id} load`, this.#loadProbe(endpoint, announcement.loadPath))
    }
  }

  /** Runs a probe unless the one before under the same key is still running; errors of the probe are ignored. */
  #runOnce (key: string, probe: () => Promise<void>): void {
    if (this.#pending.has(key)) return
    this.#pending.add(key)
    probe().catch(() => {}).finally(() => this.#pending.delete(key))
  }

  #healthProbe (endpoint: Endpoint, path: string): () => Promise<void> {
    return async () => {
      const status = await this.#probe(endpoint, path).then((res) => res.status, () => 0)
      this.#run(this.#registry.recordHealthCheck(endpoint.id, status >= 200 && status < 300))
    }
  }

  #loadProbe (endpoint: Endpoint, path: string): () => Promise<void> {
    return async () => {
      const res = await this.#probe(endpoint, path)
      const load = res.status === 200 ? parseLoad(res.body) : undefined
      if (load === undefined) return
      this.#registry.recordLoad(endpoint.id, load, this.#now())
      this.#publish()
    }
  }
}
