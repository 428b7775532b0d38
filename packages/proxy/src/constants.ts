/** Prefix of the proxy's own headers; values that a caller sends are never forwarded as they are. */
export const INTERNAL_HEADER_PREFIX = 'x-lentilwheel-'
/** `1` on a response states that no target ran the request. */
export const NOT_RUN_HEADER = 'x-lentilwheel-not-run'
/** Milliseconds left for the call; each hop lowers it. */
export const DEADLINE_HEADER = 'x-lentilwheel-deadline-ms'
/** Attempts already made for the call, upstream hops included. */
export const ATTEMPT_HEADER = 'x-lentilwheel-attempt'
/** Code of the rejection, for callers that need more than the status. */
export const REFUSAL_HEADER = 'x-lentilwheel-refusal'

/** Longest idle time of a connection that a non-idempotent request may reuse. */
export const FRESH_CONNECTION_MS = 500
export const CONNECT_TIMEOUT_MS = 1_000
/** Idle connections to targets are closed after this time. Targets usually close theirs only after 5 s or more. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4_000
/** Request bodies up to this size are buffered until the call ends, so that a retry can send them again. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024
/** Request bodies up to this size are read to the end and discarded, to keep the caller's connection usable. */
export const MAX_DISCARDED_BODY_BYTES = 1024 * 1024
export const MAX_HEADER_BYTES = 16 * 1024
/** Longest time in which a caller may send a request's head. */
export const CALLER_HEADERS_TIMEOUT_MS = 10_000
export const CALLER_IDLE_TIMEOUT_MS = 65_000
/** How long a draining proxy still accepts calls, so that callers see `connection: close` before it rejects them. */
export const DRAIN_LINGER_MS = 1_000
/** A draining proxy closes its listener after this time without a new connection. */
export const DRAIN_QUIET_PERIOD_MS = 100
/** Longest wait for such a quiet period; callers that keep connecting in spite of rejections can't hold up the stop. */
export const DRAIN_QUIET_LIMIT_MS = 2_000
/** Longest wait for calls in flight when draining; longer than any default call timeout. */
export const DRAIN_TIMEOUT_MS = 30_000

/** Period of load-balancing maintenance: latency decay, slow start, ejection, removal of closed connections. */
export const MAINTENANCE_PERIOD_MS = 250
