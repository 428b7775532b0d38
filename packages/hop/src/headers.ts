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
  /** Workspace of the caller. */
  readonly workspace: string
  /** On a response: proof that the target made it. */
  readonly signature: string
}

/** Value of a header in a list of alternating names and values; the name's case doesn't matter. */
export function headerValue (headers: readonly string[], name: string): string | undefined {
  const lowerCaseName = name.toLowerCase()
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.length === lowerCaseName.length && headers[i]!.toLowerCase() === lowerCaseName) return headers[i + 1]
  }
  return undefined
}

/** How often a header occurs in a list of alternating names and values. */
export function countHeader (headers: readonly string[], name: string): number {
  const lowerCaseName = name.toLowerCase()
  let count = 0
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.length === lowerCaseName.length && headers[i]!.toLowerCase() === lowerCaseName) count++
  }
  return count
}

/** Text as a header value in the form that the HTTP parser gives and takes: its UTF-8 bytes, decoded as Latin-1. */
export function headerText (text: string): string {
  return Buffer.from(text).toString('latin1')
}
