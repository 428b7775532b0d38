import { INTERNAL_HEADER_PREFIX, NOT_RUN_HEADER } from '../constants.js'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'transfer-encoding', 'upgrade', 'te'
])

/** A target's answer head with the parts that go on to the caller. */
export interface ResponseHead {
  /** Names and values, flat. */
  headers: string[]
  /** The target says that it has not run the request. */
  notRun: boolean
  hasLength: boolean
  hasTrailers: boolean
}

/** Reads raw header names and values as they came from the target. */
export function readResponseHead (raw: readonly (Buffer | string)[]): ResponseHead {
  const head: ResponseHead = { headers: [], notRun: false, hasLength: false, hasTrailers: false }
  let nominated = ''
  for (let i = 0; i < raw.length; i += 2) {
    const key = text(raw[i]!).toLowerCase()
    const value = text(raw[i + 1]!)
    if (key === 'connection' && value !== 'keep-alive' && value !== 'close') nominated = value.toLowerCase()
    if (HOP_BY_HOP.has(key)) continue
    if (key.startsWith(INTERNAL_HEADER_PREFIX)) {
      if (key === NOT_RUN_HEADER) head.notRun = value === '1'
      continue
    }
    if (key === 'content-length') head.hasLength = true
    else if (key === 'trailer') head.hasTrailers = true
    head.headers.push(key, value)
  }
  if (nominated !== '') removeNominated(head.headers, nominated)
  return head
}

/** Removes the headers that the target's connection header names, but never the length of the body. */
function removeNominated (headers: string[], connection: string): void {
  const names = connection.split(',').map((name) => name.trim()).filter((name) => name !== 'content-length')
  for (let i = headers.length - 2; i >= 0; i -= 2) {
    if (names.includes(headers[i]!)) headers.splice(i, 2)
  }
}

function text (raw: Buffer | string): string {
  return typeof raw === 'string' ? raw : raw.toString('latin1')
}
