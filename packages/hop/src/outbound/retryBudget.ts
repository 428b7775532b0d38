/** Buckets of the sliding window in which requests and retries are counted. */
const BUCKETS = 10
/**
 * Share of the allowance for retries of this daemon's own. The rest is left for the nested calls of retried runs, which
 * no budget can prevent: if all requests for a service are nested calls, those use as much again.
 */
const OWN_RETRY_SHARE = 0.4

/** How many retries of requests for a service are allowed in a window, over all daemons. */
export interface RetryBudgetLimits {
  /** Retries allowed as a fraction of the requests. */
  ratio: number
  windowMs: number
  /** Retries allowed in addition, over all daemons. */
  slack: number
}

/** Counts by bucket, the newest first. */
interface SlidingWindow {
  /** Number of the newest bucket. */
  bucket: number
  requests: number[]
  retries: number[]
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

  /** Counts a request for a service. */
  recordRequest (service: string, now: number): void {
    this.#windowAt(service, now).requests[0]!++
  }

  /** Counts a retry that no budget can prevent: a nested call of a run that is itself a retry. */
  recordNestedRetry (service: string, now: number): void {
    this.#windowAt(service, now).retries[0]!++
  }

  /** Takes a retry from the budget; false if none is left. `daemons`: number of daemons that share the slack. */
  tryAcquire (service: string, daemons: number, now: number): boolean {
    const window = this.#windowAt(service, now)
    const requests = sum(window.requests)
    const allowed = OWN_RETRY_SHARE * (this.#limits.ratio * requests + this.#limits.slack / Math.max(1, daemons))
    if (sum(window.retries) + 1 > allowed) return false
    window.retries[0]!++
    return true
  }

  /** The window of a service, advanced to `now`. */
  #windowAt (service: string, now: number): SlidingWindow {
    const bucket = Math.floor(now / (this.#limits.windowMs / BUCKETS))
    let window = this.#windows.get(service)
    if (!window) {
      window = { bucket, requests: emptyBuckets(), retries: emptyBuckets() }
      this.#windows.set(service, window)
    }
    for (let steps = Math.min(BUCKETS, bucket - window.bucket); steps > 0; steps--) {
      window.requests.unshift(0)
      window.requests.pop()
      window.retries.unshift(0)
      window.retries.pop()
    }
    window.bucket = bucket
    return window
  }
}

function emptyBuckets (): number[] {
  return Array.from({ length: BUCKETS }, () => 0)
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, n) => total + n, 0)
}
