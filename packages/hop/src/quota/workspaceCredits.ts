/** Time from the question in which a credit may be used. The asker measures it, so clocks of hosts don't matter. */
export const CREDIT_TTL_MS = 250
/** Time whose demand a question asks credits for. */
const LOOK_AHEAD_MS = 100
/** Time over which the demand is averaged. */
const DEMAND_WINDOW_MS = 500

interface CreditLot {
  count: number
  readonly expiresAt: number
}

/** Credits of one workspace that this daemon holds, and its recent demand for them. */
export class WorkspaceCredits {
  /** In the order in which they expire. */
  readonly #lots: CreditLot[] = []
  /** Requests in the demand window, older ones counting less. */
  #recentRequests = 0
  #requestedAt = 0

  /** Records a request, whether or not it is granted. */
  recordRequest (now: number): void {
    this.#recentRequests = this.#decayed(now) + 1
    this.#requestedAt = now
  }

  /** Credits that the demand of the near future needs; 0 for little demand. */
  expectedDemand (now: number): number {
    return Math.round(this.#decayed(now) * LOOK_AHEAD_MS / DEMAND_WINDOW_MS)
  }

  add (count: number, expiresAt: number): void {
    const before = this.#lots.findLastIndex((lot) => lot.expiresAt <= expiresAt)
    this.#lots.splice(before + 1, 0, { count, expiresAt })
  }

  /** Uses one credit; false if there is none. */
  take (now: number): boolean {
    while (this.#lots[0] && this.#lots[0].expiresAt <= now) this.#lots.shift()
    const [lot] = this.#lots
    if (!lot) return false
    if (--lot.count === 0) this.#lots.shift()
    return true
  }

  #decayed (now: number): number {
    return this.#recentRequests * Math.exp((this.#requestedAt - now) / DEMAND_WINDOW_MS)
  }
}
