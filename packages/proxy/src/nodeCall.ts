import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import type { Cancel } from '@lentilwheel/core'
import { mayHaveRun, mayRetry, type AttemptOutcome } from './attempts/outcome.js'
import { CallVersion } from './callVersion.js'
import {
  ATTEMPT_HEADER, DEADLINE_HEADER, MAX_BUFFERED_BODY_BYTES, MAX_DISCARDED_BODY_BYTES, NOT_RUN_HEADER
} from './constants.js'
import { Attempt, type AttemptOwner } from './nodeAttempt.js'
import { BodyTooLarge, CallerBody, type BodyProgress } from './nodeCallerBody.js'
import { reject, type ProxyContext } from './nodeProxyContext.js'
import type { Target } from './nodeTarget.js'
import { REJECTIONS, type Rejection } from './requests/rejection.js'
import type { RequestHead } from './requests/requestHead.js'
import type { ResponseHead } from './requests/responseHead.js'
import type { CompiledRoute } from './routing/router.js'
import type { QueuedCall, ServiceState } from './service/serviceState.js'

/** Errors with which undici rejects a request before it is sent; they aren't failures of the target. */
const INVALID_REQUEST_ERROR_CODES: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED'])
const OVERLOADED_STATUS = 503
const MIN_ERROR_STATUS = 500

/**
 * One call, from its request's head to the end of its response. It makes its attempts one after the other and decides
 * on retries, the deadline and what the caller is told.
 */
export class Call implements AttemptOwner, QueuedCall<Target> {
  readonly deadline: number
  queueIndex = -1
  readonly #context: ProxyContext
  readonly #req: IncomingMessage
  readonly #res: ServerResponse
  readonly #head: RequestHead
  readonly #route: CompiledRoute
  readonly #service: ServiceState<Target>
  readonly #isIdempotent: boolean
  readonly #bodyProgress: BodyProgress
  readonly #triedTargets: Target[] = []
  readonly #version: CallVersion
  #bufferedBody: Buffer | undefined
  #attempt: Attempt | undefined
  #attemptCount = 0
  #mayHaveRun = false
  #hasEnded = false
  #isAwaitingContinue: boolean
  #hasTrailers = false
  readonly #cancelDeadline: Cancel

  constructor (
    context: ProxyContext, req: IncomingMessage, res: ServerResponse, head: RequestHead, route: CompiledRoute,
    service: ServiceState<Target>, isAwaitingContinue: boolean
  ) {
    this.#context = context
    this.#req = req
    this.#res = res
    this.#head = head
    this.#route = route
    this.#service = service
    this.#isAwaitingContinue = isAwaitingContinue
    this.#isIdempotent = route.idempotentMethods.has(req.method!)
    this.#version = new CallVersion(route.service.current, context.shareOf(route.serviceName), context.random)
    this.#bodyProgress = { consumedBytes: 0, maxBytes: route.service.maxBodyBytes }
    const timeoutMs = Math.min(route.timeoutMs, head.remainingMs)
    this.deadline = context.timers.now() + timeoutMs
    this.#cancelDeadline = context.timers.after(timeoutMs, () => this.#onDeadline())
  }

