/** Weight of a new response in the moving average. */
const SMOOTHING = 0.1

/** Usual sizes of the responses of each route, in bytes. */
export class ResponseSizes {
  readonly #usual = new Map<string, number>()

  seen (route: string, bytes: number): void {
    const usual = this.#usual.get(route) ?? bytes
    this.#usual.set(route, usual + SMOOTHING * (bytes - usual))
  }

  /** Bytes that a response of the route is expected to have; 0 before any was seen. */
  expected (route: string): number {
    return this.#usual.get(route) ?? 0
  }

  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#usual.keys()) if (!routes.has(name)) this.#usual.delete(name)
  }
}
