import { countHeader, headerValue, type HeaderNames } from '../headers.js'
import { hostName } from '@lentilwheel/core'

/** Hop-by-hop headers, which are not forwarded; nor is the length, which is set again from the body. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'expect', 'content-length'
])
/** Headers that `connection` must not name, because dropping them would change how the request is framed or routed. */
const REQUIRED_HEADERS: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding'])

/** The head of a caller's request: what routing needs, and the headers to forward. */
export interface RequestHead {
  requestId: string
  host: string
  path: string
  /** Names and values to forward, flat, without hop-by-hop headers and those that only daemons set. */
  headers: string[]
  /** Milliseconds until the caller's deadline; Infinity when it sets none. */
  deadlineMs: number
}

/** `bad`: the request is rejected with status 400 and the reason. */
export type HeadResult = { kind: 'head', head: RequestHead } | { kind: 'bad', reason: string }

/** Checks the head of a request that the HTTP parser has accepted, and removes the headers that must not be forwarded. */
export function parseRequestHead (url: string, raw: readonly string[], names: HeaderNames): HeadResult {
  if (url.charCodeAt(0) !== 0x2f) return { kind: 'bad', reason: 'the request target must be a path that starts with "/"' }
  const hosts = countHeader(raw, 'host')
  const host = headerValue(raw, 'host')
  if (hosts !== 1 || host === undefined || host === '') return { kind: 'bad', reason: 'the request needs exactly one host header' }
  const requestId = headerValue(raw, names.requestId)
  if (requestId === undefined || requestId === '') return { kind: 'bad', reason: `the request needs ${names.requestId}` }
  const connectionHeaders = connectionHeaderNames(raw)
  if ([...connectionHeaders].some((name) => REQUIRED_HEADERS.has(name))) return { kind: 'bad', reason: 'the connection header names a header that must stay' }
  const systemHeaders = new Set([names.deadline, names.expectedTarget, names.callerService, names.workspace].map((name) => name.toLowerCase()))
  const headers: string[] = []
  for (let i = 0; i < raw.length; i += 2) {
    const key = raw[i]!.toLowerCase()
    if (HOP_BY_HOP.has(key) || systemHeaders.has(key) || connectionHeaders.has(key)) continue
    headers.push(raw[i]!, raw[i + 1]!)
  }
  const deadline = headerValue(raw, names.deadline)
  const deadlineMs = deadline !== undefined && /^\d+(\.\d+)?$/.test(deadline) ? Number(deadline) : Infinity
  const query = url.indexOf('?')
  const path = query < 0 ? url : url.slice(0, query)
  return { kind: 'head', head: { requestId, host: hostName(host), path, headers, deadlineMs } }
}

/** Bytes of a list of names and values, with what stands between them in a head. */
export function headBytes (raw: readonly string[]): number {
  return raw.reduce((total, text) => total + text.length + 2, 0)
}

/** Headers of a response to forward to the caller: names and values, flat, without hop-by-hop headers. */
export function forwardedResponseHeaders (headers: readonly string[]): string[] {
  const connectionHeaders = connectionHeaderNames(headers)
  const result: string[] = []
  for (let i = 0; i < headers.length; i += 2) {
    const key = headers[i]!.toLowerCase()
    if (HOP_BY_HOP.has(key) || connectionHeaders.has(key)) continue
    result.push(headers[i]!, headers[i + 1]!)
  }
  return result
}

/** Names of the headers that concern only one connection, as the connection header lists them; in lower case. */
function connectionHeaderNames (headers: readonly string[]): ReadonlySet<string> {
  const names = (headerValue(headers, 'connection') ?? '').toLowerCase().split(',').map((name) => name.trim())
  return new Set(names.filter(Boolean))
}
