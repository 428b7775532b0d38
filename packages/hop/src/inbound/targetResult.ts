import type { FailureReason, NotRunReason } from '../link/messages.js'

/** Load that a target reports with a response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** How a request to the target beside this daemon ended. */
export type TargetResult =
  | { kind: 'response', status: number, headers: string[], body: Buffer, unframed: boolean, reported?: ReportedLoad }
  | { kind: 'notRun', reason: NotRunReason, reported?: ReportedLoad }
  | { kind: 'failed', reason: FailureReason }

/** Names of the headers that targets and callers use. */
export interface HeaderNames {
  /** The caller's id of the request, echoed by the target. */
  readonly requestId: string
  /** Milliseconds that the sender will wait. */
  readonly deadline: string
  /** Id of the only target that may run the request. */
  readonly expectedTarget: string
  /** On a response: the target did not run the request. */
  readonly notRun: string
  /** On a response: running, waiting and slots, separated by commas. */
  readonly load: string
  /** Service on the host where the request began. */
  readonly callerService: string
  /** On a response: proof that it is the target's. */
  readonly signature: string
}
