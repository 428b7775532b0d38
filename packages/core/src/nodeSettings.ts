import { readFileSync } from 'node:fs'
import { LineCounter, parseDocument, type Document } from 'yaml'
import type { z } from 'zod'
import { SettingsInvalid } from './errors.js'

/** Reads a YAML settings file and checks it; errors name the file, the line and the path. */
export function readSettings<S extends z.ZodType> (file: string, schema: S): z.output<S> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (err) {
    throw new SettingsInvalid(`cannot read settings file ${file}`, err)
  }
  return parseSettings(text, file, schema)
}

export function parseSettings<S extends z.ZodType> (text: string, file: string, schema: S): z.output<S> {
  const lines = new LineCounter()
  const doc = parseDocument(text, { lineCounter: lines })
  const broken = doc.errors[0]
  if (broken) {
    throw new SettingsInvalid(`${file}:${lines.linePos(broken.pos[0]).line}: ${broken.message.split('\n')[0]}`)
  }
  const parsed = schema.safeParse(toPlain(doc, file))
  if (parsed.success) return parsed.data
  const issues = parsed.error.issues.flatMap(withUnknownFields).map(({ path, message }) => {
    const node = doc.getIn(path, true) as { range?: [number, number, number] } | undefined
    const line = node?.range ? lines.linePos(node.range[0]).line : 1
    return `${file}:${line}: ${path.join('.') || 'settings'}: ${message}`
  })
  throw new SettingsInvalid(issues.join('\n'))
}

/** Expanding aliases fails when they multiply. */
function toPlain (doc: Document, file: string): unknown {
  try {
    return doc.toJS() ?? {}
  } catch (err) {
    throw new SettingsInvalid(`${file}: ${(err as Error).message}`)
  }
}

interface PlacedIssue {
  path: string[]
  message: string
}

/** One issue per unknown field, placed at the field itself instead of at the map that holds it. */
function withUnknownFields (issue: z.core.$ZodIssue): PlacedIssue[] {
  const path = issue.path.map(String)
  if (issue.code !== 'unrecognized_keys') return [{ path, message: issue.message }]
  return issue.keys.map((key) => ({ path: [...path, key], message: 'is not a known field' }))
}
