/** A response of the proxy's own. Instances are created once, as rejecting calls must stay cheap under overload. */
export class Rejection {
  readonly status: number
  readonly code: string
  readonly reason: string

  constructor (status: number, code: string, reason: string) {
    this.status = status
    this.code = code
    this.reason = reason
  }
}

/** All rejections; callers read the `code` and `reason`. */
export const REJECTIONS = {
  noConfiguration: new Rejection(503, 'no-configuration', 'no configuration is in force yet'),
  stopping: new Rejection(503, 'stopping', 'the daemon is stopping; call another one'),
  noRoute: new Rejection(404, 'no-route', 'no route matches the request'),
  badTarget: new Rejection(400, 'bad-request-target', 'the request target must be a path that starts with "/"'),
  badHost: new Rejection(400, 'bad-host', 'the request needs exactly one host header'),
  badFraming: new Rejection(400, 'bad-framing', 'the length of the request body is ambiguous'),
  badConnectionHeader: new Rejection(400, 'bad-connection-header', 'the connection header names a header that must stay'),
  badDeadline: new Rejection(400, 'bad-deadline', 'x-lentilwheel-deadline-ms and x-lentilwheel-attempt must be whole numbers'),
  badHead: new Rejection(400, 'bad-head', 'the request is not well-formed HTTP/1.1'),
  headTooLarge: new Rejection(431, 'head-too-large', 'the request head is too large'),
  headTimeout: new Rejection(408, 'head-timeout', 'the request head did not arrive in time'),
  bodyTooLarge: new Rejection(413, 'body-too-large', 'the request body is larger than the service allows'),
  expectation: new Rejection(417, 'expectation', 'only "expect: 100-continue" is understood'),
  method: new Rejection(501, 'method', 'the method is not supported'),
  noTarget: new Rejection(503, 'no-target', 'no target of the service is ready'),
  overloaded: new Rejection(503, 'overloaded', 'all targets are busy and the call could not be run in time'),
  refusedByTargets: new Rejection(503, 'refused-by-targets', 'the targets refused the request'),
  unreachable: new Rejection(502, 'unreachable', 'no target could be reached'),
  noAnswer: new Rejection(502, 'no-answer', 'the target gave no whole answer'),
  deadline: new Rejection(504, 'deadline', 'the call did not end by its deadline')
} as const
