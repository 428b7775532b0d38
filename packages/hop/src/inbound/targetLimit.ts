import type { CallLog } from '../observe/callLog.js'
import { SENT_WINDOW_MS, SentRequests, type SentCounts } from './sentRequests.js'
import type { TargetStatement } from './targetResult.js'

/**
 * Limit on the rate of requests that a target states in its responses, and what it was sent. The daemon beside the target is
 * the only way to it, so the requests of all daemons are counted here.
 */
export class TargetLimit {
  readonly #log: CallLog
  readonly #sent = new SentRequests()
  #perS = Infinity

  constructor (log: CallLog) {
    this.#log = log
  }

  /** Requests per second that the target takes; Infinity when it states no limit. */
  get perS (): number {
    return this.#perS
  }

  sentCounts (now: number): SentCounts {
    return this.#sent.counts(now)
  }

  /** Forgets the limit of a target that has been replaced. */
  reset (): void {
    this.#perS = Infinity
    this.#sent.clear()
  }

  recordSent (request: { nested: boolean, repeat: boolean }, now: number): void {
    this.#sent.add(request, now)
  }

  /** Takes over what a response of the target states. */
  observe (targetId: string, { limitPerS }: TargetStatement): void {
    if (limitPerS === undefined || limitPerS === this.#perS) return
    this.#log.decision('targetLimit', { target: targetId, limitPerS: loggable(limitPerS), before: loggable(this.#perS) })
    this.#perS = limitPerS
  }

  /** Logs what the target was sent, while it states a limit. */
  logSent (targetId: string, now: number): void {
    if (this.#perS === Infinity) return
    this.#log.decision('targetUnderLimit', { target: targetId, limitPerS: this.#perS, windowMs: SENT_WINDOW_MS, sent: this.#sent.counts(now) })
  }
}

/** JSON has no infinity. */
function loggable (perS: number): number | 'none' {
  return perS === Infinity ? 'none' : perS
}
