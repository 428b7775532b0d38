import VError from 'verror'

/** Base class of all errors. There is one subclass per kind of failure, each with a code listed in docs/errors.md. */
export abstract class LentilwheelError extends VError {
  abstract readonly code: string

  constructor (message: string, cause?: unknown) {
    super({ cause: toError(cause) }, '%s', message)
    this.name = new.target.name
  }
}

/** An invariant of our own code does not hold. */
export class InternalError extends LentilwheelError {
  readonly code = 'internal'
}

/** A settings file is missing, malformed or fails its schema. */
export class SettingsInvalid extends LentilwheelError {
  readonly code = 'settings-invalid'
}

/** Converts any thrown value to an Error, so that it can be a cause. */
export function toError (thrown: unknown): Error | undefined {
  if (thrown === undefined || thrown === null) return undefined
  return thrown instanceof Error ? thrown : new InternalError(String(thrown))
}

/** The code of a LentilwheelError, or `internal` for any other value. */
export function errorCode (err: unknown): string {
  return err instanceof LentilwheelError ? err.code : 'internal'
}
