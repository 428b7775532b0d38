import { z } from 'zod'
import { MAX_NAME_LENGTH } from './constants.js'
import { duration } from './duration.js'

const nameSchema = z.string().max(MAX_NAME_LENGTH).regex(/^[A-Za-z][A-Za-z0-9._-]*$/,
  'a name starts with a letter and has only letters, digits, ".", "_" and "-"')
const versionSchema = z.string().max(MAX_NAME_LENGTH).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/,
  'a version has only letters, digits, ".", "_" and "-"')

/** Sets of defaults for moves: `kitaboshi` prefers to keep the old version, `addis` to meet the deadline. */
export const PROFILES = ['kitaboshi', 'addis'] as const
export type Profile = typeof PROFILES[number]

/** How a move ends if its deadline is near and there is too little data to judge the new version. */
export const WHEN_UNSURE_VALUES = ['keepOld', 'finish'] as const
export type WhenUnsure = typeof WHEN_UNSURE_VALUES[number]

/** Operator's control of a move: let it run, pause it, roll it back or finish it. */
export const MOVE_CONTROLS = ['run', 'paused', 'takeBack', 'finish'] as const
export type MoveControl = typeof MOVE_CONTROLS[number]

export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
export type Method = typeof METHODS[number]

const SECOND_MS = 1_000
const HOUR_MS = 3_600_000

export const serviceSchema = z.strictObject({
  versions: z.array(versionSchema).min(1).max(20).describe('Target versions that may exist'),
  current: versionSchema.describe('Version that gets the traffic while no move changes it'),
  profile: z.enum(PROFILES).default('kitaboshi')
    .describe('Defaults for moves: kitaboshi prefers to keep the old version, addis to meet the deadline'),
  slots: z.int().min(1).max(10_000).default(6).describe('Calls that one target runs at a time'),
  connections: z.int().min(1).max(10_000).default(100).describe('Connections that one target accepts'),
  idempotent: z.boolean().optional().describe('Default for the routes of the service; else the method decides'),
  timeout: duration(10, HOUR_MS).default(5 * SECOND_MS).describe('Time for one call, retries included'),
  queue: z.int().min(0).max(100_000).default(100).describe('Calls that may wait per daemon when all slots are busy'),
  maxBodyBytes: z.int().min(0).max(1024 ** 4).default(64 * 1024 ** 2).describe('Largest request body'),
  retryBudget: z.number().min(0).max(1).default(0.1).describe('Retries as a share of live requests'),
  maxAttempts: z.int().min(1).max(10).default(3).describe('Attempts for one call, the first included')
})

export const routeSchema = z.strictObject({
  service: nameSchema.describe('Service that answers'),
  host: z.string().max(253).regex(/^[A-Za-z0-9.-]+$/, 'not a host name').transform((host) => host.toLowerCase())
    .optional().describe('Host header to match, without port; any host when absent'),
  path: z.string().max(1_000).regex(/^\/[^?#\s*]*\*?$/, 'a path starts with "/" and may end in "*"')
    .describe('Exact path, or a prefix when it ends in "*"'),
  methods: z.array(z.enum(METHODS)).min(1).optional().describe('Methods to match; all when absent'),
  headers: z.record(z.string().regex(/^[A-Za-z0-9-]+$/), z.string().max(1_000)).optional()
    .describe('Headers that must have exactly these values'),
  idempotent: z.boolean().optional().describe('Whether a call may run more than once; else the service or method decides'),
  timeout: duration(10, HOUR_MS).optional().describe('Time for one call; the service decides when absent')
})

export const moveSchema = z.strictObject({
  service: nameSchema.describe('Service whose traffic moves'),
  from: versionSchema.describe('Old target version'),
  to: versionSchema.describe('New target version'),
  by: z.iso.datetime({ offset: true, message: 'not a time such as 2026-12-04T18:00:00Z' })
    .describe('Time by which all traffic is on the new version'),
  hold: duration(0, 24 * HOUR_MS).default(60 * SECOND_MS).describe('Time to watch at 100% before the move is done'),
  whenUnsure: z.enum(WHEN_UNSURE_VALUES).optional()
    .describe('How a move ends when there is too little data to judge the new version by the deadline; the profile decides when absent'),
  control: z.enum(MOVE_CONTROLS).default('run')
    .describe('Whether the move runs, pauses, rolls back or finishes; when absent, what `lentilwheel moves` set last stays')
})

export const configSchema = z.strictObject({
  services: z.record(nameSchema, serviceSchema).default({}),
  routes: z.record(nameSchema, routeSchema).default({}),
  moves: z.record(nameSchema, moveSchema).default({})
})

/** Configuration as operators write it, with durations as text. */
export type ConfigInput = z.input<typeof configSchema>
/** Configuration with defaults filled in and durations in milliseconds. */
export type Config = z.output<typeof configSchema>
export type Service = z.output<typeof serviceSchema>
export type Route = z.output<typeof routeSchema>
export type Move = z.output<typeof moveSchema>

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

/** Whether a call may run more than once: the route's setting decides, else the service's, else the method. */
export function isIdempotent (route: Route, service: Service, method: string): boolean {
  return route.idempotent ?? service.idempotent ?? IDEMPOTENT_METHODS.has(method)
}

/** How a move ends when there is too little data: its own setting decides, else the profile of its service. */
export function resolveWhenUnsure (move: Move, service: Service): WhenUnsure {
  return move.whenUnsure ?? (service.profile === 'addis' ? 'finish' : 'keepOld')
}
