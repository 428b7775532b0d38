import { BadResponse } from '../errors.js'

/** A token, as HTTP defines it. */
export const HEADER_NAME = /^[\w!#$%&'*+\-.^`|~]+$/
const BLANKS: ReadonlySet<number> = new Set([0x20, 0x09])
const STATUS_LINE = /HTTP\/\d/
/** A status line at the end of a value, after which the header lines of its own response would follow. */
const TRAILING_STATUS_LINE = /HTTP\/\d\.\d \d{3}(?: .*)?$/

/**
 * Adds the name and value of a header line to a list. A line that is none makes the whole response invalid: it may be the status line
 * of another response, after a target broke off an earlier one.
 */
export function parseHeaderLine (line: string, headers: string[]): void {
  const colon = line.indexOf(':')
  const name = line.slice(0, Math.max(0, colon))
  if (!HEADER_NAME.test(name) || line.includes('\r')) throw new BadResponse('a line in the head of a response is no header')
  headers.push(name, trimBlanks(line, colon + 1))
}

/** The text from `start` on without blanks at both ends. Each character is looked at once: an expression for both ends would try each blank inside again. */
export function trimBlanks (text: string, start: number): string {
  let end = text.length
  while (start < end && BLANKS.has(text.charCodeAt(start))) start++
  while (start < end && BLANKS.has(text.charCodeAt(end - 1))) end--
  return text.slice(start, end)
}

/** Whether the status line of another response stands within a head, after a target broke off within a line. */
export function isSpliced (reasonPhrase: string, headers: readonly string[]): boolean {
  return STATUS_LINE.test(reasonPhrase) || headers.some((text, i) => i % 2 === 1 && TRAILING_STATUS_LINE.test(text))
}
