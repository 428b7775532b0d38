import type { BudgetBounds } from '../outbound/retryBudget.js'

export interface Endpoint {
  address: string
  port: number
}

/** All that one daemon of the call path is told, resolved once. */
export interface ResolvedHopConfig {
  host: string
  dataCentre: string
  /** Where callers and the target beside it send their requests. */
  outbound: Endpoint
  /** Where peers reach this daemon. */
  hop: Endpoint
  /** Where metrics are served. */
  metrics: Endpoint
  /** The target beside this daemon. */
  target: Endpoint
  /** Service of the target beside this daemon; undefined when there is none. */
  service: string | undefined
  /** Peers that may know others. */
  seeds: readonly Endpoint[]
  /** Period at which targets announce themselves. */
  announceMs: number
  /** Time between the request to stop and the kill. */
  graceMs: number
  retryBudget: BudgetBounds
}
