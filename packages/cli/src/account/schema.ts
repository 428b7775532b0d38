import { EVENT_TYPES, MOVE_OUTCOMES } from '@lentilwheel/core'
import { z } from 'zod'

/** Version of the JSON shapes that daemons serve on their admin side; raised when a change is not additive. */
export const ADMIN_PROTOCOL = 1

/*
 * Objects ignore unknown fields, so that a newer daemon or relay may add some without breaking older commands.
 * Times are Unix milliseconds.
 */

const count = z.int().min(0)
const unixMs = z.number().min(0)
const share = z.number().min(0).max(1)

/** A daemon that does not hold the newest version, and why. */
export const laggingDaemonSchema = z.object({
  daemon: z.string(),
  /** Version that the daemon holds; 0 when it holds none. */
  version: count,
  reason: z.string()
})

/** A version that daemons refused whole. */
export const refusalSchema = z.object({
  version: count,
  changeId: z.string(),
  reason: z.string(),
  at: unixMs,
  /** Number of daemons that refused it for this reason. */
  daemons: count
})

/** Status of one data centre: the object `account/<dataCentre>` on the platform. */
export const accountSchema = z.object({
  dataCentre: z.string(),
  at: unixMs,
  members: count,
  /** Number of daemons that hold each version. */
  inForce: z.record(z.string().regex(/^\d+$/, 'not a version number'), count),
  lagging: z.array(laggingDaemonSchema),
  refusals: z.array(refusalSchema)
})

/** Progress of a move: the object `move/<id>` on the platform. */
export const moveRecordSchema = z.object({
  id: z.string(),
  service: z.string(),
  from: z.string(),
  to: z.string(),
  /** Deadline as the configuration gives it (ISO 8601). */
  by: z.string(),
  stage: count,
  share,
  outcome: z.enum(MOVE_OUTCOMES).optional(),
  reason: z.string().optional(),
  at: unixMs
})

/** An event as a daemon reports it; types of newer daemons pass as plain strings. */
export const timelineEventSchema = z.object({
  id: z.string(),
  daemon: z.string(),
  time: z.object({ wallMs: unixMs, counter: count }),
  type: z.union([z.enum(EVENT_TYPES), z.string()]),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  cause: z.string().optional()
})

/** Targets of one version in one data centre as the daemon that answers sees them. */
export const targetCountSchema = z.object({
  service: z.string(),
  version: z.string(),
  dataCentre: z.string(),
  ready: count,
  total: count
})

/** Every answer starts with its protocol version, which is checked before the rest. */
export const protocolSchema = z.object({ protocol: z.int() })

/** `GET /status`: the daemon that answers. `?debug=1` adds `debug`. */
export const daemonStatusSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  daemon: z.string(),
  dataCentre: z.string(),
  version: count,
  /** When the version came into force on this daemon; absent while it holds none. */
  since: unixMs.optional(),
  ready: z.boolean(),
  /** Why the daemon is not ready; empty when it is. */
  reason: z.string(),
  refusal: refusalSchema.omit({ daemons: true }).optional(),
  targets: z.array(targetCountSchema).default([]),
  /** Proxy state, in a shape that may change with any release. */
  debug: z.record(z.string(), z.unknown()).optional()
})

/** `GET /status?scope=fleet`: what the daemon knows of the whole fleet. */
export const fleetStatusSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  accounts: z.array(accountSchema),
  moves: z.array(moveRecordSchema)
})

/** `GET /events` and `GET /events?scope=fleet`. */
export const eventsSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  events: z.array(timelineEventSchema),
  /** Daemons that did not answer; empty for the events of one daemon. */
  silent: z.array(z.string())
})

/** `POST /moves/<id>/take-back`: whether a rollback fact was published, or how the move had already ended. */
export const takeBackAnswerSchema = z.object({
  protocol: z.literal(ADMIN_PROTOCOL),
  move: z.string(),
  published: z.boolean(),
  /** Set when the move had ended before the request. */
  outcome: z.enum(MOVE_OUTCOMES).optional(),
  /** Why nothing was published. */
  reason: z.string().optional()
})

export type LaggingDaemon = z.output<typeof laggingDaemonSchema>
export type Refusal = z.output<typeof refusalSchema>
export type Account = z.output<typeof accountSchema>
export type MoveRecord = z.output<typeof moveRecordSchema>
export type ReportedEvent = z.output<typeof timelineEventSchema>
export type TargetCount = z.output<typeof targetCountSchema>
export type DaemonStatus = z.output<typeof daemonStatusSchema>
export type FleetStatus = z.output<typeof fleetStatusSchema>
export type EventsAnswer = z.output<typeof eventsSchema>
export type TakeBackAnswer = z.output<typeof takeBackAnswerSchema>
