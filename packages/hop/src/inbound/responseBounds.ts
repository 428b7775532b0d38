import { BufferPool } from '../buffers/bufferPool.js'
import { headerOf } from './responseCheck.js'

/** Bounds on what a target may send in answer to one request, and all targets' unfinished answers together. */
export interface ResponseBounds {
  /** Largest body, in bytes. */
  maxBodyBytes (): number
  /** Unfinished responses that state their length. */
  readonly stated: BufferPool
  /** Unfinished responses that don't, and so may have no end. */
  readonly unstated: BufferPool
}

/** Which bound an answer passed. */
export type BoundName = 'head' | 'body' | 'messages' | 'buffers'

/** Heads, interim answers, chunk sizes and trailers that may come with one answer. */
const MAX_FRAMING_BYTES = 64 * 1024
/** Interim answers and answers to other requests that may come before the awaited one. */
const MAX_SKIPPED = 16
const STATED_BYTES = 96 * 1024 * 1024
const UNSTATED_BYTES = 12 * 1024 * 1024

/** `maxBodyBytes`: the configuration's bound. */
export function responseBounds (maxBodyBytes: () => number): ResponseBounds {
  return { maxBodyBytes, stated: new BufferPool(STATED_BYTES), unstated: new BufferPool(UNSTATED_BYTES) }
}

/** What the target has sent since a request went out. */
export interface Received {
  bytes: number
  bodyBytes: number
  skipped: number
}

/** The bound that is passed, if one is. Chunks may cost as much as they carry. */
export function passedBound ({ bytes, bodyBytes, skipped }: Received, bounds: ResponseBounds): { name: BoundName, limit: number } | undefined {
  const maxBodyBytes = bounds.maxBodyBytes()
  if (bodyBytes > maxBodyBytes) return { name: 'body', limit: maxBodyBytes }
  if (bytes - bodyBytes > MAX_FRAMING_BYTES + bodyBytes) return { name: 'head', limit: MAX_FRAMING_BYTES }
  if (skipped > MAX_SKIPPED) return { name: 'messages', limit: MAX_SKIPPED }
  return undefined
}

/** Length that a response states; undefined when it states none. */
export function statedLength (headers: readonly string[]): number | undefined {
  const value = headerOf(headers, 'content-length')
  if (value === undefined || headerOf(headers, 'transfer-encoding') !== undefined) return undefined
  return /^\d+$/.test(value) ? Number(value) : undefined
}
