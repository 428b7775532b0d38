/** A part of a route's traffic: a service and its weight among the route's parts. */
export interface RoutePart {
  readonly service: string
  readonly weight: number
}

/** How requests of one host and path prefix are carried. */
export interface MeshRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly parts: readonly RoutePart[]
  /** Whether a request may run more than once. */
  readonly idempotent: boolean
  /** Whether requests or responses are large, so that they go on a connection of their own. */
  readonly bulky: boolean
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which a response is worth most, in milliseconds. */
  readonly targetLatencyMs: number
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number
  /** Targets to which one request may be sent at most. */
  readonly maxAttempts: number
}

export interface MeshService {
  readonly name: string
  /** Connections that one target accepts from all callers combined. */
  readonly maxConnections: number
}

/** Bounds on what callers may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One whole version of the configuration, as the data path uses it. */
export interface MeshConfig {
  readonly version: number
  readonly routes: readonly MeshRoute[]
  readonly services: ReadonlyMap<string, MeshService>
  readonly limits: RequestLimits
}
