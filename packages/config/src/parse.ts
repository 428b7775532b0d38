import { LineCounter, parseDocument, type Document } from 'yaml'
import type { z } from 'zod'
import { checkReferences } from './checkReferences.js'
import { MAX_MOVES, MAX_REPORTED_ISSUES, MAX_ROUTES, MAX_SERVICES, MAX_CONFIG_FILE_BYTES } from './constants.js'
import { ConfigInvalid, type ConfigIssue } from './errors.js'
import { configSchema, moveSchema, routeSchema, serviceSchema, type Config, type ConfigInput } from './schema.js'
import { suggestion } from './suggestion.js'
import { duplicateKeys, lineOfPath, type DuplicateKey } from './yamlDocument.js'

/** A configuration read from a file. */
export interface ParsedFile {
  config: Config
  /** Ids of the moves for which the file sets `control`; the others have the default. */
  movesWithControl: ReadonlySet<string>
}

/** Parses and checks a configuration in YAML or JSON; throws ConfigInvalid with the issues found. */
export function parseConfig (bytes: Uint8Array, file = 'configuration'): Config {
  return parseConfigFile(bytes, file).config
}

/** Like parseConfig, but also returns for which moves the file sets `control`. */
export function parseConfigFile (bytes: Uint8Array, file = 'configuration'): ParsedFile {
  const text = decodeText(bytes, file)
  const lines = new LineCounter()
  const { doc, duplicates } = parseYaml(text, file, lines)
  const toSyntaxIssue = (message: string, offset: number): ConfigIssue =>
    ({ code: 'syntax', path: '', message, line: lines.linePos(offset).line })
  const syntaxIssues = doc.errors.map((err) => toSyntaxIssue(errorMessage(err), err.pos[0]))
  const issues = [...deduplicate(syntaxIssues), ...duplicates.map(({ key, offset }) => toSyntaxIssue(`key "${key}" occurs twice`, offset))]
  if (issues.length > 0) throw new ConfigInvalid(file, issues.slice(0, MAX_REPORTED_ISSUES))
  const lineOf = (path: readonly PropertyKey[]): number => lineOfPath(doc, lines, path)
  const value = toPlainValue(doc, file)
  const config = checkConfig(value, file, lineOf)
  const moves = (value as ConfigInput).moves ?? {}
  return { config, movesWithControl: new Set(Object.keys(moves).filter((id) => moves[id]!.control !== undefined)) }
}

/**
 * Checks a configuration value against the schema and its references, and fills in defaults. `lineOf` gives the line of
 * a path if the value comes from a file.
 */
export function checkConfig (value: unknown, file = 'configuration', lineOf?: LineOf): Config {
  checkCounts(value, file)
  const parsed = configSchema.safeParse(value)
  const issues = parsed.success
    ? checkReferences(parsed.data)
    : parsed.error.issues.flatMap((issue) => toConfigIssues(issue))
  if (issues.length > 0) {
    throw new ConfigInvalid(file, issues.slice(0, MAX_REPORTED_ISSUES).map((issue) => withLine(issue, lineOf)))
  }
  return parsed.data!
}

type LineOf = (path: readonly PropertyKey[]) => number

/** Limits the expansion of nested YAML aliases, which can grow exponentially. */
const MAX_ALIASES = 100

function decodeText (bytes: Uint8Array, file: string): string {
  if (bytes.length > MAX_CONFIG_FILE_BYTES) {
    throw new ConfigInvalid(file, [{
      code: 'too-large',
      path: '',
      message: `${bytes.length} bytes are more than the limit of ${MAX_CONFIG_FILE_BYTES}`
    }])
  }
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(bytes)
    // eslint-disable-next-line no-control-regex
    if (!/[\x00-\x08\x0e-\x1f]/.test(text)) return text
  } catch {
    // Falls through to the same error as for control characters.
  }
  throw new ConfigInvalid(file, [{ code: 'binary', path: '', message: 'is not a text file in UTF-8' }])
}

