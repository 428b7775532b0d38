/** Names of our own headers; callers' own values of them never reach a target. */
export const INTERNAL_HEADER_PREFIX = 'x-lentilwheel-'
/** `1` on an answer says that the request was not run by any target. */
export const NOT_RUN_HEADER = 'x-lentilwheel-not-run'
/** Milliseconds left for the call; shrinks hop by hop. */
export const DEADLINE_HEADER = 'x-lentilwheel-deadline-ms'
/** Attempts already made for the call, upstream hops included. */
export const ATTEMPT_HEADER = 'x-lentilwheel-attempt'
/** Names the refusal, for callers that want more than the status. */
export const REFUSAL_HEADER = 'x-lentilwheel-refusal'

/** A connection that answered this recently counts as fresh enough for a non-idempotent request. */
export const FRESH_CONNECTION_MS = 500
export const CONNECT_TIMEOUT_MS = 1_000
/** Idle connections to targets are closed after this time; targets usually close theirs after 5 s or more. */
export const IDLE_CONNECTION_MS = 4_000
/** Bodies up to this size are held until the call ends, so that a retry can send them again. */
export const MAX_HELD_BODY_BYTES = 64 * 1024
/** Rest of a body that is read and dropped to keep a caller's connection. */
export const MAX_DISCARDED_BODY_BYTES = 1024 * 1024
export const MAX_HEADER_BYTES = 16 * 1024
/** Bounds the time in which a caller sends a request's head. */
export const CALLER_HEADERS_TIMEOUT_MS = 10_000
export const CALLER_KEEP_ALIVE_MS = 65_000
/** How long a draining proxy still accepts, so that callers notice `connection: close` first. */
export const DRAIN_LINGER_MS = 1_000
/** A draining proxy stops accepting after such a time without a new connection. */
export const DRAIN_QUIET_MS = 100
/** Longest wait for such a time; callers that keep coming in spite of refusals don't hold up the stop. */
export const DRAIN_QUIET_LIMIT_MS = 2_000
/** Longest wait for calls in flight when draining; longer than any default call timeout. */
export const DRAIN_LIMIT_MS = 30_000

/** Period of the balancing upkeep: decay, slow start, ejection, idle connections. */
export const UPKEEP_MS = 250
