export type LogFields = Readonly<Record<string, unknown>>

/** Structured log; one line per change of state, never one per call. */
export interface Logger {
  info (msg: string, fields?: LogFields): void
  warn (msg: string, fields?: LogFields): void
  error (msg: string, fields?: LogFields): void
}

export class NoLogger implements Logger {
  info (): void {}
  warn (): void {}
  error (): void {}
}
