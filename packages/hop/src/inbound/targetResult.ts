import type { FailureReason, NotRunReason } from '../link/messages.js'

/** Load that a target reports in a response. */
export interface ReportedLoad {
  running: number
  waiting: number
  slots: number
}

/** How a request to the target beside this daemon ended; after `failed` the target may have run it. */
export type TargetResult =
  | { kind: 'response', status: number, headers: string[], body: Buffer, unframed: boolean, reported?: ReportedLoad }
  | { kind: 'notRun', reason: NotRunReason, reported?: ReportedLoad }
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
  /** Service on the host from which the request was sent. */
  readonly callerService: string
  /** On a response: proof that the target made it. */
  readonly signature: string
}
