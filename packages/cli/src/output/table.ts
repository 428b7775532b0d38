import type { Cell, Row } from '../reports/reportFields.js'
import type { Column, Format } from './layout.js'
import { formatExactTime, formatTime, stripControlChars, styled, wrapText, type Style } from './text.js'

/** Space between columns. */
const GAP = '  '

export interface TableOptions {
  columns: readonly Column[]
  /** Width of the terminal in characters; infinite if the output is not a terminal. */
  width: number
  colours: boolean
  /** Style of a value, by its field and text. */
  style?: (field: string, text: string) => Style | undefined
}

/** Formats a cell by the format of its column, without control characters. */
export function formatCell (value: Cell, column: Pick<Column, 'format' | 'decimals'>): string {
  if (value === undefined) return ''
  if (typeof value === 'string' || column.format === 'text') return stripControlChars(String(value))
  return NUMBER_FORMATS[column.format](value, column.decimals)
}

const NUMBER_FORMATS: Record<Exclude<Format, 'text'>, (value: number, decimals: number) => string> = {
  integer: (value) => String(Math.round(value)),
  decimal: (value, decimals) => value.toFixed(decimals),
  percent: (value, decimals) => `${(value * 100).toFixed(decimals)}%`,
  time: formatTime,
  exactTime: formatExactTime
}

/** Renders rows in columns of fixed width, or as one block per row if the terminal is too narrow for that. */
export function renderTable (rows: readonly Row[], opts: TableOptions): string {
  const cells = rows.map((row) => opts.columns.map((column) => formatCell(valueOf(row, column), column)))
  const total = opts.columns.reduce((sum, column) => sum + column.width + GAP.length, -GAP.length)
  return total > opts.width ? stackedRows(cells, opts) : fixedRows(cells, opts, total)
}

function valueOf (row: Row, column: Column): Cell {
  return (row as Readonly<Record<string, Cell>>)[column.field]
}

function isNumeric (column: Column): boolean {
  return column.format === 'integer' || column.format === 'decimal' || column.format === 'percent'
}

function fixedRows (cells: readonly string[][], opts: TableOptions, total: number): string {
  const last = opts.columns.at(-1)
  const widths = opts.columns.map((column) =>
    column === last && !isNumeric(column) ? column.width + opts.width - total : column.width)
  const heading = opts.columns.map((column) => column.title)
  const lines = fixedRow(heading, widths, opts, () => 'bold')
  for (const row of cells) {
    lines.push(...fixedRow(row, widths, opts, (i) => opts.style?.(opts.columns[i]!.field, row[i]!)))
  }
  return lines.join('\n')
}

function fixedRow (
  texts: readonly string[], widths: readonly number[], opts: TableOptions, style: (i: number) => Style | undefined
): string[] {
  const wrapped = texts.map((text, i) => wrapText(text, widths[i]!))
  const height = Math.max(...wrapped.map((lines) => lines.length))
  return Array.from({ length: height }, (_, lineNo) => wrapped.map((lines, i) => {
    const text = lines[lineNo] ?? ''
    const isRightAligned = isNumeric(opts.columns[i]!)
    const padding = ' '.repeat(Number.isFinite(widths[i]!) ? widths[i]! - text.length : 0)
    const shown = text === '' ? '' : styled(text, style(i), opts.colours)
    return isRightAligned ? padding + shown : shown + padding
  }).join(GAP).trimEnd())
}

/** One block per row: the first value as a heading, the others below it as `title: value`. */
function stackedRows (cells: readonly string[][], opts: TableOptions): string {
  const blocks = cells.map((row) => row.flatMap((text, i) => {
    if (text === '') return []
    const column = opts.columns[i]!
    const indent = i === 0 ? '' : GAP
    const lines = wrapText(`${column.title}: ${text}`, Math.max(1, opts.width - indent.length))
    const style = i === 0 ? 'bold' : opts.style?.(column.field, text)
    return lines.map((line) => indent + styled(line, style, opts.colours))
  }).join('\n'))
  return blocks.join('\n')
}

/** Renders rows as CSV by RFC 4180, with the columns of the layout but regardless of their widths. */
export function renderCsv (rows: readonly Row[], columns: readonly Column[]): string {
  const lines = [columns.map((column) => column.title)]
  for (const row of rows) lines.push(columns.map((column) => formatCell(valueOf(row, column), column)))
  return lines.map((line) => line.map(csvField).join(',')).join('\n')
}

function csvField (text: string): string {
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text
}
