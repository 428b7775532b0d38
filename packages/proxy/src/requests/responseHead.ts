import { INTERNAL_HEADER_PREFIX, NOT_RUN_HEADER } from '../constants.js'

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'transfer-encoding', 'upgrade', 'te'
])

/** The head of a target's response, reduced to what is forwarded to the caller. */
export interface ResponseHead {
  /** Headers to forward: names and values alternate. */
  headers: string[]
  /** The target states that it has not run the request. */
  notRun: boolean
  hasContentLength: boolean
  hasTrailers: boolean
}

/** Parses the alternating raw header names and values of a target's response. */
export function readResponseHead (raw: readonly (Buffer | string)[]): ResponseHead {
  const head: ResponseHead = { headers: [], notRun: false, hasContentLength: false, hasTrailers: false }
  let connectionOptions = ''
  for (let i = 0; i < raw.length; i += 2) {
    const key = toText(raw[i]!).toLowerCase()
    const value = toText(raw[i + 1]!)
    if (key === 'connection' && value !== 'keep-alive' && value !== 'close') connectionOptions = value.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(key)) continue
    if (key.startsWith(INTERNAL_HEADER_PREFIX)) {
      if (key === NOT_RUN_HEADER) head.notRun = value === '1'
      continue
    }
    if (key === 'content-length') head.hasContentLength = true
    else if (key === 'trailer') head.hasTrailers = true
    head.headers.push(key, value)
  }
  if (connectionOptions !== '') removeConnectionOptions(head.headers, connectionOptions)
  return head
}

/** Removes the headers that the target's `connection` header names, except the length of the body. */
function removeConnectionOptions (headers: string[], connectionOptions: string): void {
  const names = connectionOptions.split(',').map((name) => name.trim()).filter((name) => name !== 'content-length')
  for (let i = headers.length - 2; i >= 0; i -= 2) {
    if (names.includes(headers[i]!)) headers.splice(i, 2)
  }
}

function toText (raw: Buffer | string): string {
  return typeof raw === 'string' ? raw : raw.toString('latin1')
}