/** The check for duplicate keys in the YAML parser is off: it compares all pairs, which took 8 s for 20,000 routes. */
function parseYaml (text: string, file: string, lines: LineCounter): { doc: Document, duplicates: DuplicateKey[] } {
  try {
    const doc = parseDocument(text, { lineCounter: lines, uniqueKeys: false, logLevel: 'error' })
    return { doc, duplicates: duplicateKeys(doc) }
  } catch (err) {
    throw new ConfigInvalid(file, [{ code: 'syntax', path: '', message: errorMessage(err as Error) }])
  }
}

/** First line of the message, without the position, as the issue has its own line number. */
function errorMessage (err: Error): string {
  const message = err.message.split('\n')[0]!.replace(/ at line \d+, column \d+:?$/, '')
  return message.startsWith('Maximum call stack') ? 'is nested too deeply' : message
}

/** Drops repeated issues: the YAML parser reports an unclosed collection once for each open level. */
function deduplicate (issues: readonly ConfigIssue[]): ConfigIssue[] {
  return [...new Map(issues.map((issue) => [`${issue.line} ${issue.message}`, issue])).values()]
}

/** Rejects an empty file: the empty output of a failed program would otherwise remove the whole configuration. */
function toPlainValue (doc: Document, file: string): unknown {
  const value = expandAliases(doc, file)
  if (value !== null && value !== undefined) return value
  throw new ConfigInvalid(file, [{
    code: 'bad-value', path: '', message: 'is empty; to remove everything, write "services: {}"'
  }])
}

function expandAliases (doc: Document, file: string): unknown {
  try {
    return doc.toJS({ maxAliasCount: MAX_ALIASES })
  } catch (err) {
    throw new ConfigInvalid(file, [{ code: 'syntax', path: '', message: errorMessage(err as Error) }])
  }
}

function checkCounts (value: unknown, file: string): void {
  const limits = { services: MAX_SERVICES, routes: MAX_ROUTES, moves: MAX_MOVES }
  for (const [section, limit] of Object.entries(limits)) {
    const entries = (value as Record<string, unknown> | null)?.[section]
    if (entries === null || typeof entries !== 'object') continue
    const count = Object.keys(entries).length
    if (count > limit) {
      throw new ConfigInvalid(file, [{
        code: 'too-many', path: section, message: `${count} entries are more than the limit of ${limit}`
      }])
    }
  }
}

/** Known fields of the entries of each section; the empty key stands for the top level. */
const SECTION_FIELDS: Readonly<Record<string, readonly string[]>> = {
  '': Object.keys(configSchema.shape),
  services: Object.keys(serviceSchema.shape),
  routes: Object.keys(routeSchema.shape),
  moves: Object.keys(moveSchema.shape)
}

function toConfigIssues (issue: z.core.$ZodIssue): ConfigIssue[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    const known = SECTION_FIELDS[path[0] ?? ''] ?? []
    return issue.keys.map((key) => ({
      code: 'unknown-field',
      path: [...path, key].join('.'),
      message: `field "${key}" is not known${suggestion(key, known)}`
    }))
  }
  if (issue.code === 'invalid_key') {
    const detail = issue.issues[0]?.message ?? 'is not a name'
    return [{ code: 'bad-value', path: path.join('.'), message: detail }]
  }
  const code = issue.code === 'invalid_type' ? 'wrong-type' : 'bad-value'
  return [{ code, path: path.join('.'), message: issue.message }]
}

function withLine (issue: ConfigIssue, lineOf: LineOf | undefined): ConfigIssue {
  if (!lineOf) return issue
  return { ...issue, line: lineOf(splitPath(issue.path)) }
}

/** Splits the path of an issue. Names of services, routes and moves may contain dots; field names don't. */
function splitPath (path: string): string[] {
  const parts = path.split('.')
  if (parts.length <= 3) return parts
  const [section, ...rest] = parts
  const fields = SECTION_FIELDS[section!] ?? []
  const fieldIndex = rest.findIndex((part, i) => i > 0 && fields.includes(part))
  if (fieldIndex < 0) return [section!, rest.join('.')]
  return [section!, rest.slice(0, fieldIndex).join('.'), ...rest.slice(fieldIndex)]
}
