import { readFileSync } from 'node:fs'
import { LineCounter, parseDocument } from 'yaml'
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
  const parsed = schema.safeParse(doc.toJS() ?? {})
  if (parsed.success) return parsed.data
  const issues = parsed.error.issues.map((issue) => {
    const path = issue.path.map(String)
    const node = doc.getIn(path, true) as { range?: [number, number, number] } | undefined
    const line = node?.range ? lines.linePos(node.range[0]).line : 1
    return `${file}:${line}: ${path.join('.') || 'settings'}: ${issue.message}`
  })
  throw new SettingsInvalid(issues.join('\n'))
}
