import { createHash } from 'node:crypto'
import { headerValue, type HeaderNames } from '../headers.js'
import { FINGERPRINT_CHARS } from './fingerprintFormat.js'

/** What makes a request the same as an earlier one. */
export interface RequestIdentity {
  method: string
  /** Path and query. */
  url: string
  /** Alternating names and values, with the host and the caller's service. */
  headers: readonly string[]
  body: Uint8Array
}

/**
 * Hash of what makes a request the same wherever and whenever it comes again: method, host, path with query, the caller's service
 * and the body. Ids, deadlines and other headers differ between attempts and don't count.
 */
export function requestFingerprint ({ method, url, headers, body }: RequestIdentity, names: Pick<HeaderNames, 'callerService'>): string {
  const host = headerValue(headers, 'host')?.toLowerCase() ?? ''
  const caller = headerValue(headers, names.callerService) ?? ''
  return createHash('sha1').update(`${method}\n${host}\n${url}\n${caller}\n`).update(body).digest('hex').slice(0, FINGERPRINT_CHARS)
}
