import type { HeaderNames } from '../headers.js'
import type { CallMessage } from '../link/messages.js'

/** Longer bodies aren't copied to be sent together with their head. */
const MAX_COPIED_BYTES = 64 * 1024

/** A serialized request: its first bytes, and the body where that is too long to be copied. */
export interface SerializedRequest {
  bytes: Buffer
  body?: Uint8Array
}

/** Serializes a call as an HTTP/1.1 request to the target; adds the deadline, the expected target and the length of the body. */
export function serializeRequest (call: CallMessage, deadlineMs: number, names: HeaderNames): SerializedRequest {
  const added = [
    names.deadline, String(Math.max(1, Math.floor(deadlineMs))),
    names.expectedTarget, call.targetId
  ]
  if (call.body.length > 0 || BODY_METHODS.has(call.method)) added.push('Content-Length', String(call.body.length))
  let head = `${call.method} ${call.url} HTTP/1.1\r\n`
  const all = [...call.headers, ...added]
  for (let i = 0; i < all.length; i += 2) head += `${all[i]}: ${all[i + 1]}\r\n`
  const headBytes = Buffer.from(`${head}\r\n`, 'latin1')
  return call.body.length > MAX_COPIED_BYTES ? { bytes: headBytes, body: call.body } : { bytes: Buffer.concat([headBytes, call.body]) }
}

/** Methods whose requests state their length even when the body is empty. */
const BODY_METHODS: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH'])
