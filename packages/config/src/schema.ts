import { z } from 'zod'
import { MAX_NAME_LENGTH } from './constants.js'
import { duration } from './duration.js'

const name = z.string().max(MAX_NAME_LENGTH).regex(/^[A-Za-z][A-Za-z0-9._-]*$/,
  'a name starts with a letter and has only letters, digits, ".", "_" and "-"')
const version = z.string().max(MAX_NAME_LENGTH).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/,
  'a version has only letters, digits, ".", "_" and "-"')

/** Which deployment's defaults a service takes: `kitaboshi` leans to take-back, `addis` to time. */
export const PROFILES = ['kitaboshi', 'addis'] as const
export type Profile = typeof PROFILES[number]

/** What wins when evidence is thin and the deadline of a move is near. */
export const UNSURE_CHOICES = ['keepOld', 'finish'] as const
export type UnsureChoice = typeof UNSURE_CHOICES[number]

/** What operators ask of a move. */
export const MOVE_CONTROLS = ['run', 'paused', 'takeBack', 'finish'] as const
export type MoveControl = typeof MOVE_CONTROLS[number]

export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
export type Method = typeof METHODS[number]

const SECOND = 1_000
const HOUR = 3_600_000

export const serviceSchema = z.strictObject({
  versions: z.array(version).min(1).max(20).describe('Target versions that may exist'),
  current: version.describe('Version that gets the traffic while no move changes it'),
  profile: z.enum(PROFILES).default('kitaboshi').describe('Defaults for moves: kitaboshi leans to take-back, addis to time'),
  slots: z.int().min(1).max(10_000).default(6).describe('Calls that one target runs at a time'),
  connections: z.int().min(1).max(10_000).default(100).describe('Connections that one target accepts'),
  idempotent: z.boolean().optional().describe('Default for the routes of the service; else the method decides'),
  timeout: duration(10, HOUR).default(5 * SECOND).describe('Time for one call, retries included'),
  queue: z.int().min(0).max(100_000).default(100).describe('Calls that may wait per daemon when all slots are busy'),
  maxBodyBytes: z.int().min(0).max(1024 ** 4).default(64 * 1024 ** 2).describe('Largest request body'),
  retryBudget: z.number().min(0).max(1).default(0.1).describe('Retries as a share of live requests'),
  maxAttempts: z.int().min(1).max(10).default(3).describe('Attempts for one call, the first included')
})

export const routeSchema = z.strictObject({
  service: name.describe('Service that answers'),
  host: z.string().max(253).regex(/^[A-Za-z0-9.-]+$/, 'not a host name').transform((host) => host.toLowerCase())
    .optional().describe('Host header to match, without port; any host when absent'),
  path: z.string().max(1_000).regex(/^\/[^?#\s*]*\*?$/, 'a path starts with "/" and may end in "*"')
    .describe('Exact path, or a prefix when it ends in "*"'),
  methods: z.array(z.enum(METHODS)).min(1).optional().describe('Methods to match; all when absent'),
  headers: z.record(z.string().regex(/^[A-Za-z0-9-]+$/), z.string().max(1_000)).optional()
    .describe('Headers that must have exactly these values'),
  idempotent: z.boolean().optional().describe('Whether a call may run more than once; else the service or method decides'),
  timeout: duration(10, HOUR).optional().describe('Time for one call; the service decides when absent')
})

export const moveSchema = z.strictObject({
  service: name.describe('Service whose traffic moves'),
  from: version.describe('Old target version'),
  to: version.describe('New target version'),
  by: z.iso.datetime({ offset: true, message: 'not a time such as 2026-12-04T18:00:00Z' })
    .describe('Time by which all traffic is on the new version'),
  hold: duration(0, 24 * HOUR).default(60 * SECOND).describe('Time to watch at 100% before the move is done'),
  whenUnsure: z.enum(UNSURE_CHOICES).optional()
    .describe('What wins when evidence is thin near the deadline; the profile decides when absent'),
  control: z.enum(MOVE_CONTROLS).default('run').describe('What operators ask of the move; when absent, what `lentilwheel moves` asked last stays')
})

export const configSchema = z.strictObject({
  services: z.record(name, serviceSchema).default({}),
  routes: z.record(name, routeSchema).default({}),
  moves: z.record(name, moveSchema).default({})
})

/** Configuration as operators write it. */
export type ConfigInput = z.input<typeof configSchema>
/** Configuration with defaults filled in and durations in milliseconds. */
export type Config = z.output<typeof configSchema>
export type Service = z.output<typeof serviceSchema>
export type Route = z.output<typeof routeSchema>
export type Move = z.output<typeof moveSchema>

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])

/** Whether a call may run more than once: the route's declaration first, then the service's, then the method. */
export function isIdempotent (route: Route, service: Service, method: string): boolean {
  return route.idempotent ?? service.idempotent ?? IDEMPOTENT_METHODS.has(method)
}

/** What wins for a move when evidence is thin: its own setting, else its service's profile. */
export function unsureChoice (move: Move, service: Service): UnsureChoice {
  return move.whenUnsure ?? (service.profile === 'addis' ? 'finish' : 'keepOld')
}
