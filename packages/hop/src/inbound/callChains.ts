interface Chain {
  runs: number
  /** Calls that the runs made, by service. */
  readonly calls: Map<string, number>
}

/** Part of what was counted that each run leaves, so that a route's calls are learned anew when they change. */
const KEEP = 0.995
/** Calls a run, from which on a route is taken to need a service. */
const MIN_CALLS_A_RUN = 0.2

/** Learns which services the runs of each route call, from the calls that come back to the daemon while they run. */
export class CallChains {
  readonly #chains = new Map<string, Chain>()

  /** A run of the route has started. */
  ran (route: string): void {
    const chain = this.#of(route)
    chain.runs = chain.runs * KEEP + 1
    for (const [service, calls] of chain.calls) chain.calls.set(service, calls * KEEP)
  }

  /** A run of the route has called a service. */
  called (route: string, service: string): void {
    const { calls } = this.#of(route)
    calls.set(service, (calls.get(service) ?? 0) + 1)
  }

  /** Services that runs of the route call as a rule. */
  needs (route: string): string[] {
    const chain = this.#chains.get(route)
    if (!chain) return []
    return [...chain.calls].filter(([, calls]) => calls >= MIN_CALLS_A_RUN * chain.runs).map(([service]) => service)
  }

  #of (route: string): Chain {
    let chain = this.#chains.get(route)
    if (!chain) this.#chains.set(route, chain = { runs: 0, calls: new Map() })
    return chain
  }
}
