import { styled, wrapBlock, type Style } from './text.js'

/** Where a command prints; `columns` is infinite when the output is not a terminal. */
export interface Streams {
  out (text: string): void
  err (text: string): void
  columns: number
  errIsTerminal: boolean
  colours: boolean
}

/** Prints wrapped text; progress and messages go to standard error so that reports can be piped. */
export class Screen {
  readonly streams: Streams
  #progress = false
  #document: Readonly<Record<string, unknown>> | undefined

  constructor (streams: Streams) {
    this.streams = streams
  }

  /** A sentence or a block of lines on standard output. */
  say (text: string, style?: Style): void {
    this.clearProgress()
    this.streams.out(styled(wrapBlock(text, this.streams.columns), style, this.streams.colours) + '\n')
  }

  /** Text that is already laid out. */
  raw (text: string): void {
    this.clearProgress()
    if (text !== '') this.streams.out(text.endsWith('\n') ? text : text + '\n')
  }

  /** Sets the JSON document of the command; a command prints exactly one, at its end. */
  json (value: Readonly<Record<string, unknown>>): void {
    this.#document = value
  }

  /** Prints the JSON document, together with the error when the command failed. */
  finishJson (error?: Readonly<Record<string, unknown>>): void {
    if (this.#document || error) this.raw(JSON.stringify({ ...this.#document, ...(error && { error }) }, null, 2))
  }

  /** A message that does not belong to the report. */
  note (text: string): void {
    this.clearProgress()
    const columns = this.streams.errIsTerminal ? this.streams.columns : Infinity
    this.streams.err(wrapBlock(text, columns) + '\n')
  }

  /** Replaces the progress line of a terminal; says nothing elsewhere. */
  progress (text: string): void {
    if (!this.streams.errIsTerminal) return
    this.streams.err(`\r\u001b[K${text.slice(0, this.streams.columns - 1)}`)
    this.#progress = true
  }

  clearProgress (): void {
    if (this.#progress) this.streams.err('\r\u001b[K')
    this.#progress = false
  }
}
