import { Packr } from 'msgpackr'
import { BadMessage } from '../errors.js'

/** Plain MessagePack, so that daemons of different builds can read each other. */
const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true, int64AsType: 'number' })

export function encode (message: object): Buffer {
  return packr.pack(message)
}

/** Decodes a message of the expected shape; peers run the same protocol, so only the fields that must exist are checked. */
export function decode<T extends object> (bytes: Uint8Array, required: readonly (keyof T & string)[]): T {
  let value: unknown
  try {
    value = packr.unpack(bytes)
  } catch (err) {
    throw new BadMessage('a peer sent bytes that are no message', err)
  }
  if (typeof value !== 'object' || value === null) throw new BadMessage('a peer sent a message that is no object')
  for (const field of required) {
    if (!(field in value)) throw new BadMessage(`a peer sent a message without "${field}"`)
  }
  return value as T
}
