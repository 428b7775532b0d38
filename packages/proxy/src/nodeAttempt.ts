import type { AttemptOutcome } from './attempts/outcome.js'
import type { Connection, Target } from './nodeTarget.js'
import { readResponseHead, type ResponseHead } from './requests/responseHead.js'

/** What an attempt reports to its call; at most one of failed and ended is called, once. */
export interface AttemptOwner {
  /** Returns whether the body goes on to the caller; otherwise it is read and dropped. */
  answerStarted (attempt: Attempt, status: number, statusText: string, head: ResponseHead): boolean
  /** Returns false to pause the target. */
  answerData (chunk: Buffer): boolean
  /** Trailers are names and values, flat. */
  answerEnded (attempt: Attempt, trailers: readonly (Buffer | string)[] | null): void
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

/**
 * One attempt: a request on one connection to one target, as undici's handler of it. It has undici's older handler
 * methods: the newer ones parse each answer's headers into an object that the proxy doesn't need.
 */
export class Attempt {
  readonly target: Target
  readonly connection: Connection
  readonly startedAt: number
  /** Time of the answer's head; 0 before it. */
  answeredAt = 0
  status = 0
  readonly #owner: AttemptOwner
  #abort: ((err?: Error) => void) | undefined
  #resume: (() => void) | undefined
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
    return this.#abort !== undefined
  }

  /** Ends the attempt without a report; its connection is destroyed, or never used when it is still opening. */
  cancel (): void {
    if (this.#cancelled) return
    this.#cancelled = true
    this.#abort?.(CANCELLED)
  }

  resume (): void {
    this.#resume?.()
  }

  onConnect (abort: (err?: Error) => void): void {
    if (this.#cancelled) return abort(CANCELLED)
    this.#abort = abort
  }

  /** Returns false to pause the target. */
  onHeaders (status: number, rawHeaders: Buffer[], resume: () => void, statusText: string): boolean {
    if (status < 200 || this.#cancelled) return true
    this.status = status
    this.#resume = resume
    this.#forwarding = this.#owner.answerStarted(this, status, statusText, readResponseHead(rawHeaders))
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.#forwarding) return this.#owner.answerData(chunk)
    this.#dropped += chunk.length
    if (this.#dropped > MAX_DROPPED_BYTES) this.cancel()
    return true
  }

  onComplete (trailers: string[] | null): void {
    this.#owner.attemptReleased(this, true)
    if (this.#forwarding && !this.#cancelled) this.#owner.answerEnded(this, trailers)
  }

  onError (err: Error): void {
    this.#owner.attemptReleased(this, false)
    if (this.#cancelled) return
    const awaited = this.#forwarding || this.status === 0
    if (awaited) this.#owner.attemptFailed(this, this.sent ? 'unknown' : 'notSent', err)
  }
}
