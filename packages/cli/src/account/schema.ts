import { EVENT_TYPES, MOVE_OUTCOMES } from '@lentilwheel/core'
import { accountSchema, moveRecordSchema, refusalSchema } from '@lentilwheel/platform'
import { z } from 'zod'

/** Version of the JSON format of the admin API; incremented by changes that are not additive. */
export const ADMIN_PROTOCOL = 1

/*
 * Responses of the admin API. Unknown fields are ignored, so that newer daemons and relays can add some without breaking
 * an older command line. Times are Unix milliseconds.
 */

const count = z.int().min(0)
const unixMs = z.number().min(0)

/** An event as a daemon reports it; event types that only newer daemons have are accepted as strings. */
export const timelineEventSchema = z.object({
  id: z.string(),
  daemon: z.string(),
  time: z.object({ wallMs: unixMs, counter: count }),
  type: z.union([z.enum(EVENT_TYPES), z.string()]),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  cause: z.string().optional()
})

/** Number of targets of one version in one data centre, as the responding daemon sees them. */
export const targetCountSchema = z.object({
  service: z.string(),
  version: z.string(),
  dataCentre: z.string(),
  ready: count,
  total: count
})

/** Part of every response; the protocol version is checked before the other fields. */
export const protocolSchema = z.object({ protocol: z.int() })

/** `GET /status`: state of the responding daemon. `?debug=1` adds `debug`. */
export const daemonStatusSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  daemon: z.string(),
  dataCentre: z.string(),
  version: count,
  /** When the daemon applied the version; absent while it has none. */
  since: unixMs.optional(),
  ready: z.boolean(),
  /** Why the daemon is not ready; empty if it is. */
  reason: z.string(),
  refusal: refusalSchema.omit({ daemons: true }).optional(),
  targets: z.array(targetCountSchema).default([]),
  /** Proxy state; its format may change with any release. */
  debug: z.record(z.string(), z.unknown()).optional()
})

/** `GET /status?scope=fleet`: what the daemon knows of the whole fleet. */
export const fleetStatusSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  accounts: z.array(accountSchema),
  moves: z.array(moveRecordSchema)
})

/** `GET /events` and `GET /events?scope=fleet`: events of the daemon or of the whole fleet. */
export const eventsSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  events: z.array(timelineEventSchema),
  /** Daemons that did not respond; empty for the events of one daemon. */
  silent: z.array(z.string())
})

/** `POST /moves/<id>/take-back`: whether a rollback fact was published, or how the move had already ended. */
export const takeBackResponseSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  move: z.string(),
  published: z.boolean(),
  /** How the move ended, if it had ended before the request. */
  outcome: z.enum(MOVE_OUTCOMES).optional(),
  /** Why nothing was published. */
  reason: z.string().optional()
})

const loadSchema = z.object({ running: count, queued: count, slots: z.number(), pace: z.number(), failing: z.number() })

/** State of a target; the milliseconds tell for how long it still holds. */
const figuresSchema = z.object({
  load: loadSchema.optional(),
  loadAgeMs: z.number().optional(),
  inFlight: count,
  avoidMs: z.number(),
  busyMs: z.number(),
  limitedMs: z.number(),
  coldMs: z.number()
})

const candidateSchema = z.object({
  host: z.string(),
  targetId: z.string(),
  version: z.string(),
  isLocal: z.boolean(),
  costMs: z.number(),
  isQueueFull: z.boolean(),
  figures: figuresSchema.optional()
})

const rejectionSchema = z.object({ status: count, reason: z.string(), retryAfterMs: z.number().optional() })

const firstStepSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('offer'), host: z.string(), mode: z.string() }),
  z.object({ kind: z.literal('wait'), ms: z.number() }),
  z.object({ kind: z.literal('reject'), rejection: rejectionSchema })
])

/** `GET /explain-route` at the metrics address of a daemon with a target: where a request would go now. */
export const routeExplanationSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  daemon: z.string(),
  dataCentre: z.string(),
  /** Version of the configuration; 0 for none. */
  config: count,
  route: z.object({ name: z.string(), pathPrefix: z.string(), timeoutMs: z.number(), targetLatencyMs: z.number(), maxAttempts: count, idempotent: z.boolean() }).optional(),
  workspace: z.object({ name: z.string(), ratePerS: z.number(), burst: z.number() }).optional(),
  priority: z.object({ value: z.number(), from: z.enum(['workspace', 'route']) }).optional(),
  /** Why the daemon would reject the request before it looks for a target. */
  rejection: rejectionSchema.optional(),
  services: z.array(z.object({
    service: z.string(),
    share: z.number(),
    versions: z.array(z.object({ share: z.number(), standing: z.string(), first: firstStepSchema.optional(), candidates: z.array(candidateSchema) }))
  }))
})

export type { Account, MoveRecord, AccountRefusal as Refusal } from '@lentilwheel/platform'
export type ReportedEvent = z.output<typeof timelineEventSchema>
export type TargetCount = z.output<typeof targetCountSchema>
export type DaemonStatus = z.output<typeof daemonStatusSchema>
export type FleetStatus = z.output<typeof fleetStatusSchema>
export type EventsResponse = z.output<typeof eventsSchema>
export type RouteExplanation = z.output<typeof routeExplanationSchema>
export type TakeBackResponse = z.output<typeof takeBackResponseSchema>
