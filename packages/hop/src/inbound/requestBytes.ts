import type { CallMessage } from '../link/messages.js'
import type { HeaderNames } from './targetResult.js'

/** Serializes a call as the target reads it, with the headers that this system sets itself. */
export function requestBytes (call: CallMessage, deadlineMs: number, names: HeaderNames): Buffer {
  const own = [
    names.deadline, String(Math.max(1, Math.floor(deadlineMs))),
    names.expectedTarget, call.targetId
  ]
  if (call.body.length > 0 || BODY_METHODS.has(call.method)) own.push('Content-Length', String(call.body.length))
  let head = `${call.method} ${call.url} HTTP/1.1\r\n`
  const all = [...call.headers, ...own]
  for (let i = 0; i < all.length; i += 2) head += `${all[i]}: ${all[i + 1]}\r\n`
  return Buffer.concat([Buffer.from(`${head}\r\n`, 'latin1'), call.body])
}

const BODY_METHODS: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH'])
