/** Hedges that a service may have to begin with, so that the first slow answer needn't wait for the share of many requests. */
const INITIAL_CREDIT = 1
/** Hedges that a service may save up; they are for the moments in which one of its targets is slow. */
const MAX_CREDIT = 10

/**
 * Limits the hedges of each service to a share of its requests: each request earns the share, each hedge spends one. In any
 * time there are no more hedges than `MAX_CREDIT` and the share of the requests in it, and never more than `INITIAL_CREDIT` above the
 * share of all requests, however few there are.
 */
export class HedgeCredit {
  readonly #credits = new Map<string, number>()

  /** Counts a request for a service. `maxShare`: hedges allowed, as a share of the requests. */
  earn (service: string, maxShare: number): void {
    this.#credits.set(service, Math.min(MAX_CREDIT, this.#of(service) + maxShare))
  }

  /** Whether one more hedge is within the share. */
  suffices (service: string): boolean {
    return this.#of(service) >= 1
  }

  spend (service: string): void {
    this.#credits.set(service, this.#of(service) - 1)
  }

  #of (service: string): number {
    return this.#credits.get(service) ?? INITIAL_CREDIT
  }
}
