import type { Timers } from '@lentilwheel/core'

export type CallFields = Readonly<Record<string, unknown>>

/** Decisions about requests and beliefs, one line each. */
export interface CallLog {
  /** A step of one request; `isPlain` marks the ones that went as planned, which are left out first under load. */
  call (isPlain: boolean, step: string, fields: CallFields): void
  /** A change of what the process believes. */
  decision (what: string, fields: CallFields): void
}

/** Lines a second: plain steps of requests, their failures, and decisions. */
export interface LineBudget {
  plainPerS: number
  failedPerS: number
  decisionsPerS: number
}

export const DEFAULT_LINE_BUDGET: LineBudget = { plainPerS: 20, failedPerS: 200, decisionsPerS: 100 }

const FLUSH_MS = 100
/** Lines held for the next write; more are counted and left out. */
const MAX_HELD_BYTES = 256 * 1024

/** Collects JSON lines and writes them in batches within a budget, so that logging never holds up a request. */
export class BoundedCallLog implements CallLog {
  readonly #timers: Timers
  readonly #host: string
  readonly #budget: LineBudget
  readonly #write: (text: string) => void
  readonly #left = { plain: 0, failed: 0, decision: 0 }
  readonly #omitted = { plain: 0, failed: 0, decision: 0 }
  #held = ''

  constructor (opts: { host: string, timers: Timers, budget?: LineBudget, write (text: string): void }) {
    this.#timers = opts.timers
    this.#host = opts.host
    this.#budget = opts.budget ?? DEFAULT_LINE_BUDGET
    this.#write = opts.write
    this.#refill()
    opts.timers.every(1_000, () => this.#refill())
    opts.timers.every(FLUSH_MS, () => this.flush())
  }

  call (isPlain: boolean, step: string, fields: CallFields): void {
    this.#line(isPlain ? 'plain' : 'failed', step, fields)
  }

  decision (what: string, fields: CallFields): void {
    this.#line('decision', what, fields)
  }

  flush (): void {
    if (this.#held === '') return
    this.#write(this.#held)
    this.#held = ''
  }

  #line (kind: keyof LineCounts, what: string, fields: CallFields): void {
    if (this.#left[kind] <= 0 || this.#held.length > MAX_HELD_BYTES) {
      this.#omitted[kind]++
      return
    }
    this.#left[kind]--
    this.#held += JSON.stringify({ at: Math.round(this.#timers.wallNow()), host: this.#host, what, ...fields }) + '\n'
  }

  #refill (): void {
    this.#left.plain = this.#budget.plainPerS
    this.#left.failed = this.#budget.failedPerS
    this.#left.decision = this.#budget.decisionsPerS
    const { plain, failed, decision } = this.#omitted
    if (plain + failed + decision === 0) return
    this.#omitted.plain = this.#omitted.failed = this.#omitted.decision = 0
    this.#line('decision', 'linesOmitted', { plain, failed, decision })
  }
}

type LineCounts = { plain: number, failed: number, decision: number }

/** Discards everything. */
export class NoCallLog implements CallLog {
  call (): void {}
  decision (): void {}
}
