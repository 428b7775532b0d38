/** Replaces control characters by spaces, so that text from other processes can't send commands to the terminal. */
export function stripControlChars (text: string): string {
  // eslint-disable-next-line no-control-regex
  return text.replace(/[\u0000-\u001f\u007f-\u009f]+/g, ' ')
}

/** Breaks text into lines of at most `width` characters, at spaces or inside words that are longer. */
export function wrapText (text: string, width: number): string[] {
  const lines: string[] = []
  let line = ''
  for (const word of text.split(' ')) {
    if (line !== '' && line.length + 1 + word.length > width) {
      lines.push(line)
      line = ''
    }
    line = line === '' ? word : `${line} ${word}`
    while (line.length > width) {
      lines.push(line.slice(0, width))
      line = line.slice(width)
    }
  }
  lines.push(line)
  return lines
}

/** Wraps each line of a text; the continuation lines get the indent of the line that they continue. */
export function wrapBlock (text: string, width: number): string {
  if (!Number.isFinite(width)) return text
  return text.split('\n').flatMap((line) => {
    const indent = /^ */.exec(line)![0].slice(0, Math.floor(width / 2))
    return wrapText(line.trimStart(), width - indent.length).map((part) => indent + part)
  }).join('\n')
}

const STYLES = { bold: 1, red: 31, green: 32, yellow: 33, dim: 2 } as const
export type Style = keyof typeof STYLES

/** Adds a terminal style if colours are enabled. */
export function styled (text: string, style: Style | undefined, colours: boolean): string {
  return colours && style !== undefined ? `\u001b[${STYLES[style]}m${text}\u001b[0m` : text
}

/** `1 daemon`, `2 daemons`. */
export function pluralise (n: number, noun: string): string {
  return `${n} ${noun}${n === 1 ? '' : 's'}`
}

/** UTC time to the second, as in all reports. */
export function formatTime (unixMs: number): string {
  if (!isDateInRange(unixMs)) return String(unixMs)
  return new Date(unixMs).toISOString().replace('T', ' ').replace(/\.\d+Z$/, 'Z')
}

/** UTC time with milliseconds, for timelines. */
export function formatExactTime (unixMs: number): string {
  return isDateInRange(unixMs) ? new Date(unixMs).toISOString().replace('T', ' ') : String(unixMs)
}

/** Largest time that a Date can hold; toISOString throws beyond it. */
const MAX_DATE_MS = 8.64e15

function isDateInRange (unixMs: number): boolean {
  return Math.abs(unixMs) <= MAX_DATE_MS
}
