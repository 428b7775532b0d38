import { errors, request } from 'undici'
import type { z } from 'zod'
import { DaemonBadAnswer, DaemonProtocolUnknown, DaemonUnreachable, UsageError } from '../errors.js'
import {
  ADMIN_PROTOCOL, daemonStatusSchema, eventsSchema, fleetStatusSchema, protocolSchema, takeBackAnswerSchema,
  type DaemonStatus, type EventsAnswer, type TakeBackAnswer
} from './schema.js'
import type { FleetView } from './view.js'

/** A daemon asks its fleet for events, which may wait for silent members. */
const ANSWER_TIMEOUT_MS = 15_000
const CONNECT_STATUS = 'ECONNREFUSED'

/** Reads the admin side of one daemon. */
export interface DaemonAdmin {
  readonly address: string
  fleet (): Promise<FleetView>
  status (debug: boolean): Promise<DaemonStatus>
  events (): Promise<EventsAnswer>
  takeBack (move: string): Promise<TakeBackAnswer>
}

export class HttpDaemonAdmin implements DaemonAdmin {
  readonly address: string
  readonly #base: string

  constructor (address: string) {
    this.address = address
    this.#base = baseUrl(address)
  }

  async fleet (): Promise<FleetView> {
    const { accounts, moves } = await this.#ask('GET', '/status?scope=fleet', fleetStatusSchema)
    return { source: `daemon ${this.address}`, accounts, records: moves, notices: [] }
  }

  async status (debug: boolean): Promise<DaemonStatus> {
    return await this.#ask('GET', debug ? '/status?debug=1' : '/status', daemonStatusSchema)
  }

  async events (): Promise<EventsAnswer> {
    return await this.#ask('GET', '/events?scope=fleet', eventsSchema)
  }

  async takeBack (move: string): Promise<TakeBackAnswer> {
    return await this.#ask('POST', `/moves/${encodeURIComponent(move)}/take-back`, takeBackAnswerSchema)
  }

  async #ask<S extends z.ZodType> (method: 'GET' | 'POST', path: string, schema: S): Promise<z.output<S>> {
    const { status, text } = await this.#fetch(method, path)
    return decodeAnswer(`daemon ${this.address}`, { status, text }, schema)
  }

  async #fetch (method: 'GET' | 'POST', path: string): Promise<{ status: number, text: string }> {
    try {
      const res = await request(this.#base + path, {
        method, headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS
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
  return (err as NodeJS.ErrnoException).code === CONNECT_STATUS ? ': nothing listens there' : ''
}

function baseUrl (address: string): string {
  const text = address.includes('://') ? address : `http://${address}`
  const isUsable = URL.canParse(text) && new URL(text).protocol === 'http:'
  if (!isUsable) throw new UsageError(`"${address}" is not an admin address such as 127.0.0.1:8081`)
  return new URL(text).origin
}

/** Turns an answer into its shape, or says in what way it is none. */
export function decodeAnswer<S extends z.ZodType> (
  who: string, answer: { status: number, text: string }, schema: S
): z.output<S> {
  const value = parseJson(answer.text)
  if (value === undefined) {
    const kind = /^\s*</.test(answer.text) ? 'HTML' : 'something other than JSON'
    throw new DaemonBadAnswer(`${who} answered ${kind} with status ${answer.status}`)
  }
  if (answer.status >= 400) throw new DaemonBadAnswer(`${who} answered with status ${answer.status}`)
  const version = protocolSchema.safeParse(value)
  if (!version.success) throw new DaemonBadAnswer(`${who} answered JSON without a protocol version`)
  if (version.data.protocol !== ADMIN_PROTOCOL) {
    throw new DaemonProtocolUnknown(`${who} speaks protocol ${version.data.protocol}, this command knows ${ADMIN_PROTOCOL}`)
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]!
  throw new DaemonBadAnswer(`${who} left out or changed a field: ${issue.path.join('.')}: ${issue.message}`)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
