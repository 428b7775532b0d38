import { Logger as TsLogger } from 'tslog'
import type { LogFields, Logger } from './logger.js'
import type { Timers } from './timers.js'

export type LogFormat = 'json' | 'pretty' | 'off'

/** Further lines are dropped; the next logged line reports their number. */
const MAX_LINES_PER_SECOND = 20

/** Writes log lines to the console with tslog, up to MAX_LINES_PER_SECOND. */
export class ProcessLogger implements Logger {
  readonly #log
  readonly #timers: Timers
  #windowStart = 0
  #lines = 0
  #dropped = 0

  constructor (opts: { name: string, format: LogFormat, timers: Timers }) {
    this.#timers = opts.timers
    const type = opts.format === 'off' ? 'hidden' : opts.format
    this.#log = new TsLogger({ name: opts.name, type, hideLogPositionForProduction: true })
  }

  info (msg: string, fields: LogFields = {}): void {
    if (this.#tryAdmit()) this.#log.info(msg, this.#withDropped(fields))
  }

  warn (msg: string, fields: LogFields = {}): void {
    if (this.#tryAdmit()) this.#log.warn(msg, this.#withDropped(fields))
  }

  error (msg: string, fields: LogFields = {}): void {
    if (this.#tryAdmit()) this.#log.error(msg, this.#withDropped(fields))
  }

  #tryAdmit (): boolean {
    const now = this.#timers.now()
    if (now - this.#windowStart >= 1000) {
      this.#windowStart = now
      this.#lines = 0
    }
    if (this.#lines >= MAX_LINES_PER_SECOND) {
      this.#dropped++
      return false
    }
    this.#lines++
    return true
  }

  #withDropped (fields: LogFields): LogFields {
    if (this.#dropped === 0) return fields
    const droppedLines = this.#dropped
    this.#dropped = 0
    return { ...fields, droppedLines }
  }
}
