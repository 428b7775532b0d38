import { readFileSync } from 'node:fs'
import { isMap, isNode, isScalar, LineCounter, parseDocument, type Document } from 'yaml'
import type { z } from 'zod'
import { SettingsInvalid } from './errors.js'

/**
 * Reads a YAML settings file and validates it against the schema. Throws SettingsInvalid with file, line and path of
 * each issue.
 */
export function readSettings<S extends z.ZodType> (file: string, schema: S): z.output<S> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (err) {
    throw new SettingsInvalid(`cannot read settings file ${file}`, err)
  }
  return parseSettings(text, file, schema)
}

/** Like readSettings, for text already read; `file` is used in error messages only. */
export function parseSettings<S extends z.ZodType> (text: string, file: string, schema: S): z.output<S> {
  const lines = new LineCounter()
  const doc = parseDocument(text, { lineCounter: lines })
  const syntaxError = doc.errors[0]
  if (syntaxError) {
    throw new SettingsInvalid(`${file}:${lines.linePos(syntaxError.pos[0]).line}: ${syntaxError.message.split('\n')[0]!.replace(/ at line \d+, column \d+:?$/, '')}`)
  }
  const parsed = schema.safeParse(toPlainValue(doc, file))
  if (parsed.success) return parsed.data
  const lineOf = (path: readonly string[]): number => {
    const key = path.at(-1)
    const parent = doc.getIn(path.slice(0, -1), true)
    const pair = isMap(parent) ? parent.items.find((item) => isScalar(item.key) && item.key.value === key) : undefined
    const node = pair?.key ?? doc.getIn(path, true)
    return isNode(node) && node.range ? lines.linePos(node.range[0]).line : 1
  }
  const issues = parsed.error.issues.flatMap((issue) => locateIssue(issue))
  throw new SettingsInvalid(issues.map(({ path, message }) =>
    `${file}:${lineOf(path)}: ${path.join('.') || 'settings'}: ${message}`).join('\n'))
}

/**
 * Converts the document to a plain value, which fails if aliases expand too far or have no anchor. The error message
 * leaves out the alias, because a secret key may look like one.
 */
function toPlainValue (doc: Document, file: string): unknown {
  try {
    return doc.toJS() ?? {}
  } catch (err) {
    throw new SettingsInvalid(`${file}: ${(err as Error).message.split(': ')[0]}`)
  }
}

interface LocatedIssue {
  path: string[]
  message: string
}

/** Path and message of an issue; an unknown setting gets its own path instead of that of its section. */
function locateIssue (issue: z.core.$ZodIssue): LocatedIssue[] {
  const path = issue.path.map(String)
  if (issue.code !== 'unrecognized_keys') return [{ path, message: issue.message }]
  return issue.keys.map((key) => ({ path: [...path, key], message: 'is not a known setting' }))
}
