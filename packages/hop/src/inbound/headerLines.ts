import { BadResponse } from '../errors.js'

const HEADER_LINE = /^([\w!#$%&'*+\-.^`|~]+):[ \t]*(.*?)[ \t]*$/
const STATUS_LINE = /HTTP\/\d/
/** A status line at the end of a value, after which the header lines of its own response would follow. */
const TRAILING_STATUS_LINE = /HTTP\/\d\.\d \d{3}(?: .*)?$/

/**
 * Adds the name and value of a header line to a list. A line that is none makes the whole response invalid: it may be the status line
 * of another response, after a target broke off an earlier one.
 */
export function parseHeaderLine (line: string, headers: string[]): void {
  const [, name, value] = HEADER_LINE.exec(line) ?? []
  if (name === undefined || value === undefined) throw new BadResponse('a line in the head of a response is no header')
  headers.push(name, value)
}

/** Whether the status line of another response stands within a head, after a target broke off within a line. */
export function isSpliced (reasonPhrase: string, headers: readonly string[]): boolean {
  return STATUS_LINE.test(reasonPhrase) || headers.some((text, i) => i % 2 === 1 && TRAILING_STATUS_LINE.test(text))
}
