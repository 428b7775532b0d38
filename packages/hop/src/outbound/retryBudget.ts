import { NESTED_URGENCY } from '../link/urgency.js'

/** Number of buckets into which the sliding window of counted requests and retries is divided. */
const BUCKET_COUNT = 10
/**
 * Share of the allowed retries that daemons may start themselves. The rest is left for nested calls of retried requests,
 * which also count as retries but can't be prevented: if all requests for a service are nested calls, there may be as
 * many of these again.
 */
const OWN_RETRY_SHARE = 0.4
/**
 * Share of these that requests may start which are less urgent than other requests of callers for the service; the rest is left for
 * the more urgent ones. Nested calls come with nearly every service, so they don't make the requests of callers less urgent.
 */
const LESS_URGENT_SHARE = 0.75
/** Share of what retries of failed requests have left that hedges may take. */
const HEDGE_SHARE = 0.5

/** How many retries of requests for a service are allowed in a window, over all daemons. */
export interface RetryBudgetLimits {
  /** Retries allowed as a fraction of the requests. */
  ratio: number
  windowMs: number
  /** Number of retries allowed in a window in addition, over all daemons. */
  slack: number
}

/** Counts by bucket, the newest first. */
interface SlidingWindow {
  /** Number of the newest bucket. */
  bucket: number
  requests: number[]
  retries: number[]
  /** Number of these retries that are hedges within a limit of their own. */
  hedges: number[]
  /** Urgency of callers' most urgent requests; Infinity in buckets without any. */
  urgencies: number[]
}

/**
 * Limits the retries that reach the targets of a service, over all daemons, without coordination: each daemon applies the
 * ratio to its own requests and takes an equal share of the slack.
 */
export class RetryBudget {
  #limits: RetryBudgetLimits
  readonly #windows = new Map<string, SlidingWindow>()

  constructor (limits: RetryBudgetLimits) {
    this.#limits = limits
  }

  setLimits (limits: RetryBudgetLimits): void {
    this.#limits = limits
  }

  /** Counts a request for a service, which raises the number of allowed retries. */
  deposit (service: string, urgency: number, now: number): void {
    const window = this.#windowAt(service, now)
    window.requests[0]!++
    if (urgency > NESTED_URGENCY) window.urgencies[0] = Math.min(window.urgencies[0]!, urgency)
  }

  /** Counts a retry that no budget can prevent: a nested call of a request that is itself a retry. */
  recordNestedRetry (service: string, now: number): void {
    this.#windowAt(service, now).retries[0]!++
  }

  /** Takes a retry from the budget; false if none is left for this urgency. `daemons`: number of daemons that share the slack. */
  tryWithdraw (service: string, urgency: number, daemons: number, now: number): boolean {
    const window = this.#windowAt(service, now)
    if (sum(window.retries) + 1 > this.#allowed(window, urgency, daemons)) return false
    window.retries[0]!++
    return true
  }

  /** The same for a hedge, which may take a part only of what retries of failed requests have left. */
  tryWithdrawHedge (service: string, urgency: number, daemons: number, now: number): boolean {
    const window = this.#windowAt(service, now)
    const hedges = sum(window.hedges)
    const left = this.#allowed(window, urgency, daemons) - (sum(window.retries) - hedges)
    if (hedges + 1 > HEDGE_SHARE * left) return false
    window.retries[0]!++
    window.hedges[0]!++
    return true
  }

  /** Number of retries of this urgency allowed in the window. */
  #allowed (window: SlidingWindow, urgency: number, daemons: number): number {
    const share = urgency > Math.min(...window.urgencies) ? LESS_URGENT_SHARE : 1
    return share * OWN_RETRY_SHARE * (this.#limits.ratio * sum(window.requests) + this.#limits.slack / Math.max(1, daemons))
  }

  /** The window of a service, advanced to `now`. */
  #windowAt (service: string, now: number): SlidingWindow {
    const bucket = Math.floor(now / (this.#limits.windowMs / BUCKET_COUNT))
    let window = this.#windows.get(service)
    if (!window) {
      window = { bucket, requests: emptyBuckets(), retries: emptyBuckets(), hedges: emptyBuckets(), urgencies: emptyBuckets(Infinity) }
      this.#windows.set(service, window)
    }
    for (let steps = Math.min(BUCKET_COUNT, bucket - window.bucket); steps > 0; steps--) {
      window.requests.unshift(0)
      window.requests.pop()
      window.retries.unshift(0)
      window.retries.pop()
      window.hedges.unshift(0)
      window.hedges.pop()
      window.urgencies.unshift(Infinity)
      window.urgencies.pop()
    }
    window.bucket = bucket
    return window
  }
}

function emptyBuckets (value = 0): number[] {
  return Array.from({ length: BUCKET_COUNT }, () => value)
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, n) => total + n, 0)
}
