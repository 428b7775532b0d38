import { DEFAULT_MEMORY_BYTES } from '../buffers/memoryBudget.js'

/** Limits on what callers may make the daemon hold; the limits of the configuration come on top. */
export interface CallerLimits {
  /** Connections of callers that are open at a time. */
  readonly maxConnections: number
  /** Requests of one connection that are handled at a time; what comes behind them isn't read until one is answered. */
  readonly maxPipelined: number
  /** Bytes of responses that a caller has not taken, from which on its next pipelined requests wait. */
  readonly maxUnreadBytes: number
  /** Time within which a caller must take some bytes of a response that waits for it. */
  readonly stalledResponseMs: number
}

/** Part of the descriptors of the process that callers may take; the others are for files, targets and other daemons. */
const CALLERS_DESCRIPTOR_SHARE = 0.75
const DEFAULT_MAX_DESCRIPTORS = 4_096
/** Memory of the host for each connection: it may have the longest head, of which the parser keeps copies. */
const MEMORY_PER_CONNECTION_BYTES = 128 * 1024

/** Connections that callers may open to a process with this many descriptors and this much memory. */
function maxCallerConnections (memoryBytes: number, maxDescriptors = DEFAULT_MAX_DESCRIPTORS): number {
  return Math.floor(Math.min(maxDescriptors * CALLERS_DESCRIPTOR_SHARE, memoryBytes / MEMORY_PER_CONNECTION_BYTES))
}

/** The limits of a daemon, with a default for each that isn't set. */
export function resolveCallerLimits (limits: Partial<CallerLimits>, memoryBytes = DEFAULT_MEMORY_BYTES, maxDescriptors?: number): CallerLimits {
  return { ...DEFAULT_CALLER_LIMITS, maxConnections: maxCallerConnections(memoryBytes, maxDescriptors), ...limits }
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxConnections: maxCallerConnections(DEFAULT_MEMORY_BYTES), maxPipelined: 32, maxUnreadBytes: 1024 * 1024, stalledResponseMs: 30_000
}
