/** Told of each attempt that reached its end, for the evidence of moves. */
export interface ProxyCallObserver {
  onCall (service: string, route: string, version: string, ok: boolean, latencyMs: number): void
}

/** How a move in progress divides a service's traffic. */
export interface TrafficShare {
  from: string
  to: string
  /** Part that goes to `to`, 0 to 1. */
  share: number
}
