import type { FailureReason, NotRunReason } from '../link/reasons.js'

/** Load that a target reports in a response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
  /** How long work on the target's machine takes at this moment, as a multiple of the usual; absent where a target doesn't tell. */
  slowdown?: number
}

/** What a target states in a response about the requests that it takes. */
export interface TargetStatement {
  /**
   * Requests per second that the target takes from all daemons together; Infinity when the response states no limit, and
   * absent when the limit can't be read.
   */
  limitPerS?: number
  /** Whether the target is about to stop and takes no new requests. */
  isLeaving: boolean
}

/**
 * How a request to the target beside this daemon ended; after `failed` the target may have run it. There is a statement
 * only where the response is known to be the target's own.
 */
export type TargetResult =
  | { kind: 'response', status: number, headers: string[], body: Buffer, unframed: boolean, statement: TargetStatement, reported?: ReportedLoad }
  | { kind: 'notRun', reason: NotRunReason, statement?: TargetStatement, reported?: ReportedLoad }
  | { kind: 'failed', reason: FailureReason }
