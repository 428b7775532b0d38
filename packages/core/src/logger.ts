export type LogFields = Readonly<Record<string, unknown>>

/** Structured log of state changes; it has no line per call. */
export interface Logger {
  info (msg: string, fields?: LogFields): void
  warn (msg: string, fields?: LogFields): void
  error (msg: string, fields?: LogFields): void
}

/** Discards all lines. */
export class NoopLogger implements Logger {
  info (): void {}
  warn (): void {}
  error (): void {}
}
