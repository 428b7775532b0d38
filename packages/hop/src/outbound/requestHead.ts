import { hostName } from '@lentilwheel/core'
import { headerOf } from '../inbound/responseCheck.js'
import type { HeaderNames } from '../inbound/targetResult.js'

/** Headers that concern one connection only; the length is set again from the body. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'content-length'
])
/** Naming one of these in `connection` would change how the request is framed or routed. */
const NOT_NOMINABLE: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding'])

/** What a request's head says, in the form in which it is passed on. */
export interface OutboundHead {
  requestId: string
  host: string
  path: string
  /** Names and values for the target, flat, without the headers that the system sets itself. */
  headers: string[]
  /** Milliseconds that the caller waits; Infinity when it doesn't say. */
  deadlineMs: number
}

export type HeadOutcome = { kind: 'head', head: OutboundHead } | { kind: 'bad', reason: string }

/** Reads the head of a request that the HTTP parser has accepted. */
export function readHead (url: string, raw: readonly string[], names: HeaderNames): HeadOutcome {
  if (url.charCodeAt(0) !== 0x2f) return { kind: 'bad', reason: 'the request target must be a path that starts with "/"' }
  const hosts = count(raw, 'host')
  const host = headerOf(raw, 'host')
  if (hosts !== 1 || host === undefined || host === '') return { kind: 'bad', reason: 'the request needs exactly one host header' }
  const requestId = headerOf(raw, names.requestId)
  if (requestId === undefined || requestId === '') return { kind: 'bad', reason: `the request needs ${names.requestId}` }
  const nominated = (headerOf(raw, 'connection') ?? '').toLowerCase().split(',').map((name) => name.trim()).filter(Boolean)
  if (nominated.some((name) => NOT_NOMINABLE.has(name))) return { kind: 'bad', reason: 'the connection header names a header that must stay' }
  const own = new Set([names.deadline, names.expectedTarget, names.callerService].map((name) => name.toLowerCase()))
  const headers: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const key = raw[i]!.toLowerCase()
    if (HOP_BY_HOP.has(key) || own.has(key) || nominated.includes(key)) continue
    headers.push(raw[i]!, raw[i + 1]!)
  }
  const deadline = headerOf(raw, names.deadline)
  const deadlineMs = deadline !== undefined && /^\d+(\.\d+)?$/.test(deadline) ? Number(deadline) : Infinity
  const query = url.indexOf('?')
  const path = query < 0 ? url : url.slice(0, query)
  return { kind: 'head', head: { requestId, host: hostName(host), path, headers, deadlineMs } }
}

/** Names and values of a response for the caller, flat, without those that concern one connection. */
export function responseHeaders (headers: readonly string[]): string[] {
  const nominated = (headerOf(headers, 'connection') ?? '').toLowerCase().split(',').map((name) => name.trim())
  const result: string[] = []
  for (let i = 0; i < headers.length; i += 2) {
    const key = headers[i]!.toLowerCase()
    if (HOP_BY_HOP.has(key) || nominated.includes(key)) continue
    result.push(headers[i]!, headers[i + 1]!)
  }
  return result
}

function count (headers: readonly string[], name: string): number {
  let n = 0
  for (let i = 0; i < headers.length; i += 2) if (headers[i]!.toLowerCase() === name) n++
  return n
}
