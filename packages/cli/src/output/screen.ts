import { styled, wrapBlock, type Style } from './text.js'

/** Output streams of a command; `columns` is infinite if the output is not a terminal. */
export interface Streams {
  out (text: string): void
  err (text: string): void
  columns: number
  errIsTerminal: boolean
  colours: boolean
}

/** Prints the output of a command, wrapped to the terminal. Progress and notices go to standard error, so that reports can be piped. */
export class Screen {
  readonly streams: Streams
  #hasProgress = false
  #document: Readonly<Record<string, unknown>> | undefined

  constructor (streams: Streams) {
    this.streams = streams
  }

  /** Prints a sentence or a block of lines, wrapped, to standard output. */
  print (text: string, style?: Style): void {
    this.clearProgress()
    this.streams.out(styled(wrapBlock(text, this.streams.columns), style, this.streams.colours) + '\n')
  }

  /** Prints text to standard output without wrapping it. */
  printRaw (text: string): void {
    this.clearProgress()
    if (text !== '') this.streams.out(text.endsWith('\n') ? text : text + '\n')
  }

  /** Sets the JSON document of the command, which is printed once, at its end. */
  setJson (value: Readonly<Record<string, unknown>>): void {
    this.#document = value
  }

  /** Prints the JSON document, with the error if the command failed. */
  finishJson (error?: Readonly<Record<string, unknown>>): void {
    if (this.#document || error) this.printRaw(JSON.stringify({ ...this.#document, ...(error && { error }) }, null, 2))
  }

  /** Prints a message that does not belong to the report to standard error. */
  printNotice (text: string): void {
    this.clearProgress()
    const columns = this.streams.errIsTerminal ? this.streams.columns : Infinity
    this.streams.err(wrapBlock(text, columns) + '\n')
  }

  /** Replaces the progress line on a terminal; does nothing if standard error is not one. */
  progress (text: string): void {
    if (!this.streams.errIsTerminal) return
    this.streams.err(`\r\u001b[K${text.slice(0, this.streams.columns - 1)}`)
    this.#hasProgress = true
  }

  clearProgress (): void {
    if (this.#hasProgress) this.streams.err('\r\u001b[K')
    this.#hasProgress = false
  }
}
