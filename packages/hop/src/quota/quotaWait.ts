import type { Cancel, Timers } from '@lentilwheel/core'
import type { MeshWorkspace } from '../routing/meshConfig.js'
import type { QuotaDecision, QuotaGate } from './quotaGate.js'

/** Retry-After for a caller whose request wasn't decided on in time. */
const UNDECIDED_RETRY_AFTER_MS = 300

export interface QuotaWaitOptions {
  gate: QuotaGate
  timers: Timers
  workspace: MeshWorkspace
  /** Whether the caller retries after a refusal. */
  isRepeat: boolean
  /** Time after which the decision no longer helps the caller. */
  timeoutMs: number
  /** Called once, unless the wait is cancelled before; possibly before `start` returns. */
  onDecision (decision: QuotaDecision): void
}

/** One request that waits for the decision of the quota gate. A right that is granted after its end is given back. */
export class QuotaWait {
  readonly #opts: QuotaWaitOptions
  #isEnded = false
  #stopTimer: Cancel = () => {}

  constructor (opts: QuotaWaitOptions) {
    this.#opts = opts
  }

  start (): void {
    const { gate, timers, workspace, isRepeat, timeoutMs } = this.#opts
    gate.admit(workspace, (decision) => this.#onDecision(decision), isRepeat)
    if (!this.#isEnded) this.#stopTimer = timers.after(timeoutMs, () => this.end(UNDECIDED_RETRY_AFTER_MS))
  }

  /** Ends the wait as undecided, with the time until the caller may retry. */
  end (retryAfterMs: number): void {
    if (!this.#isEnded) this.#settle({ kind: 'unknown', retryAfterMs })
  }

  /** Ends the wait without a decision, as the caller has left. */
  cancel (): void {
    this.#isEnded = true
    this.#stopTimer()
  }

  #onDecision (decision: QuotaDecision): void {
    const { gate, workspace } = this.#opts
    if (!this.#isEnded) this.#settle(decision)
    else if (decision.kind === 'granted') gate.giveBack(workspace)
  }

  #settle (decision: QuotaDecision): void {
    this.cancel()
    this.#opts.onDecision(decision)
  }
}
