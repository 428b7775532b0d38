import type { Dispatcher } from 'undici'
import type { AttemptOutcome } from './attempts/outcome.js'
import type { Connection, Target } from './nodeTarget.js'
import { readResponseHead, type ResponseHead } from './requests/responseHead.js'

/** What an attempt reports to its call; at most one of `attemptFailed` and `responseEnded` is called, once. */
export interface AttemptOwner {
  /** Returns whether the body is forwarded to the caller; otherwise it is read and discarded. */
  responseStarted (attempt: Attempt, status: number, statusText: string, head: ResponseHead): boolean
  /** Returns false to pause reading from the target. */
  responseData (chunk: Buffer): boolean
  responseEnded (attempt: Attempt, trailers: Readonly<Record<string, string | string[] | undefined>>): void
  attemptFailed (attempt: Attempt, outcome: AttemptOutcome, err: Error): void
  /** The attempt no longer uses its connection; called for each attempt, cancelled ones included. */
  attemptReleased (attempt: Attempt, isReusable: boolean): void
}

/** The call ended, by its caller or its deadline, while an attempt was running. */
export class AttemptCancelled extends Error {
  readonly code = 'attempt-cancelled'
}

/** Created once: its stack trace is useless, and capturing one for each cancelled call is expensive. */
const CANCELLED = new AttemptCancelled('the call has ended')

/** Bytes of a discarded response that are read to keep the connection; beyond them the connection is closed. */
const MAX_DISCARDED_RESPONSE_BYTES = 64 * 1024

/** One attempt of a call: a request on one connection to one target, handling undici's events for it. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly target: Target
  readonly connection: Connection
  readonly startedAt: number
  /** When the response's head arrived; 0 before. */
  respondedAt = 0
  status = 0
  /** Whether the target responded that it is overloaded. */
  isShed = false
  readonly #owner: AttemptOwner
  #controller: Dispatcher.DispatchController | undefined
  #isForwarding = false
  #isCancelled = false
  #discardedBytes = 0

  constructor (owner: AttemptOwner, target: Target, connection: Connection, now: number) {
    this.#owner = owner
    this.target = target
    this.connection = connection
    this.startedAt = now
  }

  /** Whether a byte of the request may have been written. */
  get mayBeSent (): boolean {
    return this.#controller !== undefined
  }

  /** Ends the attempt without reporting a result; its connection is destroyed, or not used if it is still opening. */
  cancel (): void {
    if (this.#isCancelled) return
    this.#isCancelled = true
    this.#controller?.abort(CANCELLED)
  }

  resume (): void {
    this.#controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#isCancelled) return controller.abort(CANCELLED)
    this.#controller = controller
  }

  onResponseStart (
    controller: Dispatcher.DispatchController, status: number, _headers: unknown, statusText?: string
  ): void {
    if (status < 200 || this.#isCancelled) return
    this.status = status
    const raw = controller.rawHeaders as (Buffer | string)[]
    this.#isForwarding = this.#owner.responseStarted(this, status, statusText ?? '', readResponseHead(raw))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isForwarding) {
      if (!this.#owner.responseData(chunk)) controller.pause()
      return
    }
    this.#discardedBytes += chunk.length
    if (this.#discardedBytes > MAX_DISCARDED_RESPONSE_BYTES) this.cancel()
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: Record<string, string | string[] | undefined>): void {
    // Deferred because the client still counts this request as running and would pipeline the next one.
    queueMicrotask(() => this.#owner.attemptReleased(this, true))
    if (this.#isForwarding && !this.#isCancelled) this.#owner.responseEnded(this, trailers)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#owner.attemptReleased(this, false)
    if (this.#isCancelled) return
    const isAwaited = this.#isForwarding || this.status === 0
    if (isAwaited) this.#owner.attemptFailed(this, this.mayBeSent ? 'unknown' : 'notSent', err)
  }
}
