import { deflateSync, inflateSync } from 'node:zlib'
import { headSchema, type Head } from '@lentilwheel/config'
import { encodeJson } from './platformClient.js'
import { PlatformBadAnswer } from './errors.js'

/** Size of the JSON from which a head is compressed; smaller heads stay readable. */
const MIN_DEFLATE_BYTES = 256 * 1024
/** Maximum size of an encoded head, below the platform's limit of 1 MB. Uncompressed, a head with 22,000 objects takes 1.3 MB. */
export const MAX_HEAD_BYTES = 900 * 1024
/** Limits the memory that a faulty value can take. */
const MAX_INFLATED_BYTES = 32 * 1024 * 1024
/** First byte of an uncompressed head; a compressed one starts with the zlib header. */
const OPENING_BRACE = 0x7b

/** Encodes a head for the platform. If it is too large, drops what the oldest changes replaced, so they can't be undone. */
export function encodeHead (head: Head): Uint8Array {
  const value = encode(head)
  if (value.length <= MAX_HEAD_BYTES) return value
  const oldest = head.changes.findIndex((change) => Object.keys(change.replaced).length > 0)
  if (oldest < 0) return value
  const changes = head.changes.map((change, index) => index === oldest ? { ...change, replaced: {} } : change)
  return encodeHead({ ...head, changes })
}

function encode (head: Head): Uint8Array {
  const json = encodeJson(head)
  return json.length < MIN_DEFLATE_BYTES ? json : new Uint8Array(deflateSync(json))
}

export function decodeHead (value: Uint8Array): Head {
  try {
    const json = value[0] === OPENING_BRACE ? value : inflateSync(value, { maxOutputLength: MAX_INFLATED_BYTES })
    return headSchema.parse(JSON.parse(new TextDecoder().decode(json)))
  } catch (err) {
    throw new PlatformBadAnswer('the head object is not a configuration head', err)
  }
}
