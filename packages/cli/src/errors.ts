import { LentilwheelError } from '@lentilwheel/core'

/** The command line itself is wrong: an unknown option, a missing argument, a value of the wrong form. */
export class UsageError extends LentilwheelError {
  readonly code = 'usage'
}

/** A file named on the command line cannot be read or written. */
export class FileFailed extends LentilwheelError {
  readonly code = 'file-failed'
}

/** A layout file is malformed or names fields that the report does not have. */
export class LayoutInvalid extends LentilwheelError {
  readonly code = 'layout-invalid'
}

/** The daemon's admin side did not answer. */
export class DaemonUnreachable extends LentilwheelError {
  readonly code = 'daemon-unreachable'
}

/** The answer did not come from a daemon's admin side, or lacks fields that its protocol promises. */
export class DaemonBadAnswer extends LentilwheelError {
  readonly code = 'daemon-bad-answer'
}

/** The daemon speaks a protocol version that this command does not know. */
export class DaemonProtocolUnknown extends LentilwheelError {
  readonly code = 'daemon-protocol-unknown'
}

/** No move of this id is in the configuration in force. */
export class MoveNotFound extends LentilwheelError {
  readonly code = 'move-not-found'
}

/** The move had ended before the request reached it. */
export class MoveEnded extends LentilwheelError {
  readonly code = 'move-ended'
}

/** The move is in a state in which this request has no meaning, such as resuming after a take-back. */
export class MoveControlRefused extends LentilwheelError {
  readonly code = 'move-control-refused'
}

/** No route of this name is in the configuration in force. */
export class RouteNotFound extends LentilwheelError {
  readonly code = 'route-not-found'
}

/** The version was accepted but is not yet in force on every daemon. */
export class NotInForceEverywhere extends LentilwheelError {
  readonly code = 'not-in-force-everywhere'
}

/** The operator interrupted the command. */
export class Interrupted extends LentilwheelError {
  readonly code = 'interrupted'
}

/** No log line names the request. */
export class RequestNotLogged extends LentilwheelError {
  readonly code = 'request-not-logged'
}
