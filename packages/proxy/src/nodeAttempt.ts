import type { Dispatcher } from 'undici'
import type { AttemptOutcome } from './attempts/outcome.js'
import type { Connection, Target } from './nodeTarget.js'
import { readResponseHead, type ResponseHead } from './requests/responseHead.js'

/** What an attempt reports to its call; at most one of failed and ended is called, once. */
export interface AttemptOwner {
  /** Returns whether the body goes on to the caller; otherwise it is read and dropped. */
  answerStarted (attempt: Attempt, status: number, statusText: string, head: ResponseHead): boolean
  /** Returns false to pause the target. */
  answerData (chunk: Buffer): boolean
  answerEnded (attempt: Attempt, trailers: Readonly<Record<string, string | string[] | undefined>>): void
  attemptFailed (attempt: Attempt, outcome: AttemptOutcome, err: Error): void
  /** The connection is free again; called for each attempt, cancelled ones included. */
  attemptReleased (attempt: Attempt, answered: boolean): void
}

/** The caller, or the deadline, ended an attempt. */
export class AttemptCancelled extends Error {
  readonly code = 'attempt-cancelled'
}

/** Made once: its stack says nothing and taking it for each cancelled call would cost. */
const CANCELLED = new AttemptCancelled('the call has ended')

/** Rest of a dropped answer that is read to keep the connection. */
const MAX_DROPPED_BYTES = 64 * 1024

/** One attempt: a request on one connection to one target, as undici's handler of it. */
export class Attempt implements Dispatcher.DispatchHandler {
  readonly target: Target
  readonly connection: Connection
  readonly startedAt: number
  /** Time of the answer's head; 0 before it. */
  answeredAt = 0
  status = 0
  /** The target answered that it is full. */
  shed = false
  readonly #owner: AttemptOwner
  #controller: Dispatcher.DispatchController | undefined
  #forwarding = false
  #cancelled = false
  #dropped = 0

  constructor (owner: AttemptOwner, target: Target, connection: Connection, now: number) {
    this.#owner = owner
    this.target = target
    this.connection = connection
    this.startedAt = now
  }

  /** Whether a byte of the request may have been written. */
  get sent (): boolean {
    return this.#controller !== undefined
  }

  /** Ends the attempt without a report; its connection is destroyed, or never used when it is still opening. */
  cancel (): void {
    if (this.#cancelled) return
    this.#cancelled = true
    this.#controller?.abort(CANCELLED)
  }

  resume (): void {
    this.#controller?.resume()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#cancelled) return controller.abort(CANCELLED)
    this.#controller = controller
  }

  onResponseStart (
    controller: Dispatcher.DispatchController, status: number, _headers: unknown, statusText?: string
  ): void {
    if (status < 200 || this.#cancelled) return
    this.status = status
    const raw = controller.rawHeaders as (Buffer | string)[]
    this.#forwarding = this.#owner.answerStarted(this, status, statusText ?? '', readResponseHead(raw))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#forwarding) {
      if (!this.#owner.answerData(chunk)) controller.pause()
      return
    }
    this.#dropped += chunk.length
    if (this.#dropped > MAX_DROPPED_BYTES) this.cancel()
  }

  onResponseEnd (_controller: Dispatcher.DispatchController, trailers: Record<string, string | string[] | undefined>): void {
    // Not at once: the client still counts this request as running and would pipeline the next one.
    queueMicrotask(() => this.#owner.attemptReleased(this, true))
    if (this.#forwarding && !this.#cancelled) this.#owner.answerEnded(this, trailers)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this.#owner.attemptReleased(this, false)
    if (this.#cancelled) return
    const awaited = this.#forwarding || this.status === 0
    if (awaited) this.#owner.attemptFailed(this, this.sent ? 'unknown' : 'notSent', err)
  }
}
