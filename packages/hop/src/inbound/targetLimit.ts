import type { CallLog } from '../observe/callLog.js'
import { SENT_WINDOW_MS, SentRequests, type SentCounts } from './sentRequests.js'
import type { TargetStatement } from './targetResult.js'

/** Bound on how fast requests may be sent to a target, beside its slots. */
export interface SendLimit {
  /** Whether a request may be sent now. */
  allows (now: number): boolean
  /** Uses up the right to send one request. */
  take (now: number): void
  /** Milliseconds until a request may be sent that has `ahead` others before it. */
  waitMs (ahead: number, now: number): number
}

/** For a target that takes as many requests as its slots do. */
export const NO_LIMIT: SendLimit = { allows: () => true, take: () => {}, waitMs: () => 0 }

/** Rate at which requests are sent even to a target that takes fewer: only its responses tell when its limit ends. */
const MIN_RATE_PER_S = 0.5
/** Unused requests that can be sent later, as the time in which the limit grants them; at least one request. */
const BURST_S = 0.5
/**
 * Part of the limit that may be sent within `SENT_WINDOW_MS`, and requests beside it. A steady rate stays below it: it makes a
 * target recover sooner that lowers its limit because it got too much.
 */
const WINDOW_FACTOR = 1.25
const WINDOW_SLACK = 2
/** Longest time for which a rejected sender is asked to stay away. */
const MAX_TURN_MS = 1_000

/**
 * Keeps to the limit on the rate of requests that a target states in its responses, and to the one that its service has for
 * cold targets. The daemon beside the target is the only way to it, so the limit is kept here for the requests of all daemons. A daemon that has just started doesn't know the limit
 * yet and takes it from the senders that have heard it.
 */
export class TargetLimit implements SendLimit {
  readonly #log: CallLog
  readonly #coldPerS: () => number | undefined
  readonly #sent = new SentRequests()
  /** Undefined until the target or a sender has stated it. */
  #perS: number | undefined
  /** Whether the target itself stated the limit to this daemon, so that what senders have heard is older. */
  #isObserved = false
  /** Whether a limit was in force when the tokens were last counted. */
  #wasInForce = false
  #tokens = 0
  #updatedAt = 0
  /** When the next rejected sender should offer again. */
  #nextTurnAt = -Infinity

  /** `coldPerS`: requests per second that the target tolerates because it is cold now; undefined for no such limit. */
  constructor (log: CallLog, coldPerS: () => number | undefined) {
    this.#log = log
    this.#coldPerS = coldPerS
  }

  /** Requests per second that the target states or tolerates while it is cold; Infinity for no limit. */
  get perS (): number {
    return Math.min(this.#perS ?? Infinity, this.#coldPerS() ?? Infinity)
  }

  get isInForce (): boolean {
    return this.perS !== Infinity
  }

  sentCounts (now: number): SentCounts {
    return this.#sent.counts(now)
  }

  /** Forgets the limit of a target that has been replaced. */
  reset (): void {
    this.#perS = undefined
    this.#isObserved = false
    this.#wasInForce = false
    this.#sent.clear()
  }

  recordSent (request: { nested: boolean, repeat: boolean }, now: number): void {
    this.#sent.add(request, now)
  }

  /** Takes over what a response of the target states. `isRejection`: it states no limit either way if it names none. */
  observe (targetId: string, { limitPerS }: TargetStatement, isRejection: boolean, now: number): void {
    if (limitPerS === undefined || (isRejection && limitPerS === Infinity)) return
    this.#isObserved = true
    this.#set(targetId, limitPerS, 'target', now)
  }

  /** Takes over what a sender has heard, until the target states it here; of several limits the lowest. */
  adopt (targetId: string, limitPerS: number, now: number): void {
    if (this.#isObserved || limitPerS >= (this.#perS ?? Infinity)) return
    this.#set(targetId, limitPerS, 'peer', now)
  }

  allows (now: number): boolean {
    return this.waitMs(0, now) === 0
  }

  take (now: number): void {
    if (this.#refill(now) !== Infinity) this.#tokens--
  }

  waitMs (ahead: number, now: number): number {
    const rate = this.#refill(now)
    if (rate === Infinity) return 0
    const tokenMs = Math.max(0, ahead + 1 - this.#tokens) / rate * 1000
    const isWindowFull = this.#sent.counts(now).all >= WINDOW_FACTOR * rate * SENT_WINDOW_MS / 1000 + WINDOW_SLACK
    return isWindowFull ? Math.max(tokenMs, 1000 / rate) : tokenMs
  }

  /**
   * Milliseconds after which a rejected sender should offer again. Each gets a later turn than the one before, as many in a
   * second as the limit allows, so that they don't all come back for the same request.
   */
  nextTurnMs (queued: number, now: number): number {
    const turnAt = Math.min(Math.max(this.#nextTurnAt, now + this.waitMs(queued, now)), now + MAX_TURN_MS)
    this.#nextTurnAt = turnAt + 1000 / Math.max(MIN_RATE_PER_S, this.perS)
    return turnAt - now
  }

  /** What senders get to know of the limit; `queued`: number of requests in the queue. */
  load (queued: number, now: number): { limitPerS?: number, limitedMs?: number } {
    const limitedMs = this.waitMs(queued, now)
    return { ...this.#perS === undefined ? {} : { limitPerS: this.#perS }, ...limitedMs > 0 ? { limitedMs } : {} }
  }

  /** Logs what the target was sent, while it states a limit. */
  logSent (targetId: string, now: number): void {
    if (!this.isInForce) return
    this.#log.decision('targetUnderLimit', { target: targetId, limitPerS: this.perS, windowMs: SENT_WINDOW_MS, sent: this.#sent.counts(now) })
  }

  #set (targetId: string, perS: number, from: 'target' | 'peer', now: number): void {
    if (perS === this.#perS) return
    const isUsual = this.#perS === undefined && perS === Infinity
    if (!isUsual) this.#log.decision('targetLimit', { target: targetId, limitPerS: loggable(perS), before: loggable(this.#perS), from })
    this.#refill(now)
    this.#perS = perS
  }

  /** What was sent before the first limit doesn't count against it. */
  #start (now: number): void {
    this.#tokens = 0
    this.#updatedAt = now
    this.#nextTurnAt = -Infinity
    this.#sent.clear()
  }

  /** Adds the tokens that the limit has granted since the last call; returns the rate in force, in requests per second. */
  #refill (now: number): number {
    const { perS } = this
    const wasInForce = this.#wasInForce
    this.#wasInForce = perS !== Infinity
    if (perS === Infinity) return Infinity
    if (!wasInForce) this.#start(now)
    const rate = Math.max(MIN_RATE_PER_S, perS)
    const grantedTokens = (now - this.#updatedAt) / 1000 * rate
    this.#tokens = Math.min(Math.max(1, BURST_S * rate), this.#tokens + grantedTokens)
    this.#updatedAt = now
    return rate
  }
}

/** JSON has neither infinity nor undefined. */
function loggable (perS: number | undefined): number | 'none' | 'unknown' {
  return perS === undefined ? 'unknown' : perS === Infinity ? 'none' : perS
}
