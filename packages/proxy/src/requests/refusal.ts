/** An answer that the proxy gives itself. Instances are made once, as refusing must stay cheap under overload. */
export class Refusal {
  readonly status: number
  readonly code: string
  readonly reason: string

  constructor (status: number, code: string, reason: string) {
    this.status = status
    this.code = code
    this.reason = reason
  }
}

/** Every refusal by its code. */
export const REFUSALS = {
  noConfiguration: new Refusal(503, 'no-configuration', 'no configuration is in force yet'),
  stopping: new Refusal(503, 'stopping', 'the daemon is stopping; call another one'),
  noRoute: new Refusal(404, 'no-route', 'no route matches the request'),
  badTarget: new Refusal(400, 'bad-request-target', 'the request target must be a path that starts with "/"'),
  badHost: new Refusal(400, 'bad-host', 'the request needs exactly one host header'),
  badFraming: new Refusal(400, 'bad-framing', 'the length of the request body is ambiguous'),
  badConnectionHeader: new Refusal(400, 'bad-connection-header', 'the connection header names a header that must stay'),
  badDeadline: new Refusal(400, 'bad-deadline', 'x-lentilwheel-deadline-ms and x-lentilwheel-attempt must be whole numbers'),
  badHead: new Refusal(400, 'bad-head', 'the request is not well-formed HTTP/1.1'),
  headTooLarge: new Refusal(431, 'head-too-large', 'the request head is too large'),
  headTimeout: new Refusal(408, 'head-timeout', 'the request head did not arrive in time'),
  bodyTooLarge: new Refusal(413, 'body-too-large', 'the request body is larger than the service allows'),
  expectation: new Refusal(417, 'expectation', 'only "expect: 100-continue" is understood'),
  method: new Refusal(501, 'method', 'the method is not supported'),
  noTarget: new Refusal(503, 'no-target', 'no target of the service is ready'),
  overloaded: new Refusal(503, 'overloaded', 'all targets are busy and the call could not be run in time'),
  refusedByTargets: new Refusal(503, 'refused-by-targets', 'the targets refused the request'),
  unreachable: new Refusal(502, 'unreachable', 'no target could be reached'),
  noAnswer: new Refusal(502, 'no-answer', 'the target gave no whole answer'),
  deadline: new Refusal(504, 'deadline', 'the call did not end by its deadline')
} as const