  start (): void {
    const length = this.#head.bodyLength
    this.#service.retryBudget.deposit()
    if (length > this.#route.service.maxBodyBytes) return this.#reject(REJECTIONS.bodyTooLarge)
    if (length > 0 && length <= MAX_BUFFERED_BODY_BYTES) this.#bufferBody()
    else this.#admit()
  }

  /** Sends the request to a target that has a free slot. */
  startAttempt (target: Target): void {
    const now = this.#context.timers.now()
    const connection = target.acquire(!this.#isIdempotent, now)
    const attempt = new Attempt(this, target, connection, now)
    this.#attempt = attempt
    this.#attemptCount++
    this.#context.counters.attempts++
    target.inFlight++
    this.#sendContinue()
    connection.client.dispatch(this.#requestOptions(now), attempt)
  }

  readmit (): void {
    this.#admit()
  }

  responseStarted (attempt: Attempt, status: number, statusText: string, head: ResponseHead): boolean {
    const now = this.#context.timers.now()
    attempt.respondedAt = now
    const outcome: AttemptOutcome = head.notRun && status >= 400 ? 'refusedUnrun' : 'answered'
    attempt.isShed = outcome === 'refusedUnrun' || status === OVERLOADED_STATUS
    if (attempt.isShed) {
      attempt.target.recordShed()
      this.#reportAttempt(attempt, false, now)
      if (this.#tryRetry(attempt, outcome, now)) return false
    }
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    this.#writeHead(status, statusText, head, outcome === 'refusedUnrun' && !this.#mayHaveRun)
    return true
  }

  responseData (chunk: Buffer): boolean {
    if (this.#res.write(chunk)) return true
    this.#res.once('drain', () => this.#attempt?.resume())
    return false
  }

  responseEnded (attempt: Attempt, trailers: Readonly<Record<string, string | string[] | undefined>>): void {
    const ok = attempt.status < MIN_ERROR_STATUS
    attempt.target.recordOutcome(ok || attempt.isShed, attempt.respondedAt - attempt.startedAt, attempt.respondedAt)
    if (!attempt.isShed) this.#reportAttempt(attempt, ok, attempt.respondedAt)
    if (this.#hasTrailers) this.#res.addTrailers(trailers as Record<string, string>)
    this.#res.end()
    this.#end()
    if (!this.#req.complete) this.#req.resume()
  }

  attemptFailed (attempt: Attempt, outcome: AttemptOutcome, err: Error): void {
    const now = this.#context.timers.now()
    if (err instanceof BodyTooLarge) {
      this.#mayHaveRun = true
      return this.#reject(REJECTIONS.bodyTooLarge)
    }
    if (INVALID_REQUEST_ERROR_CODES.has((err as { code?: string }).code ?? '')) return this.#reject(REJECTIONS.badHead)
    this.#context.counters.failedAttempts++
    attempt.target.recordOutcome(false, now - attempt.startedAt, now)
    this.#reportAttempt(attempt, false, now)
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    if (this.#res.headersSent) return this.#abortResponse()
    if (!this.#tryRetry(attempt, outcome, now)) {
      this.#reject(outcome === 'notSent' ? REJECTIONS.unreachable : REJECTIONS.noAnswer)
    }
  }

  attemptReleased (attempt: Attempt, isReusable: boolean): void {
    const now = this.#context.timers.now()
    attempt.target.release(attempt.connection, isReusable, now)
    this.#service.releaseSlot(attempt.target, now - attempt.startedAt)
  }

  /** Called when the caller's connection has closed or the response has been sent completely. */
  onClose (): void {
    this.#cancelDeadline()
    if (this.#hasEnded) return
    this.#context.counters.callerAborts++
    this.#end()
    const attempt = this.#attempt
    if (!attempt) return
    if (attempt.respondedAt === 0) attempt.target.recordAbandoned(this.#context.timers.now() - attempt.startedAt)
    attempt.cancel()
  }

  /** Buffers a small body before admission, so that each attempt can send it and no slot waits for a slow caller. */
  #bufferBody (): void {
    const chunks: Buffer[] = []
    this.#sendContinue()
    this.#req.on('data', (chunk: Buffer) => chunks.push(chunk))
    this.#req.once('end', () => {
      if (this.#hasEnded) return
      this.#bufferedBody = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
      this.#admit()
    })
  }

  /** Starts an attempt if a target has a free slot; otherwise queues or rejects the call. */
  #admit (): void {
    if (!this.#service.hasTargets(this.#version.name)) this.#version.fallBack()
    const { name } = this.#version
    const target = this.#service.chooseTarget(name, this.#triedTargets)
    if (target) return this.startAttempt(target)
    if (!this.#service.hasTargets(name)) return this.#reject(REJECTIONS.noTarget)
    if (!this.#service.enqueue(name, this, this.#context.timers.now())) return this.#reject(REJECTIONS.overloaded)
    this.#context.counters.queued++
  }

  #requestOptions (now: number): Dispatcher.DispatchOptions {
    const headers = this.#head.headers.slice()
    headers.push(DEADLINE_HEADER, String(Math.max(1, Math.floor(this.deadline - now))))
    const attempts = this.#head.upstreamAttempts + this.#attemptCount - 1
    if (attempts > 0) headers.push(ATTEMPT_HEADER, String(attempts))
    return {
      path: this.#req.url!,
      method: this.#req.method as Dispatcher.HttpMethod,
      headers,
      body: this.#requestBody(),
      idempotent: true
    }
  }

  #requestBody (): Buffer | CallerBody | null {
    if (this.#head.bodyLength === 0) return null
    return this.#bufferedBody ?? new CallerBody(this.#req, this.#bodyProgress)
  }

  /** Admits the call for another attempt if the outcome, the retry budget and the time left allow it. */
  #tryRetry (attempt: Attempt, outcome: AttemptOutcome, now: number): boolean {
    const isAllowed = mayRetry({
      outcome,
      status: attempt.status,
      isIdempotent: this.#isIdempotent,
      isBodyReplayable: this.#bodyProgress.consumedBytes === 0,
      attempts: this.#attemptCount,
      maxAttempts: this.#route.service.maxAttempts,
      upstreamAttempts: this.#head.upstreamAttempts,
      remainingMs: this.deadline - now
    })
    if (!isAllowed) return false
    if (!this.#service.retryBudget.tryWithdraw()) {
      this.#context.counters.retriesDenied++
      return false
    }
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    this.#context.counters.retries++
    this.#triedTargets.push(attempt.target)
    this.#attempt = undefined
    this.#version.fallBack()
    this.#admit()
    return true
  }

  #writeHead (status: number, statusText: string, head: ResponseHead, notRun: boolean): void {
    const headers = head.headers
    this.#hasTrailers = head.hasTrailers && this.#isChunked(status, head)
    if (head.hasTrailers && !this.#hasTrailers) removeHeader(headers, 'trailer')
    if (notRun) headers.push(NOT_RUN_HEADER, '1')
    if (this.#mustCloseConnection()) headers.push('connection', 'close')
    this.#res.writeHead(status, statusText, headers)
    // Without this, Node sends the head only with the first bytes of the body.
    if (!head.hasContentLength) this.#res.flushHeaders()
  }

  #isChunked (status: number, head: ResponseHead): boolean {
    return !head.hasContentLength && this.#req.httpVersionMinor > 0 && this.#req.method !== 'HEAD' &&
      status !== 204 && status !== 304
  }

  /** Whether the connection must close: when draining, or when the rest of the body may be too large to discard. */
  #mustCloseConnection (): boolean {
    if (this.#context.isDraining) return true
    return !this.#req.complete && (this.#head.bodyLength < 0 || this.#head.bodyLength > MAX_DISCARDED_BODY_BYTES)
  }

  #sendContinue (): void {
    if (!this.#isAwaitingContinue) return
    this.#isAwaitingContinue = false
    this.#res.writeContinue()
  }

  #reportAttempt (attempt: Attempt, ok: boolean, now: number): void {
    const { serviceName, name } = this.#route
    this.#context.observer?.onCall(serviceName, name, attempt.target.endpoint.version, ok, now - attempt.startedAt)
  }

  #reject (rejection: Rejection): void {
    this.#attempt?.cancel()
    if (this.#res.headersSent) return this.#abortResponse()
    this.#context.counters.refused++
    this.#end()
    // The rest of a body that didn't arrive by the deadline isn't awaited.
    const isStalled = rejection === REJECTIONS.deadline && !this.#req.complete
    reject(this.#res, rejection, { notRun: !this.#mayHaveRun, close: isStalled || this.#mustCloseConnection() })
    if (!this.#req.complete) this.#req.resume()
  }

  /** Resets the caller's connection: after the head, only that tells the caller that the response is incomplete. */
  #abortResponse (): void {
    this.#context.counters.brokenAnswers++
    this.#end()
    const socket = this.#res.socket
    if (socket) socket.resetAndDestroy()
    else this.#res.destroy()
  }

  #onDeadline (): void {
    // The response is complete, but the caller hasn't read it by the deadline.
    if (this.#hasEnded) return this.#abortResponse()
    const attempt = this.#attempt
    this.#context.counters.timeouts++
    if (attempt?.mayBeSent) this.#mayHaveRun = true
    // If the head arrived in time, the caller or the size of the body was slow, which isn't the target's failure.
    if (attempt && attempt.respondedAt === 0) {
      const now = this.#context.timers.now()
      attempt.target.recordOutcome(false, now - attempt.startedAt, now)
      this.#reportAttempt(attempt, false, now)
    }
    this.#reject(REJECTIONS.deadline)
  }

  /** Marks the call as ended and removes it from the queue; later events are ignored. */
  #end (): void {
    this.#hasEnded = true
    this.#service.removeQueued(this.#version.name, this)
  }
}

function removeHeader (headers: string[], name: string): void {
  for (let i = headers.length - 2; i >= 0; i -= 2) {
    if (headers[i] === name) headers.splice(i, 2)
  }
}
