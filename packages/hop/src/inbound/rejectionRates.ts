/** How many requests of one priority are rejected. */
export interface RejectionRate {
  priority: number
  /** Rejected part of the requests, 0 to 1. */
  share: number
}

interface Count {
  requests: number
  rejections: number
  updatedAt: number
}

/** Time after which a counted request counts half. */
const HALF_LIFE_MS = 500
/** Requests that must have been counted before their share is meaningful. */
const MIN_REQUESTS = 3
/** Smaller shares are ignored, as they come from single requests. */
const MIN_SHARE = 0.03

/**
 * Share of recent requests of each priority that one target rejected for lack of capacity. Old requests decay. Other
 * daemons get it with the target's load, and reject less urgent requests whose nested calls would be admitted first here.
 */
export class RejectionRates {
  readonly #counts = new Map<number, Count>()

  countRequest (priority: number, now: number): void {
    this.#decayedCount(priority, now).requests++
  }

  /** Counts the rejection of a request that has been counted with `countRequest`. */
  countRejection (priority: number, now: number): void {
    this.#decayedCount(priority, now).rejections++
  }

  clear (): void {
    this.#counts.clear()
  }

  /** Rate of the most urgent priority that is being rejected; undefined when none is. */
  mostUrgent (now: number): RejectionRate | undefined {
    let mostUrgent: RejectionRate | undefined
    for (const priority of this.#counts.keys()) {
      if (mostUrgent && priority > mostUrgent.priority) continue
      const { requests, rejections } = this.#decayedCount(priority, now)
      const share = Math.min(1, rejections / requests)
      if (requests >= MIN_REQUESTS && share >= MIN_SHARE) mostUrgent = { priority, share }
    }
    return mostUrgent
  }

  #decayedCount (priority: number, now: number): Count {
    let count = this.#counts.get(priority)
    if (!count) this.#counts.set(priority, count = { requests: 0, rejections: 0, updatedAt: now })
    const decay = 0.5 ** ((now - count.updatedAt) / HALF_LIFE_MS)
    count.requests *= decay
    count.rejections *= decay
    count.updatedAt = now
    return count
  }
}
