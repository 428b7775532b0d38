import type { HedgingLimits } from '../outbound/hedging.js'
import type { CallerLimits } from '../outbound/callerLimits.js'
import type { RetryBudgetLimits } from '../outbound/retryBudget.js'

export interface Endpoint {
  address: string
  port: number
}

/** Settings of one daemon, with defaults and addresses resolved. */
export interface ResolvedHopConfig {
  host: string
  dataCentre: string
  /** Address at which the daemon takes requests from callers and from the target beside it. */
  outbound: Endpoint
  /** Address at which peers reach the daemon. */
  hop: Endpoint
  /** Address at which metrics are served. */
  metrics: Endpoint
  /** Address of the target beside the daemon. */
  target: Endpoint
  /** Service of the target beside the daemon; undefined if there is none. */
  service: string | undefined
  /** Addresses of peers to contact while no other daemon is known. */
  seeds: readonly Endpoint[]
  /** Interval at which targets announce themselves. */
  announceMs: number
  /** Time from the request to stop until the process is killed. */
  graceMs: number
  retryBudget: RetryBudgetLimits
  /** Absent: slow requests are hedged late, as far as the retry budget allows. */
  hedging?: HedgingLimits
  /** What the link of this host carries, in bytes a millisecond; Infinity if that isn't known. */
  linkBytesPerMs: number
  /** Requests by which a workspace may pass its quota in a short time; absent for none. */
  quotaSlack?: number
  /** Whether operators may order the evacuation of a data centre; absent for no. */
  hasEvacuations?: boolean
  /** Memory that the process may take; undefined if that isn't known. */
  memoryBytes: number | undefined
  /** Descriptors that the process may have open; undefined if that isn't known. */
  maxDescriptors: number | undefined
  /** Limits that differ from the defaults. */
  callerLimits: Partial<CallerLimits>
}

/** Settings that count from the start of the process on. */
export const START_SETTINGS = [
  'host', 'dataCentre', 'outbound', 'hop', 'metrics', 'target', 'seeds', 'quotaSlack', 'hasEvacuations', 'memoryBytes', 'maxDescriptors', 'callerLimits'
] as const satisfies readonly (keyof ResolvedHopConfig)[]
