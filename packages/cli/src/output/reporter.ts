import type { CommandContext, CommonOptions } from '../context.js'
import { textOption } from '../context.js'
import { UsageError } from '../errors.js'
import type { ReportName, Row } from '../reports/fields.js'
import { columnsOf, parseLayout, type Layout } from './layout.js'
import { renderCsv, renderTable } from './table.js'
import type { Style } from './text.js'

export type OutputForm = 'text' | 'csv' | 'json'

const STATE_STYLES: Readonly<Record<string, Style>> = {
  done: 'green', running: 'yellow', finishing: 'yellow', paused: 'yellow', late: 'red', 'taken back': 'red', 'being taken back': 'red'
}

/** Prints a report in the form that the operator asked for. */
export class Reporter {
  readonly form: OutputForm
  readonly #ctx: CommandContext
  readonly #layout: Layout | undefined
  #tables = 0

  constructor (ctx: CommandContext, opts: CommonOptions) {
    if (opts.json && opts.csv) throw new UsageError('--json and --csv exclude each other')
    this.form = opts.json ? 'json' : opts.csv ? 'csv' : 'text'
    this.#ctx = ctx
    const file = textOption(opts.layout, 'layout') ?? ctx.settings.layout
    this.#layout = file === undefined ? undefined : parseLayout(new TextDecoder().decode(ctx.readFile(file)), file)
  }

  /** A sentence; left out of CSV and JSON. */
  say (text: string, style?: Style): void {
    if (this.form === 'text') this.#ctx.screen.say(text, style)
  }

  heading (text: string): void {
    this.say('')
    this.say(text, 'bold')
  }

  /** The whole report as JSON; left out of the other forms. */
  json (value: object): void {
    if (this.form === 'json') this.#ctx.screen.json({ ...value })
  }

  /** A table as text or CSV; several CSV tables are separated by an empty line. */
  table<R extends ReportName> (report: R, rows: readonly Row<R>[]): void {
    if (this.form === 'json') return
    const columns = columnsOf(report, this.#layout, this.#ctx.defaultLayout)
    const { screen } = this.#ctx
    if (this.form === 'csv') {
      screen.raw((this.#tables++ > 0 ? '\n' : '') + renderCsv(rows, columns))
      return
    }
    if (rows.length === 0) return
    const { columns: width, colours } = screen.streams
    const style = (field: string, text: string): Style | undefined =>
      field === 'state' ? STATE_STYLES[text] : field === 'reason' ? 'yellow' : undefined
    screen.raw(renderTable(rows, { columns, width, colours, style }))
  }

  /** What could not be read or is incomplete; on standard error, so that every form keeps it. */
  notices (notices: readonly string[]): void {
    for (const notice of notices) this.#ctx.screen.note(notice)
  }
}
