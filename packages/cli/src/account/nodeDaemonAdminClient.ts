import { errors, request } from 'undici'
import type { z } from 'zod'
import { DaemonBadAnswer, DaemonProtocolUnknown, DaemonUnreachable, UsageError } from '../errors.js'
import {
  ADMIN_PROTOCOL, daemonStatusSchema, eventsSchema, fleetStatusSchema, protocolSchema, routeExplanationSchema, takeBackResponseSchema,
  type DaemonStatus, type EventsResponse, type RouteExplanation, type TakeBackResponse
} from './schema.js'
import type { FleetView } from './fleetView.js'

/** Long enough for a daemon to collect the events of its fleet, which includes waiting for members that do not respond. */
const RESPONSE_TIMEOUT_MS = 15_000
const CONNECTION_REFUSED = 'ECONNREFUSED'

/** Client of the admin API of one daemon. */
export interface DaemonAdminClient {
  readonly address: string
  fleet (): Promise<FleetView>
  status (debug: boolean): Promise<DaemonStatus>
  events (): Promise<EventsResponse>
  takeBack (move: string): Promise<TakeBackResponse>
  /** Asks the metrics address of a daemon with a target where a request would go. */
  explainRoute (query: RouteQuery): Promise<RouteExplanation>
}

/** A request to explain. */
export interface RouteQuery {
  method: string
  host: string
  path: string
  /** Name of the caller's workspace. */
  workspace?: string
}

/** Calls the admin API over HTTP, and checks the protocol version and the fields of each response. */
export class HttpDaemonAdminClient implements DaemonAdminClient {
  readonly address: string
  readonly #baseUrl: string

  constructor (address: string) {
    this.address = address
    this.#baseUrl = baseUrl(address)
  }

  async fleet (): Promise<FleetView> {
    const { accounts, moves } = await this.#requestJson('GET', '/status?scope=fleet', fleetStatusSchema)
    return { source: `daemon ${this.address}`, accounts, moveRecords: moves, notices: [] }
  }

  async status (debug: boolean): Promise<DaemonStatus> {
    return await this.#requestJson('GET', debug ? '/status?debug=1' : '/status', daemonStatusSchema)
  }

  async events (): Promise<EventsResponse> {
    return await this.#requestJson('GET', '/events?scope=fleet', eventsSchema)
  }

  async takeBack (move: string): Promise<TakeBackResponse> {
    return await this.#requestJson('POST', `/moves/${encodeURIComponent(move)}/take-back`, takeBackResponseSchema)
  }

  async explainRoute (query: RouteQuery): Promise<RouteExplanation> {
    return await this.#requestJson('GET', `/explain-route?${new URLSearchParams({ ...query })}`, routeExplanationSchema)
  }

  async #requestJson<S extends z.ZodType> (method: 'GET' | 'POST', path: string, schema: S): Promise<z.output<S>> {
    const { status, text } = await this.#fetch(method, path)
    return decodeResponse(`daemon ${this.address}`, { status, text }, schema)
  }

  async #fetch (method: 'GET' | 'POST', path: string): Promise<{ status: number, text: string }> {
    try {
      const res = await request(this.#baseUrl + path, {
        method, headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS
      })
      return { status: res.statusCode, text: await res.body.text() }
    } catch (err) {
      if (err instanceof errors.HTTPParserError) {
        throw new DaemonBadAnswer(`what listens at ${this.address} does not speak HTTP`, err)
      }
      throw new DaemonUnreachable(`daemon ${this.address} did not answer${reasonOf(err)}`, err)
    }
  }
}

function reasonOf (err: unknown): string {
  return (err as NodeJS.ErrnoException).code === CONNECTION_REFUSED ? ': nothing listens there' : ''
}

function baseUrl (address: string): string {
  const text = address.includes('://') ? address : `http://${address}`
  const isUsable = URL.canParse(text) && new URL(text).protocol === 'http:'
  if (!isUsable) throw new UsageError(`"${address}" is not an admin address such as 127.0.0.1:8081`)
  return new URL(text).origin
}

/** Parses and validates a response; the errors say in what way it is invalid and name `source` as its sender. */
export function decodeResponse<S extends z.ZodType> (
  source: string, response: { status: number, text: string }, schema: S
): z.output<S> {
  const value = parseJson(response.text)
  if (value === undefined) {
    const kind = /^\s*</.test(response.text) ? 'HTML' : 'something other than JSON'
    throw new DaemonBadAnswer(`${source} answered ${kind} with status ${response.status}`)
  }
  if (response.status >= 400) throw new DaemonBadAnswer(`${source} answered with status ${response.status}`)
  const version = protocolSchema.safeParse(value)
  if (!version.success) throw new DaemonBadAnswer(`${source} answered JSON without a protocol version`)
  if (version.data.protocol !== ADMIN_PROTOCOL) {
    throw new DaemonProtocolUnknown(`${source} speaks protocol ${version.data.protocol}, this command knows ${ADMIN_PROTOCOL}`)
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]!
  throw new DaemonBadAnswer(`${source} left out or changed a field: ${issue.path.join('.')}: ${issue.message}`)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
