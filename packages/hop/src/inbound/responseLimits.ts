import { headerValue } from '../headers.js'
import { BufferBudget } from '../buffers/bufferBudget.js'
import { createMemoryBudget, DEFAULT_MEMORY_BYTES } from '../buffers/memoryBudget.js'

/** Limits on what a target may send in response to one request, and on the unfinished responses of all requests together. */
export interface ResponseLimits {
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number
  /** Budget for unfinished responses with a declared length. */
  readonly sizedBudget: BufferBudget
  /** Budget for unfinished responses without a declared length, which may never end. */
  readonly unsizedBudget: BufferBudget
}

/**
 * Which limit was exceeded. `head`: bytes other than the body's. `messages`: messages before the awaited response.
 * `buffers`: the budget of all unfinished responses.
 */
export type LimitName = 'head' | 'body' | 'messages' | 'buffers'

/** Bytes of heads, interim responses, chunk framing and trailers that may come with one response, on top of the size of its body. */
const MAX_FRAMING_BYTES = 64 * 1024
/** Interim responses and responses to other requests that may come before the awaited one. */
const MAX_SKIPPED_MESSAGES = 16
/** Largest body of a response; the limits of the configuration bound only what callers send. */
const MAX_BODY_BYTES = 64 * 1024 * 1024
const UNSIZED_BUDGET_BYTES = 12 * 1024 * 1024

/** Creates the limits of one daemon; responses of a declared length count against the budget of the whole process. */
export function createResponseLimits (maxBodyBytes = MAX_BODY_BYTES, sizedBudget = createMemoryBudget(DEFAULT_MEMORY_BYTES)): ResponseLimits {
  return { maxBodyBytes, sizedBudget, unsizedBudget: new BufferBudget(UNSIZED_BUDGET_BYTES) }
}

/** What the target has sent since a request was sent to it. */
export interface Received {
  bytes: number
  bodyBytes: number
  skippedMessages: number
}

/** The limit that is exceeded, if any. The framing of chunks may take as many bytes as they carry. */
export function exceededLimit (
  { bytes, bodyBytes, skippedMessages }: Received, limits: ResponseLimits
): { name: LimitName, limit: number } | undefined {
  const { maxBodyBytes } = limits
  if (bodyBytes > maxBodyBytes) return { name: 'body', limit: maxBodyBytes }
  if (bytes - bodyBytes > MAX_FRAMING_BYTES + bodyBytes) return { name: 'head', limit: MAX_FRAMING_BYTES }
  if (skippedMessages > MAX_SKIPPED_MESSAGES) return { name: 'messages', limit: MAX_SKIPPED_MESSAGES }
  return undefined
}

/** Length of the body that a response declares; undefined when it declares none. */
export function declaredLength (headers: readonly string[]): number | undefined {
  const value = headerValue(headers, 'content-length')
  if (value === undefined || headerValue(headers, 'transfer-encoding') !== undefined) return undefined
  return /^\d+$/.test(value) ? Number(value) : undefined
}
