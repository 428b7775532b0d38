import { parseSettings, toError } from '@lentilwheel/core'
import { suggestion } from '@lentilwheel/config'
import { z } from 'zod'
import { LayoutInvalid } from '../errors.js'
import { REPORT_FIELDS, REPORT_NAMES, type ReportName } from '../reports/reportFields.js'

export const FORMATS = ['text', 'integer', 'decimal', 'percent', 'time', 'exactTime'] as const
export type Format = typeof FORMATS[number]

/** In characters. */
const MAX_WIDTH = 500

/** A column of a report, as a layout file defines it. */
export const columnSchema = z.strictObject({
  title: z.string().min(1).max(60).describe('Heading of the column'),
  field: z.string().describe('Field of the report, see the list of fields'),
  width: z.int().min(1).max(MAX_WIDTH).default(16).describe('Characters; longer values wrap'),
  order: z.number().optional().describe('Place among the columns, lowest first; columns without it keep their place'),
  format: z.enum(FORMATS).default('text').describe('text, integer, decimal, percent, time or exactTime'),
  decimals: z.int().min(0).max(6).default(0).describe('Digits after the point for decimal and percent')
})

export const layoutSchema = z.strictObject({
  reports: z.partialRecord(z.enum(REPORT_NAMES), z.strictObject({
    columns: z.array(columnSchema).min(1).max(40).describe('Columns of the report')
  })).describe('Columns by report; reports that are not named keep the default')
})

export type Column = z.output<typeof columnSchema>
export type Layout = z.output<typeof layoutSchema>

/** Parses a layout file. Fields that the report does not have are an error, since a misspelt one would be an empty column. */
export function parseLayout (text: string, file: string): Layout {
  let layout: Layout
  try {
    layout = parseSettings(text, file, layoutSchema)
  } catch (err) {
    throw new LayoutInvalid(toError(err)!.message)
  }
  for (const [report, { columns }] of Object.entries(layout.reports)) {
    const known: readonly string[] = REPORT_FIELDS[report as ReportName]
    const wrong = columns.findIndex((column) => !known.includes(column.field))
    if (wrong < 0) continue
    const field = columns[wrong]!.field
    throw new LayoutInvalid(`${file}: reports.${report}.columns.${wrong}.field: report "${report}" has no field ` +
      `"${field}"${suggestion(field, known)}; it has ${known.join(', ')}`)
  }
  return layout
}

/** Columns of one report in their order; `fallback` is the default layout, which has every report. */
export function columnsOf (report: ReportName, layout: Layout | undefined, fallback: Layout): Column[] {
  const columns = layout?.reports[report]?.columns ?? fallback.reports[report]!.columns
  const position = new Map(columns.map((column, i) => [column, column.order ?? i + 1]))
  return columns.toSorted((a, b) => position.get(a)! - position.get(b)!)
}
