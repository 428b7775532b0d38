import { Hono, type Context } from 'hono'
import type { MoveOutcome, TimelineEvent } from '@lentilwheel/core'

/** Version of the JSON that the admin side answers; the command line refuses another one. */
export const ADMIN_PROTOCOL = 1

/** What this daemon holds, in the operator's terms. */
export interface DaemonStatus {
  daemon: string
  dataCentre: string
  version: number
  rootHash: string
  /** Unix milliseconds since when the version is in force here. */
  since?: number
  ready: boolean
  reason: string
  /** Whether this daemon reads the platform for its data centre. */
  relay: boolean
  members: number
  targets: TargetCount[]
}

/** Targets of one version in one data centre as this daemon sees them. */
export interface TargetCount {
  service: string
  version: string
  dataCentre: string
  ready: number
  total: number
}

export interface TakeBackAnswer {
  move: string
  published: boolean
  /** Set when the move had ended before the request. */
  outcome?: MoveOutcome
  /** Why nothing was published. */
  reason?: string
}

export interface FleetStatus {
  accounts: unknown[]
  moves: unknown[]
}

export interface FleetEvents {
  events: TimelineEvent[]
  /** Daemons that did not answer. */
  silent: string[]
}

/** What the admin side shows; handed in by the daemon. */
export interface AdminSources {
  status (): DaemonStatus
  fleetStatus (): Promise<FleetStatus>
  events (since: number): TimelineEvent[]
  fleetEvents (): Promise<FleetEvents>
  counters (): Record<string, number>
  /** Publishes a rollback fact, unless the move is not known or has ended. */
  takeBack (move: string, reason: string): TakeBackAnswer
  /** State of the proxy for debugging; its shape may change with any release. */
  debug (): Record<string, unknown>
}

/** Operators' side of a daemon: health, readiness, status, events and counters. */
export function createAdminApp (sources: AdminSources): Hono {
  const app = new Hono()
  app.use(async (ctx, next) => {
    if (hasBody(ctx)) return ctx.text('this side takes no request body\n', 413, { connection: 'close' })
    await next()
  })
  app.get('/healthz', (ctx) => ctx.text('ok\n'))
  app.get('/readyz', (ctx) => {
    const { ready, reason } = sources.status()
    return ready ? ctx.text('ready\n') : ctx.text(`${reason}\n`, 503)
  })
  app.get('/status', async (ctx) => {
    if (ctx.req.query('scope') === 'fleet') {
      return ctx.json({ protocol: ADMIN_PROTOCOL, ...await sources.fleetStatus() })
    }
    const debug = ctx.req.query('debug') === '1' ? { debug: sources.debug() } : {}
    return ctx.json({ protocol: ADMIN_PROTOCOL, ...sources.status(), ...debug })
  })
  app.get('/events', async (ctx) => {
    if (ctx.req.query('scope') === 'fleet') {
      return ctx.json({ protocol: ADMIN_PROTOCOL, ...await sources.fleetEvents() })
    }
    const since = Number(ctx.req.query('since') ?? 0)
    return ctx.json({ protocol: ADMIN_PROTOCOL, events: sources.events(Number.isFinite(since) ? since : 0), silent: [] })
  })
  app.get('/counters', (ctx) => ctx.json({ protocol: ADMIN_PROTOCOL, counters: sources.counters() }))
  app.post('/moves/:move/take-back', (ctx) => {
    const answer = sources.takeBack(ctx.req.param('move'), ctx.req.query('reason') ?? 'taken back by an operator')
    return ctx.json({ protocol: ADMIN_PROTOCOL, ...answer }, answer.published ? 200 : 409)
  })
  return app
}

/** The connection is closed after such a request, so that its body is not read. */
function hasBody (ctx: Context): boolean {
  return ctx.req.header('transfer-encoding') !== undefined || Number(ctx.req.header('content-length') ?? 0) !== 0
}
