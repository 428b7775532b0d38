import { LentilwheelError } from '@lentilwheel/core'

/** One thing that is wrong in a configuration, placed where the operator wrote it. */
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

/** A configuration was refused; nothing of it is applied. */
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

/** A delta starts from a version other than the one held. */
export class DeltaBaseMismatch extends LentilwheelError {
  readonly code = 'delta-base-mismatch'
}

/** The change that was there first. */
export interface OtherChange {
  id: string
  author: string
  version: number
}

/** Two changes touch the same objects. */
export class ChangeConflict extends LentilwheelError {
  readonly code = 'change-conflict'
  readonly other: Readonly<OtherChange>
  readonly keys: readonly string[]

  constructor (other: OtherChange, keys: readonly string[]) {
    super(`change ${other.id} by ${other.author} (version ${other.version}) already changed ${keys.join(', ')}; ` +
      'take that change into your file and apply it again')
    this.other = other
    this.keys = keys
  }
}

/** The base of a three-way merge is newer than the head or too old for its change records. */
export class BaseVersionNotKept extends LentilwheelError {
  readonly code = 'base-version-not-kept'
}

export function formatIssue (file: string, issue: ConfigIssue): string {
  const line = issue.line === undefined ? '' : `:${issue.line}`
  const path = issue.path === '' ? '' : `${issue.path}: `
  return `${file}${line}: ${path}${issue.message}`
}
