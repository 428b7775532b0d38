import { Hono, type Context } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { runEffects, type Endpoint, type Timers } from '@lentilwheel/core'
import { announcementSchema, parseLoad, renewalSchema } from './announcement.js'
import { LEASE_MS, LEAVE_MS, RENEW_MS, TargetRegistry, type TargetEvent } from './targetRegistry.js'

const POLL_MS = 1_000
const MAX_BODY_BYTES = 16 * 1024

/** Reads a hint endpoint of a target; rejects when there is no answer. */
export type Probe = (endpoint: Endpoint, path: string) => Promise<{ status: number, body: string }>

export interface TargetAppOptions {
  daemon: { id: string, dataCentre: string }
  timers: Timers
  probe: Probe
  /** Called with all targets beside this daemon whenever one of them changes. */
  onEndpoints (endpoints: Endpoint[]): void
  onEvent? (event: TargetEvent): void
}

/** The interface at which targets announce themselves; served on the daemon's loopback target side. */
export interface TargetApp {
  readonly app: Hono
  endpoints (): Endpoint[]
  /** Lets all targets leave, as when the daemon stops. */
  leaveAll (): void
  stop (): void
}

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
  const run = <R>(decision: Generator<TargetEvent, R>): R => {
    const result = runEffects(decision, (event) => opts.onEvent?.(event))
    publish()
    return result
  }
  const now = (): number => opts.timers.now()
  const poller = new HintPoller(registry, { probe: opts.probe, run, publish, now })
  const cancels = [
    opts.timers.every(POLL_MS, () => run(registry.tick(now()))),
    opts.timers.every(POLL_MS, () => poller.poll(), { jitter: 0.1 })
  ]
  return {
    app: buildApp(registry, run, now),
    endpoints: () => registry.endpoints(),
    leaveAll: () => run(registry.leaveAll(now())),
    stop: () => { for (const cancel of cancels) cancel() }
  }
}

type Run = <R>(decision: Generator<TargetEvent, R>) => R

function buildApp (registry: TargetRegistry, run: Run, now: () => number): Hono {
  const app = new Hono()
  const idOf = (ctx: Context): string => `${ctx.req.param('daemon')}/${ctx.req.param('name')}`
  const unknown = (ctx: Context): Response => ctx.json({ error: 'not known here; announce it with POST /targets' }, 404)
  app.use(bodyLimit({
    maxSize: MAX_BODY_BYTES,
    onError: (ctx) => ctx.json({ error: `the body is larger than ${MAX_BODY_BYTES} bytes` }, 413, { connection: 'close' })
  }))
  app.get('/targets', (ctx) => ctx.json(registry.endpoints()))
  app.post('/targets', async (ctx) => {
    const parsed = announcementSchema.safeParse(await readJson(ctx))
    if (!parsed.success) return ctx.json({ error: describe(parsed.error.issues) }, 400)
    const id = run(registry.announce(parsed.data, now()))
    return ctx.json({ id, renewEveryMs: RENEW_MS, leaseMs: LEASE_MS }, 201)
  })
  app.put('/targets/:daemon/:name', async (ctx) => {
    const parsed = renewalSchema.safeParse(await readJson(ctx) ?? {})
    if (!parsed.success) return ctx.json({ error: describe(parsed.error.issues) }, 400)
    return run(registry.renew(idOf(ctx), parsed.data, now())) ? ctx.json({ leaseMs: LEASE_MS }) : unknown(ctx)
  })
  app.delete('/targets/:daemon/:name', (ctx) => {
    return run(registry.leave(idOf(ctx), now())) ? ctx.json({ serveForMs: LEAVE_MS }) : unknown(ctx)
  })
  return app
}

/** The JSON body of a request; undefined when it is empty or broken. */
async function readJson (ctx: Context): Promise<unknown> {
  const text = await ctx.req.text()
  try {
    return text === '' ? undefined : JSON.parse(text)
  } catch {
    return undefined
  }
}

function describe (issues: readonly { path: PropertyKey[], message: string }[]): string[] {
  return issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
}

/** Polls health and load endpoints; a target that still owes an answer isn't asked again. */
class HintPoller {
  readonly #registry: TargetRegistry
  readonly #probe: Probe
  readonly #run: Run
  readonly #publish: () => void
  readonly #now: () => number
  readonly #asking = new Set<string>()

  constructor (
    registry: TargetRegistry, opts: { probe: Probe, run: Run, publish: () => void, now: () => number }
  ) {
    this.#registry = registry
    this.#probe = opts.probe
    this.#run = opts.run
    this.#publish = opts.publish
    this.#now = opts.now
  }

  poll (): void {
    const endpoints = new Map(this.#registry.endpoints().map((endpoint) => [endpoint.id, endpoint]))
    for (const { id, announced } of this.#registry.announcements()) {
      const endpoint = endpoints.get(id)!
      if (endpoint.state === 'gone') continue
      if (announced.healthPath !== undefined) this.#ask(`${id} health`, this.#checkHealth(endpoint, announced.healthPath))
      if (announced.loadPath !== undefined) this.#ask(`${id} load`, this.#readLoad(endpoint, announced.loadPath))
    }
  }

  #ask (key: string, question: () => Promise<void>): void {
    if (this.#asking.has(key)) return
    this.#asking.add(key)
    question().catch(() => {}).finally(() => this.#asking.delete(key))
  }

  #checkHealth (endpoint: Endpoint, path: string): () => Promise<void> {
    return async () => {
      const status = await this.#probe(endpoint, path).then((answer) => answer.status, () => 0)
      this.#run(this.#registry.checked(endpoint.id, status >= 200 && status < 300))
    }
  }

  #readLoad (endpoint: Endpoint, path: string): () => Promise<void> {
    return async () => {
      const answer = await this.#probe(endpoint, path)
      const load = answer.status === 200 ? parseLoad(answer.body) : undefined
      if (load === undefined) return
      this.#registry.loadReported(endpoint.id, load, this.#now())
      this.#publish()
    }
  }
}
