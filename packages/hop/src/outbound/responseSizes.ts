/** Weight of a new response in the moving average. */
const SMOOTHING_FACTOR = 0.1

/** Moving average of the response sizes of each route, used to estimate the cost of running a request in another data centre. */
export class ResponseSizes {
  readonly #averageBytes = new Map<string, number>()

  record (route: string, bytes: number): void {
    const averageBytes = this.#averageBytes.get(route) ?? bytes
    this.#averageBytes.set(route, averageBytes + SMOOTHING_FACTOR * (bytes - averageBytes))
  }

  /** Expected response size of the route in bytes; 0 before the first response. */
  expectedBytes (route: string): number {
    return this.#averageBytes.get(route) ?? 0
  }

  /** Drops the averages of routes that no longer exist. */
  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#averageBytes.keys()) if (!routes.has(name)) this.#averageBytes.delete(name)
  }
}
