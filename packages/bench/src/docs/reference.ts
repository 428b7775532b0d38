import { formatDuration } from '@lentilwheel/config'
import { z } from 'zod'

/** The parts of a JSON schema that a table of fields shows. */
interface FieldSchema {
  type?: string
  description?: string
  format?: string
  limits?: string
  pattern?: string
  enum?: unknown[]
  minimum?: number
  maximum?: number
  maxLength?: number
  minItems?: number
  maxItems?: number
  items?: FieldSchema
  properties?: Record<string, FieldSchema>
  additionalProperties?: FieldSchema | false
  required?: string[]
}

interface FieldRow {
  name: string
  type: string
  defaultValue: string
  description: string
}

/** Generates a Markdown table of the fields of a schema; nested fields are listed with their path. */
export function fieldTable (schema: z.ZodObject): string {
  const json = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as FieldSchema
  return markdownTable(['Field', 'Value', 'Default', 'Meaning'], fieldRows(json, schema, '')
    .map(({ name, type, defaultValue, description }) => [`\`${name}\``, type, defaultValue, description]))
}

function fieldRows (json: FieldSchema, schema: z.ZodObject, prefix: string): FieldRow[] {
  return Object.entries(json.properties ?? {}).flatMap(([name, field]) => {
    const fieldSchema = schema.shape[name] as z.ZodType
    const nested = nestedObject(fieldSchema)
    const path = prefix + name
    if (nested && field.properties) return fieldRows(field, nested, `${path}.`)
    return [{
      name: path,
      type: typeOf(field),
      defaultValue: defaultOf(field, fieldSchema, json.required?.includes(name) ?? false),
      description: field.description ?? ''
    }]
  })
}

function nestedObject (schema: z.ZodType): z.ZodObject | undefined {
  if (schema instanceof z.ZodObject) return schema
  const inner = schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault || schema instanceof z.ZodOptional
    ? schema.unwrap() as z.ZodType
    : undefined
  return inner && nestedObject(inner)
}

function typeOf (field: FieldSchema): string {
  if (field.format === 'duration') return `duration, ${field.limits}`
  if (field.enum) return field.enum.map((value) => `\`${String(value)}\``).join(', ')
  if (field.type === 'array') return `list of ${typeOf(field.items ?? {})}`
  if (field.type === 'object') return `map of ${typeOf(field.additionalProperties || {})}`
  if (field.format === 'date-time') return 'time'
  if (field.format === 'uri') return 'address'
  if (field.format === 'ipv4') return 'IP address'
  return `${field.type ?? 'text'}${rangeOf(field)}`.replace(/^string/, 'text').replace(/^boolean/, '`true` or `false`')
}

function rangeOf (field: FieldSchema): string {
  if (field.minimum !== undefined && field.maximum !== undefined) return `, ${field.minimum} to ${field.maximum}`
  if (field.minimum !== undefined) return `, ${field.minimum} or more`
  return ''
}

function defaultOf (field: FieldSchema, schema: z.ZodType, isRequired: boolean): string {
  if (isRequired) return 'required'
  const parsed = schema.safeParse(undefined)
  if (!parsed.success || parsed.data === undefined) return ''
  if (field.format === 'duration') return formatDuration(parsed.data as number)
  return typeof parsed.data === 'string' ? parsed.data : JSON.stringify(parsed.data)
}

/** Formats a Markdown table; pipes in cells are escaped and line breaks become spaces. */
export function markdownTable (heading: readonly string[], rows: readonly (readonly string[])[]): string {
  const line = (cells: readonly string[]): string =>
    `| ${cells.map((cell) => cell.replaceAll('|', '\\|').replaceAll('\n', ' ')).join(' | ')} |`
  return [line(heading), line(heading.map(() => '---')), ...rows.map(line)].join('\n')
}
