import type { Timers } from '@lentilwheel/core'

export type CallFields = Readonly<Record<string, unknown>>

/** Structured log of a daemon: steps of single requests, and decisions of the daemon as a whole. */
export interface CallLog {
  /** Logs a step of one request. `isPlain` marks a step that went as expected; such lines are dropped first under load. */
  call (isPlain: boolean, event: string, fields: CallFields): void
  /** Logs a change of the daemon's state, or of what it knows about its peers, its target or the store. */
  decision (event: string, fields: CallFields): void
}

/** Lines that may be logged in each second: steps of requests that went as expected, other steps, and decisions. */
export interface LogRateLimits {
  plainPerSecond: number
  failedPerSecond: number
  decisionsPerSecond: number
}

export const DEFAULT_LOG_RATE_LIMITS: LogRateLimits = { plainPerSecond: 20, failedPerSecond: 200, decisionsPerSecond: 100 }

const FLUSH_INTERVAL_MS = 100
/** Lines are dropped and counted while more text than this waits for the next flush. */
const MAX_BUFFERED_CHARS = 256 * 1024

/**
 * Writes JSON lines in batches and within rate limits, so that logging never delays a request. Lines over a limit are
 * dropped; a `linesOmitted` line tells how many.
 */
export class RateLimitedCallLog implements CallLog {
  readonly #timers: Timers
  readonly #host: string
  readonly #limits: LogRateLimits
  readonly #write: (text: string) => void
  readonly #remaining = { plain: 0, failed: 0, decision: 0 }
  readonly #omitted = { plain: 0, failed: 0, decision: 0 }
  #buffer = ''

  constructor (opts: { host: string, timers: Timers, limits?: LogRateLimits, write (text: string): void }) {
    this.#timers = opts.timers
    this.#host = opts.host
    this.#limits = opts.limits ?? DEFAULT_LOG_RATE_LIMITS
    this.#write = opts.write
    this.#refill()
    opts.timers.every(1_000, () => this.#refill())
    opts.timers.every(FLUSH_INTERVAL_MS, () => this.flush())
  }

  call (isPlain: boolean, event: string, fields: CallFields): void {
    this.#append(isPlain ? 'plain' : 'failed', event, fields)
  }

  decision (event: string, fields: CallFields): void {
    this.#append('decision', event, fields)
  }

  flush (): void {
    if (this.#buffer === '') return
    this.#write(this.#buffer)
    this.#buffer = ''
  }

  #append (kind: keyof LineCounts, what: string, fields: CallFields): void {
    if (this.#remaining[kind] <= 0 || this.#buffer.length > MAX_BUFFERED_CHARS) {
      this.#omitted[kind]++
      return
    }
    this.#remaining[kind]--
    this.#buffer += JSON.stringify({ at: Math.round(this.#timers.wallNow()), host: this.#host, what, ...fields }) + '\n'
  }

  /** Starts a new second and logs how many lines were dropped in the last one. */
  #refill (): void {
    this.#remaining.plain = this.#limits.plainPerSecond
    this.#remaining.failed = this.#limits.failedPerSecond
    this.#remaining.decision = this.#limits.decisionsPerSecond
    const { plain, failed, decision } = this.#omitted
    if (plain + failed + decision === 0) return
    this.#omitted.plain = this.#omitted.failed = this.#omitted.decision = 0
    this.#append('decision', 'linesOmitted', { plain, failed, decision })
  }
}

type LineCounts = { plain: number, failed: number, decision: number }

/** Discards all lines. */
export class NoopCallLog implements CallLog {
  call (): void {}
  decision (): void {}
}
