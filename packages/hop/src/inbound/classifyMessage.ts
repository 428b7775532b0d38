import { countHeader, headerValue, type HeaderNames } from '../headers.js'
import { HEADER_NAME } from './headerLines.js'
import type { ReportedLoad, TargetResult, TargetStatement } from './targetResult.js'

/** A complete HTTP message from a target. */
export interface TargetMessage {
  status: number
  /** Names and values alternate. */
  headers: string[]
  body: Buffer
  /** The body ended with the connection, so nothing shows whether it is complete. */
  unframed: boolean
}

export type MessageClass =
  | { kind: 'result', result: TargetResult }
  /** An interim response or one to an earlier request: the awaited one may still come. */
  | { kind: 'skip', why: 'interim' | 'otherRequest' }

/** HTTP status by which a target rejects a request that is meant for another target. */
const MISDIRECTED_STATUS = 421

/**
 * Decides what a message from the target means for the pending request: its result, or a message to skip. A response
 * without the request's id or the target's signature, or with a header that can't be forwarded, is a failure, unless it says that the
 * request was not run. Without
 * the id it can say so only of the first request on a connection: later it may repeat what it said of an earlier one.
 */
export function classifyMessage (message: TargetMessage, requestId: string, isFirst: boolean, names: HeaderNames): MessageClass {
  const { status, headers, body, unframed } = message
  if (status < 200) return { kind: 'skip', why: 'interim' }
  const garbled: MessageClass = { kind: 'result', result: { kind: 'failed', reason: 'garbled' } }
  if ([names.requestId, names.signature, names.notRun].some((name) => countHeader(headers, name) > 1)) return garbled
  const id = headerValue(headers, names.requestId)
  if (id !== undefined && id !== requestId) return { kind: 'skip', why: 'otherRequest' }
  if (id === undefined && !isFirst) return garbled
  const reported = parseLoad(headerValue(headers, names.load))
  const extra = reported ? { reported } : {}
  if (status === MISDIRECTED_STATUS) return { kind: 'result', result: { kind: 'notRun', reason: 'otherTarget', ...extra } }
  const statement = parseStatement(headers, names)
  if (headerValue(headers, names.notRun) !== undefined) return { kind: 'result', result: { kind: 'notRun', reason: 'shed', statement, ...extra } }
  if (id === undefined || headerValue(headers, names.signature) === undefined || !canBeForwarded(headers)) return garbled
  return { kind: 'result', result: { kind: 'response', status, headers, body, unframed, statement, ...extra } }
}

/** Whether HTTP allows the names and values of all headers. */
function canBeForwarded (headers: readonly string[]): boolean {
  return headers.every((text, i) => (i % 2 === 0 ? HEADER_NAME : HEADER_VALUE).test(text))
}

/** Visible characters, blanks, tabs, and bytes above 127 as one character each. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

function parseStatement (headers: readonly string[], names: HeaderNames): TargetStatement {
  const limitPerS = countHeader(headers, names.limit) > 1 ? undefined : parseLimit(headerValue(headers, names.limit))
  return { isLeaving: headerValue(headers, names.leaving) === '1', ...limitPerS === undefined ? {} : { limitPerS } }
}

/** Requests per second; Infinity for a header that is missing, undefined for one that can't be read. */
function parseLimit (value: string | undefined): number | undefined {
  if (value === undefined) return Infinity
  return /^\d{1,15}(\.\d+)?$/.test(value) ? Number(value) : undefined
}

/** Bounds on a believable slowdown, 1 for as usual; one outside of them says nothing about the machine. */
const MIN_SLOWDOWN = 0.1
const MAX_SLOWDOWN = 100

/** Figures of a reported load; more than these are ignored. */
const MAX_LOAD_FIGURES = 4

/** Running and waiting requests, slots and, from some targets, the time that work takes in percent of the usual. */
function parseLoad (value: string | undefined): ReportedLoad | undefined {
  const figures = value?.split(',', MAX_LOAD_FIGURES) ?? []
  const [running, waiting, slots] = figures.map(parseCount)
  if (running === undefined || waiting === undefined || slots === undefined) return undefined
  if (![running, waiting, slots].every((n) => Number.isInteger(n) && n >= 0)) return undefined
  const slowdown = parseSlowdown(figures[3])
  return { running, waiting, slots, ...slowdown === undefined ? {} : { slowdown } }
}

function parseSlowdown (percent: string | undefined): number | undefined {
  if (percent === undefined || !/^\s*\d{1,5}(\.\d{1,6})?\s*$/.test(percent)) return undefined
  const slowdown = Number(percent) / 100
  return slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN ? slowdown : undefined
}

/** NaN for a text that isn't a decimal number; `Number` also reads signs, other bases and an empty text. */
function parseCount (text: string): number {
  return /^\d{1,15}$/.test(text.trim()) ? Number(text) : NaN
}
