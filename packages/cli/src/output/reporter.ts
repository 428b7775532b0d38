import type { CommandContext, CommonOptions } from '../context.js'
import { textOption } from '../context.js'
import { UsageError } from '../errors.js'
import type { ReportName, Row } from '../reports/reportFields.js'
import { columnsOf, parseLayout, type Layout } from './layout.js'
import { renderCsv, renderTable } from './table.js'
import type { Style } from './text.js'

export type OutputFormat = 'text' | 'csv' | 'json'

const STATE_STYLES: Readonly<Record<string, Style>> = {
  done: 'green', running: 'yellow', finishing: 'yellow', paused: 'yellow', late: 'red', 'taken back': 'red', 'being taken back': 'red'
}

/** Prints the report of a command as text, CSV or JSON, whichever the options ask for. */
export class Reporter {
  readonly format: OutputFormat
  readonly #ctx: CommandContext
  readonly #layout: Layout | undefined
  #printedTables = 0

  constructor (ctx: CommandContext, opts: CommonOptions) {
    if (opts.json && opts.csv) throw new UsageError('--json and --csv exclude each other')
    this.format = opts.json ? 'json' : opts.csv ? 'csv' : 'text'
    this.#ctx = ctx
    const file = textOption(opts.layout, 'layout') ?? ctx.settings.layout
    this.#layout = file === undefined ? undefined : parseLayout(new TextDecoder().decode(ctx.readFile(file)), file)
  }

  /** Prints a sentence; left out of CSV and JSON. */
  print (text: string, style?: Style): void {
    if (this.format === 'text') this.#ctx.screen.print(text, style)
  }

  heading (text: string): void {
    this.print('')
    this.print(text, 'bold')
  }

  /** Sets the whole report as JSON; ignored in the other formats. */
  json (value: object): void {
    if (this.format === 'json') this.#ctx.screen.setJson({ ...value })
  }

  /** Prints a table as text or CSV; several CSV tables are separated by an empty line. */
  table<R extends ReportName> (report: R, rows: readonly Row<R>[]): void {
    if (this.format === 'json') return
    const columns = columnsOf(report, this.#layout, this.#ctx.defaultLayout)
    const { screen } = this.#ctx
    if (this.format === 'csv') {
      screen.printRaw((this.#printedTables++ > 0 ? '\n' : '') + renderCsv(rows, columns))
      return
    }
    if (rows.length === 0) return
    const { columns: width, colours } = screen.streams
    const style = (field: string, text: string): Style | undefined =>
      field === 'state' ? STATE_STYLES[text] : field === 'reason' ? 'yellow' : undefined
    screen.printRaw(renderTable(rows, { columns, width, colours, style }))
  }

  /** Prints what could not be read or is incomplete to standard error, and so in every format. */
  notices (notices: readonly string[]): void {
    for (const notice of notices) this.#ctx.screen.printNotice(notice)
  }
}
