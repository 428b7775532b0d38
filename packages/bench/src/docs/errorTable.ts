import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { markdownTable } from './reference.js'

/** An error class as found in the source. */
export interface ErrorClass {
  name: string
  code: string
  /** The first paragraph of its doc comment. */
  meaning: string
}

const ERROR_CLASS = /\/\*\*((?:(?!\*\/)[^])*)\*\/\s*export class (\w+) extends LentilwheelError \{\s*(?:override )?readonly code = '([^']+)'/g

/** Finds the documented error classes in the source of all packages, sorted by code. */
export function findErrorClasses (packagesDir: string): ErrorClass[] {
  const files = readdirSync(packagesDir, { recursive: true, encoding: 'utf8' })
    .filter((file) => /^[^/]+\/src\/.*\.ts$/.test(file) && !file.includes('__tests__'))
  return files
    .flatMap((file) => classesIn(readFileSync(join(packagesDir, file), 'utf8')))
    .sort((a, b) => (a.code < b.code ? -1 : 1))
}

function classesIn (text: string): ErrorClass[] {
  return [...text.matchAll(ERROR_CLASS)].map(([, comment, name, code]) => ({
    name: name!, code: code!, meaning: firstParagraph(comment!)
  }))
}

function firstParagraph (comment: string): string {
  const lines = comment.split('\n').map((line) => line.replace(/^\s*\*? ?/, '').trim())
  const text = lines.join('\n').trim().split('\n\n')[0]!
  return text.replaceAll('\n', ' ')
}

/** Reads the last column of an error table, what to do, by error code. */
export function adviceInTable (table: string): Map<string, string> {
  return new Map(table.split('\n')
    .map((line) => /^\| `([^`]+)` \|.*\| (.*) \|$/.exec(line))
    .filter((found) => found !== null)
    .map((found) => [found[1]!, found[2]!.trim()]))
}

/** Generates the table of errors from the source; the last column is written by hand and copied from the current table. */
export function errorTable (classes: readonly ErrorClass[], current: string): string {
  const advice = adviceInTable(current)
  return markdownTable(['Code', 'Class', 'What it means', 'What to do'], classes.map(({ code, name, meaning }) =>
    [`\`${code}\``, `\`${name}\``, meaning, advice.get(code) ?? '']))
}
