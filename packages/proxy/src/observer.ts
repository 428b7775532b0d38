/** Receives the result of each attempt that reached its end; moves compare the versions of a service by them. */
export interface ProxyCallObserver {
  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number): void
}

/** How a move in progress splits the traffic of a service between two versions. */
export interface TrafficShare {
  from: string
  to: string
  /** Share of the calls that goes to `to`, 0 to 1. */
  share: number
}
