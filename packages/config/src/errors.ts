import { LentilwheelError } from '@lentilwheel/core'

/** One problem in a configuration and its place in the operator's file. */
export interface ConfigIssue {
  code: ConfigIssueCode
  /** Path of the value, such as `routes.browse.service`. */
  path: string
  message: string
  /** 1-based line in the file; absent when the configuration did not come from a file. */
  line?: number
}

export type ConfigIssueCode =
  | 'syntax' | 'too-large' | 'too-many' | 'binary' | 'unknown-field' | 'wrong-type' | 'bad-value'
  | 'duplicate-name' | 'missing-service' | 'missing-version' | 'same-match' | 'overlapping-move' | 'deadline-impossible'

/** A configuration was rejected; no part of it is applied. */
export class ConfigInvalid extends LentilwheelError {
  readonly code = 'config-invalid'
  readonly issues: readonly ConfigIssue[]

  constructor (file: string, issues: readonly ConfigIssue[]) {
    super(issues.map((issue) => formatIssue(file, issue)).join('\n'))
    this.issues = issues
  }
}

/** A delta, bundle or object does not match the hash that names it. */
export class HashMismatch extends LentilwheelError {
  readonly code = 'hash-mismatch'
}

/** A delta starts from another version than the daemon has. */
export class DeltaBaseMismatch extends LentilwheelError {
  readonly code = 'delta-base-mismatch'
}

/** The change that was accepted first. */
export interface ConflictingChange {
  id: string
  author: string
  version: number
}

/** A change touches objects that another change has altered since its base version. */
export class ChangeConflict extends LentilwheelError {
  readonly code = 'change-conflict'
  readonly conflicting: Readonly<ConflictingChange>
  readonly keys: readonly string[]

  constructor (conflicting: ConflictingChange, keys: readonly string[]) {
    super(`change ${conflicting.id} by ${conflicting.author} (version ${conflicting.version}) already changed ${keys.join(', ')}; ` +
      'take that change into your file and apply it again')
    this.conflicting = conflicting
    this.keys = keys
  }
}

/** The base version of a three-way merge is newer than the head or older than its recorded history. */
export class BaseVersionNotKept extends LentilwheelError {
  readonly code = 'base-version-not-kept'
}

/** Formats an issue as `file:line: path: message`. */
export function formatIssue (file: string, issue: ConfigIssue): string {
  const line = issue.line === undefined ? '' : `:${issue.line}`
  const path = issue.path === '' ? '' : `${issue.path}: `
  return `${file}${line}: ${path}${issue.message}`
}
