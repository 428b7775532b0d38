/** One part of a traffic split: a service and its weight among the parts of the route. */
export interface RoutePart {
  readonly service: string
  readonly weight: number
}

/** How requests for one host and path prefix are handled. */
export interface MeshRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly parts: readonly RoutePart[]
  /** Whether a request may run more than once, which permits retries and hedging after it may have run. */
  readonly idempotent: boolean
  /** Whether requests or responses are large; they use a connection of their own. */
  readonly bulky: boolean
  /** Upper limit on the deadline of requests, in milliseconds. */
  readonly timeoutMs: number
  /** Latency within which a response has its full value to the caller, in milliseconds. */
  readonly targetLatencyMs: number
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of targets that one request may reach. */
  readonly maxAttempts: number
}

/** A service that routes can send requests to. */
export interface MeshService {
  readonly name: string
  /** Maximum number of connections that one target accepts from all callers together. */
  readonly maxConnections: number
  /** Requests per second that a target tolerates from all daemons while it is cold; absent for no such limit. */
  readonly coldPerS?: number
}

/** A customer of the deployment, whose callers are known by their keys. */
export interface MeshWorkspace {
  readonly name: string
  /** SHA-256 of each key, base64; the keys themselves are dropped when the configuration is decoded. */
  readonly keyHashes: readonly string[]
  /** Replaces the priority of the routes; 0 is the most urgent. */
  readonly priority?: number
  /** Requests per second over all daemons; 0 for no limit. */
  readonly ratePerS: number
  /** Requests beyond the rate that may come at once. */
  readonly burst: number
}

/** Limits on what callers may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One complete version of the configuration, in the form that requests are routed by. */
export interface MeshConfig {
  readonly version: number
  readonly routes: readonly MeshRoute[]
  readonly services: ReadonlyMap<string, MeshService>
  readonly limits: RequestLimits
}
