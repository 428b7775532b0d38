import { Hono, type Context } from 'hono'
import type { MoveOutcome, TimelineEvent } from '@lentilwheel/core'

/** Version of the JSON that the admin API returns; the command line rejects any other. */
export const ADMIN_PROTOCOL = 1

/** State of one daemon, as shown to operators. */
export interface DaemonStatus {
  daemon: string
  dataCentre: string
  version: number
  rootHash: string
  /** Unix milliseconds since which the version is active on this daemon. */
  since?: number
  ready: boolean
  reason: string
  /** Whether this daemon is a relay, which reads the platform for its data centre. */
  relay: boolean
  members: number
  targets: TargetCount[]
}

/** Number of targets of one service version in one data centre, as this daemon knows them. */
export interface TargetCount {
  service: string
  version: string
  dataCentre: string
  ready: number
  total: number
}

/** Result of a request to roll back a move. */
export interface TakeBackAnswer {
  move: string
  /** Whether a rollback fact was published. */
  published: boolean
  /** Set if the move had ended before the request. */
  outcome?: MoveOutcome
  /** Why no rollback was published. */
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

/** Data and actions behind the admin API, implemented by the daemon. */
export interface AdminBackend {
  status (): DaemonStatus
  fleetStatus (): Promise<FleetStatus>
  events (since: number): TimelineEvent[]
  fleetEvents (): Promise<FleetEvents>
  counters (): Record<string, number>
  /** Rolls a move back by publishing a rollback fact, unless the move is unknown or has ended. */
  takeBack (move: string, reason: string): TakeBackAnswer
  /** Internal state for debugging; its shape may change with any release. */
  debug (): Record<string, unknown>
}

/** Creates the admin HTTP API of a daemon: health, readiness, status, events, counters and rollback of moves. */
export function createAdminApp (backend: AdminBackend): Hono {
  const app = new Hono()
  app.use(async (ctx, next) => {
    if (hasBody(ctx)) return ctx.text('this side takes no request body\n', 413, { connection: 'close' })
    await next()
  })
  app.get('/healthz', (ctx) => ctx.text('ok\n'))
  app.get('/readyz', (ctx) => {
    const { ready, reason } = backend.status()
    return ready ? ctx.text('ready\n') : ctx.text(`${reason}\n`, 503)
  })
  app.get('/status', async (ctx) => {
    if (ctx.req.query('scope') === 'fleet') {
      return ctx.json({ protocol: ADMIN_PROTOCOL, ...await backend.fleetStatus() })
    }
    const debug = ctx.req.query('debug') === '1' ? { debug: backend.debug() } : {}
    return ctx.json({ protocol: ADMIN_PROTOCOL, ...backend.status(), ...debug })
  })
  app.get('/events', async (ctx) => {
    if (ctx.req.query('scope') === 'fleet') {
      return ctx.json({ protocol: ADMIN_PROTOCOL, ...await backend.fleetEvents() })
    }
    const since = Number(ctx.req.query('since') ?? 0)
    return ctx.json({ protocol: ADMIN_PROTOCOL, events: backend.events(Number.isFinite(since) ? since : 0), silent: [] })
  })
  app.get('/counters', (ctx) => ctx.json({ protocol: ADMIN_PROTOCOL, counters: backend.counters() }))
  app.post('/moves/:move/take-back', (ctx) => {
    const answer = backend.takeBack(ctx.req.param('move'), ctx.req.query('reason') ?? 'taken back by an operator')
    return ctx.json({ protocol: ADMIN_PROTOCOL, ...answer }, answer.published ? 200 : 409)
  })
  return app
}

/** Such a request is answered with `connection: close`, so that its body is never read into memory. */
function hasBody (ctx: Context): boolean {
  return ctx.req.header('transfer-encoding') !== undefined || Number(ctx.req.header('content-length') ?? 0) !== 0
}
