import type { FailureReason, NotRunReason } from '../link/messages.js'

/** Load that a target reports in a response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
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

/** Names of the HTTP headers that targets and callers use. */
export interface HeaderNames {
  /** The caller's id of the request, echoed by the target. */
  readonly requestId: string
  /** Milliseconds that the sender will wait. */
  readonly deadline: string
  /** Id of the only target that may run the request. */
  readonly expectedTarget: string
  /** On a response: the target did not run the request. */
  readonly notRun: string
  /** On a response: numbers of running and waiting requests and of slots of the target, separated by commas. */
  readonly load: string
  /** On a response: requests per second, as a decimal number, that the target takes from all hosts together. */
  readonly limit: string
  /** On a response: `1` when the target is about to stop. */
  readonly leaving: string
  /** Service on the host from which the request was sent. */
  readonly callerService: string
  /** On a response: proof that the target made it. */
  readonly signature: string
}
