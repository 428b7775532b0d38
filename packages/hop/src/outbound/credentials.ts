import { keyHash } from '@lentilwheel/core'

/** Header with the key of the caller's workspace. */
const KEY_HEADER = 'authorization'
const BEARER = /^bearer +([^ ]+)$/i

/** What a request says about the workspace of its caller. `malformed`: its key header holds something else than one key. */
export type Credentials = { kind: 'none' } | { kind: 'malformed' } | { kind: 'key', hash: string }

/** Reads the key header of a request; of the key only the hash is returned. */
export function readCredentials (headers: readonly string[]): Credentials {
  const values = headers.filter((_, i) => i % 2 === 1 && headers[i - 1]!.toLowerCase() === KEY_HEADER)
  if (values.length === 0) return { kind: 'none' }
  const key = values.length === 1 ? BEARER.exec(values[0]!)?.[1] : undefined
  // The HTTP parser decodes header bytes as Latin-1.
  return key === undefined ? { kind: 'malformed' } : { kind: 'key', hash: keyHash(key, 'latin1') }
}

/** The headers without the key header. */
export function withoutCredentials (headers: readonly string[]): string[] {
  return headers.filter((_, i) => headers[i - i % 2]!.toLowerCase() !== KEY_HEADER)
}
