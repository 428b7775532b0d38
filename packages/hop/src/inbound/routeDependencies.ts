interface RouteStats {
  runs: number
  /** Calls made by the runs, by service. */
  readonly calls: Map<string, number>
}

/** Factor by which each run reduces the counts so far, so that a route's dependencies are relearned when they change. */
const DECAY_PER_RUN = 0.995
/** Calls per run from which a route is considered to depend on a service. */
const MIN_CALLS_PER_RUN = 0.2

/**
 * Learns which services the requests of each route call. Requests that run on the target send their nested calls through
 * this daemon, which counts them here.
 */
export class RouteDependencies {
  readonly #stats = new Map<string, RouteStats>()

  /** Counts a request of the route that has been started. */
  recordRun (route: string): void {
    const stats = this.#statsOf(route)
    stats.runs = stats.runs * DECAY_PER_RUN + 1
    for (const [service, calls] of stats.calls) stats.calls.set(service, calls * DECAY_PER_RUN)
  }

  /** Counts a nested call of a request of the route. */
  recordCall (route: string, service: string): void {
    const { calls } = this.#statsOf(route)
    calls.set(service, (calls.get(service) ?? 0) + 1)
  }

  /** Services that requests of the route regularly call. */
  servicesOf (route: string): string[] {
    const stats = this.#stats.get(route)
    if (!stats) return []
    return [...stats.calls].filter(([, calls]) => calls >= MIN_CALLS_PER_RUN * stats.runs).map(([service]) => service)
  }

  #statsOf (route: string): RouteStats {
    let stats = this.#stats.get(route)
    if (!stats) this.#stats.set(route, stats = { runs: 0, calls: new Map() })
    return stats
  }
}
