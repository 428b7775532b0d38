import { HTTPParser, type HeaderInfo } from 'http-parser-js'
import { BadResponse } from '../errors.js'
import { countHeader, headerValue } from '../headers.js'

// http-parser-js reads numbers from the beginning of a text and ignores the rest. A message that HTTP doesn't allow would be judged by
// the part of it that could be read, so its lines and framing headers are checked here.

/** Status line of HTTP/1.x with a status of a class that HTTP knows. */
const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/
const STATUS_LINE_START = 'HTTP/1.'
/** Size of a chunk, and extensions; more digits would exceed the numbers that are exact. */
const CHUNK_SIZE_LINE = /^[\da-f]{1,12}[ \t]*(?:;.*)?$/i
const CONTENT_LENGTH = /^\d{1,15}$/

const INTERIM_STATUS_LIMIT = 200
const SWITCHING_PROTOCOLS_STATUS = 101
/** Statuses of final responses that never have a body, whatever length they declare. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** The parser's state and its method for lines, which its type declarations lack or hide. */
interface LineParser {
  state: string
  /** What has arrived of an incomplete line. */
  line: string
  consumeLine (): string | undefined
}

/** Makes a parser of responses fail on a status line or a chunk size that HTTP doesn't allow, as soon as that shows. */
export function checkLines (parser: InstanceType<typeof HTTPParser>): void {
  const lines = parser as unknown as LineParser
  const consumeLine = lines.consumeLine.bind(lines)
  // The line is put together anew for each look at it, so an incomplete one is looked at only until its start is known.
  let isStartKnown = false
  lines.consumeLine = () => {
    const line = consumeLine()
    if (line !== undefined) checkLine(lines.state, line)
    else if (!isStartKnown) checkPartialLine(lines)
    isStartKnown = line === undefined && lines.line.length >= STATUS_LINE_START.length
    return line
  }
}

/** Whether a response has no body, by its status or the method of its request. */
export function isBodiless (method: string, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status)
}

/**
 * Whether the head of a response tells unambiguously where it ends. An interim response has no body, and a switch to another
 * protocol is never asked for.
 */
export function isFramed ({ statusCode, versionMinor, headers }: HeaderInfo): boolean {
  const codings = countHeader(headers, 'transfer-encoding')
  const lengths = headers.filter((_value, i) => i % 2 === 1 && headers[i - 1]!.toLowerCase() === 'content-length')
  if (statusCode === SWITCHING_PROTOCOLS_STATUS) return false
  if (lengths.some((length) => length !== lengths[0] || !CONTENT_LENGTH.test(length))) return false
  if (statusCode < INTERIM_STATUS_LIMIT) return codings === 0 && Number(lengths[0] ?? 0) === 0
  if (codings === 0) return true
  return codings === 1 && lengths.length === 0 && versionMinor > 0 && headerValue(headers, 'transfer-encoding')!.toLowerCase() === 'chunked'
}

/** An empty line may come before a status line. */
function checkLine (state: string, line: string): void {
  if (state === 'RESPONSE_LINE' && line !== '' && !STATUS_LINE.test(line)) throw new BadResponse('the status line of a response is not one of HTTP/1')
  if (state === 'BODY_CHUNKHEAD' && !CHUNK_SIZE_LINE.test(line)) throw new BadResponse('the size of a chunk of a response is no hexadecimal number')
}

function checkPartialLine ({ state, line }: LineParser): void {
  if (state !== 'RESPONSE_LINE' || line === '\r') return
  if (!line.startsWith(STATUS_LINE_START) && !STATUS_LINE_START.startsWith(line)) throw new BadResponse('a response does not begin with a status line of HTTP/1')
}
