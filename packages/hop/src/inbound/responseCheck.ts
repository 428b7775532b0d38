import type { HeaderNames, ReportedLoad, TargetResult } from './targetResult.js'

/** A whole message that came from a target. */
export interface TargetMessage {
  status: number
  /** Names and values, flat. */
  headers: string[]
  body: Buffer
  /** The message ended with its connection, so nothing shows whether it is whole. */
  unframed: boolean
}

export type MessageVerdict =
  | { kind: 'result', result: TargetResult }
  /** Interim, or the answer to an earlier request: the awaited one may still come. */
  | { kind: 'skip', why: 'interim' | 'otherRequest' }

const MISDIRECTED = 421

/** Decides what a message on a target's connection means for the request that waits there. */
export function judgeMessage (message: TargetMessage, requestId: string, names: HeaderNames): MessageVerdict {
  const { status, headers, body, unframed } = message
  if (status < 200) return { kind: 'skip', why: 'interim' }
  const id = headerOf(headers, names.requestId)
  if (id !== undefined && id !== requestId) return { kind: 'skip', why: 'otherRequest' }
  const reported = parseLoad(headerOf(headers, names.load))
  const extra = reported ? { reported } : {}
  if (status === MISDIRECTED) return { kind: 'result', result: { kind: 'notRun', reason: 'otherTarget', ...extra } }
  if (headerOf(headers, names.notRun) !== undefined) return { kind: 'result', result: { kind: 'notRun', reason: 'shed', ...extra } }
  if (id === undefined || headerOf(headers, names.signature) === undefined) {
    return { kind: 'result', result: { kind: 'failed', reason: 'garbled' } }
  }
  return { kind: 'result', result: { kind: 'response', status, headers, body, unframed, ...extra } }
}

/** Value of a header in a flat list; names are compared without case. */
export function headerOf (headers: readonly string[], name: string): string | undefined {
  const wanted = name.toLowerCase()
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.length === wanted.length && headers[i]!.toLowerCase() === wanted) return headers[i + 1]
  }
  return undefined
}

function parseLoad (value: string | undefined): ReportedLoad | undefined {
  const [running, waiting, slots] = value?.split(',').map(Number) ?? []
  if (running === undefined || waiting === undefined || slots === undefined) return undefined
  if (![running, waiting, slots].every((n) => Number.isInteger(n) && n >= 0)) return undefined
  return { running, waiting, slots }
}
