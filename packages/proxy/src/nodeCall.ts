import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import type { Cancel } from '@lentilwheel/core'
import { mayHaveRun, mayRetry, type AttemptOutcome } from './attempts/outcome.js'
import { CallVersion } from './callVersion.js'
import {
  ATTEMPT_HEADER, DEADLINE_HEADER, MAX_DISCARDED_BODY_BYTES, MAX_HELD_BODY_BYTES, NOT_RUN_HEADER
} from './constants.js'
import { Attempt, type AttemptOwner } from './nodeAttempt.js'
import { BodyTooLarge, CallerBody, type BodyProgress } from './nodeCallerBody.js'
import { refuse, type ProxyCore } from './nodeProxyCore.js'
import type { Target } from './nodeTarget.js'
import { REFUSALS, type Refusal } from './requests/refusal.js'
import type { RequestHead } from './requests/requestHead.js'
import type { ResponseHead } from './requests/responseHead.js'
import type { CompiledRoute } from './routing/router.js'
import type { ServiceState, WaitingCall } from './service/serviceState.js'

/** Undici's refusals of a request before it is sent; they say nothing about the target. */
const NO_ATTEMPT_ERROR_CODES: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED'])
const OVERLOADED_STATUS = 503
const FIRST_ERROR_STATUS = 500

/** One call, from its accepted head to the end of its answer; it makes its attempts one after the other. */
export class Call implements AttemptOwner, WaitingCall<Target> {
  readonly deadline: number
  queueIndex = -1
  readonly #core: ProxyCore
  readonly #req: IncomingMessage
  readonly #res: ServerResponse
  readonly #head: RequestHead
  readonly #route: CompiledRoute
  readonly #service: ServiceState<Target>
  readonly #idempotent: boolean
  readonly #progress: BodyProgress
  readonly #tried: Target[] = []
  readonly #version: CallVersion
  #heldBody: Buffer | undefined
  #attempt: Attempt | undefined
  #attempts = 0
  #mayHaveRun = false
  #ended = false
  #awaitsContinue: boolean
  #sendsTrailers = false
  readonly #cancelDeadline: Cancel

  constructor (
    core: ProxyCore, req: IncomingMessage, res: ServerResponse, head: RequestHead, route: CompiledRoute,
    service: ServiceState<Target>, awaitsContinue: boolean
  ) {
    this.#core = core
    this.#req = req
    this.#res = res
    this.#head = head
    this.#route = route
    this.#service = service
    this.#awaitsContinue = awaitsContinue
    this.#idempotent = route.idempotentMethods.has(req.method!)
    this.#version = new CallVersion(route.service.current, core.shareOf(route.serviceName), core.random)
    this.#progress = { taken: 0, maxBytes: route.service.maxBodyBytes }
    const timeoutMs = Math.min(route.timeoutMs, head.deadlineMs)
    this.deadline = core.timers.now() + timeoutMs
    this.#cancelDeadline = core.timers.after(timeoutMs, () => this.#onDeadline())
  }

  start (): void {
    const length = this.#head.bodyLength
    this.#service.budget.earn()
    if (length > this.#route.service.maxBodyBytes) return this.#refuse(REFUSALS.bodyTooLarge)
    if (length > 0 && length <= MAX_HELD_BODY_BYTES) this.#holdBody()
    else this.#admit()
  }

  begin (target: Target): void {
    const now = this.#core.timers.now()
    const connection = target.acquire(!this.#idempotent, now)
    const attempt = new Attempt(this, target, connection, now)
    this.#attempt = attempt
    this.#attempts++
    this.#core.counters.attempts++
    target.inFlight++
    this.#sendContinue()
    connection.client.dispatch(this.#requestOptions(now), attempt)
  }

  readmit (): void {
    this.#admit()
  }

  answerStarted (attempt: Attempt, status: number, statusText: string, head: ResponseHead): boolean {
    const now = this.#core.timers.now()
    attempt.answeredAt = now
    const outcome: AttemptOutcome = head.notRun && status >= 400 ? 'refusedUnrun' : 'answered'
    attempt.shed = outcome === 'refusedUnrun' || status === OVERLOADED_STATUS
    if (attempt.shed) {
      attempt.target.observeShed()
      this.#observe(attempt, false, now)
      if (this.#tryAgain(attempt, outcome, now)) return false
    }
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    this.#writeHead(status, statusText, head, outcome === 'refusedUnrun' && !this.#mayHaveRun)
    return true
  }

  answerData (chunk: Buffer): boolean {
    if (this.#res.write(chunk)) return true
    this.#res.once('drain', () => this.#attempt?.resume())
    return false
  }

  answerEnded (attempt: Attempt, trailers: Readonly<Record<string, string | string[] | undefined>>): void {
    const ok = attempt.status < FIRST_ERROR_STATUS
    attempt.target.observe(ok || attempt.shed, attempt.answeredAt - attempt.startedAt, attempt.answeredAt)
    if (!attempt.shed) this.#observe(attempt, ok, attempt.answeredAt)
    if (this.#sendsTrailers) this.#res.addTrailers(trailers as Record<string, string>)
    this.#res.end()
    this.#end()
    if (!this.#req.complete) this.#req.resume()
  }

  attemptFailed (attempt: Attempt, outcome: AttemptOutcome, err: Error): void {
    const now = this.#core.timers.now()
    if (err instanceof BodyTooLarge) {
      this.#mayHaveRun = true
      return this.#refuse(REFUSALS.bodyTooLarge)
    }
    if (NO_ATTEMPT_ERROR_CODES.has((err as { code?: string }).code ?? '')) return this.#refuse(REFUSALS.badHead)
    this.#core.counters.failedAttempts++
    attempt.target.observe(false, now - attempt.startedAt, now)
    this.#observe(attempt, false, now)
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    if (this.#res.headersSent) return this.#breakAnswer()
    if (!this.#tryAgain(attempt, outcome, now)) {
      this.#refuse(outcome === 'notSent' ? REFUSALS.unreachable : REFUSALS.noAnswer)
    }
  }

  attemptReleased (attempt: Attempt, answered: boolean): void {
    const now = this.#core.timers.now()
    attempt.target.giveBack(attempt.connection, answered, now)
    this.#service.release(attempt.target, now - attempt.startedAt)
  }

  /** The caller's connection has closed, or the answer has been sent whole. */
  closed (): void {
    this.#cancelDeadline()
    if (this.#ended) return
    this.#core.counters.callerAborts++
    this.#end()
    const attempt = this.#attempt
    if (!attempt) return
    if (attempt.answeredAt === 0) attempt.target.observeNoAnswer(this.#core.timers.now() - attempt.startedAt)
    attempt.cancel()
  }

  /** Waits for the whole of a small body, so that each attempt can send it and no slot waits for the caller. */
  #holdBody (): void {
    const chunks: Buffer[] = []
    this.#sendContinue()
    this.#req.on('data', (chunk: Buffer) => chunks.push(chunk))
    this.#req.once('end', () => {
      if (this.#ended) return
      this.#heldBody = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
      this.#admit()
    })
  }

  #admit (): void {
    if (!this.#service.hasTargets(this.#version.name)) this.#version.fallBack()
    const { name } = this.#version
    const target = this.#service.choose(name, this.#tried)
    if (target) return this.begin(target)
    if (!this.#service.hasTargets(name)) return this.#refuse(REFUSALS.noTarget)
    if (!this.#service.enqueue(name, this, this.#core.timers.now())) return this.#refuse(REFUSALS.overloaded)
    this.#core.counters.queued++
  }

  #requestOptions (now: number): Dispatcher.DispatchOptions {
    const headers = this.#head.headers.slice()
    headers.push(DEADLINE_HEADER, String(Math.max(1, Math.floor(this.deadline - now))))
    const attempts = this.#head.upstreamAttempts + this.#attempts - 1
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
    return this.#heldBody ?? new CallerBody(this.#req, this.#progress)
  }

  /** Starts another attempt if the outcome, the budget and the time allow it. */
  #tryAgain (attempt: Attempt, outcome: AttemptOutcome, now: number): boolean {
    const allowed = mayRetry({
      outcome,
      status: attempt.status,
      idempotent: this.#idempotent,
      bodyReplayable: this.#progress.taken === 0,
      attempts: this.#attempts,
      maxAttempts: this.#route.service.maxAttempts,
      upstreamAttempts: this.#head.upstreamAttempts,
      remainingMs: this.deadline - now
    })
    if (!allowed) return false
    if (!this.#service.budget.tryTake()) {
      this.#core.counters.retriesDenied++
      return false
    }
    if (mayHaveRun(outcome)) this.#mayHaveRun = true
    this.#core.counters.retries++
    this.#tried.push(attempt.target)
    this.#attempt = undefined
    this.#version.fallBack()
    this.#admit()
    return true
  }

  #writeHead (status: number, statusText: string, head: ResponseHead, notRun: boolean): void {
    const headers = head.headers
    this.#sendsTrailers = head.hasTrailers && this.#isChunked(status, head)
    if (head.hasTrailers && !this.#sendsTrailers) removeHeader(headers, 'trailer')
    if (notRun) headers.push(NOT_RUN_HEADER, '1')
    if (this.#mustClose()) headers.push('connection', 'close')
    this.#res.writeHead(status, statusText, headers)
    // Node holds the head back until the first bytes of the body.
    if (!head.hasLength) this.#res.flushHeaders()
  }

  #isChunked (status: number, head: ResponseHead): boolean {
    return !head.hasLength && this.#req.httpVersionMinor > 0 && this.#req.method !== 'HEAD' &&
      status !== 204 && status !== 304
  }

  /** A body that is still coming is read to its end only when that is little work. */
  #mustClose (): boolean {
    if (this.#core.draining) return true
    return !this.#req.complete && (this.#head.bodyLength < 0 || this.#head.bodyLength > MAX_DISCARDED_BODY_BYTES)
  }

  #sendContinue (): void {
    if (!this.#awaitsContinue) return
    this.#awaitsContinue = false
    this.#res.writeContinue()
  }

  #observe (attempt: Attempt, ok: boolean, now: number): void {
    const { serviceName, name } = this.#route
    this.#core.observer?.onCall(serviceName, name, attempt.target.view.version, ok, now - attempt.startedAt)
  }

  #refuse (refusal: Refusal): void {
    this.#attempt?.cancel()
    if (this.#res.headersSent) return this.#breakAnswer()
    this.#core.counters.refused++
    this.#end()
    // A caller that took until the deadline to send its body isn't waited for any longer.
    const stalled = refusal === REFUSALS.deadline && !this.#req.complete
    refuse(this.#res, refusal, { notRun: !this.#mayHaveRun, close: stalled || this.#mustClose() })
    if (!this.#req.complete) this.#req.resume()
  }

  /** The caller must not take a part for the whole: a reset is the only sign left. */
  #breakAnswer (): void {
    this.#core.counters.brokenAnswers++
    this.#end()
    const socket = this.#res.socket
    if (socket) socket.resetAndDestroy()
    else this.#res.destroy()
  }

  #onDeadline (): void {
    // The answer is given, but the caller doesn't take it.
    if (this.#ended) return this.#breakAnswer()
    const attempt = this.#attempt
    this.#core.counters.timeouts++
    if (attempt?.sent) this.#mayHaveRun = true
    // A head that came in time makes it the caller or the size of the body that was slow.
    if (attempt && attempt.answeredAt === 0) {
      const now = this.#core.timers.now()
      attempt.target.observe(false, now - attempt.startedAt, now)
      this.#observe(attempt, false, now)
    }
    this.#refuse(REFUSALS.deadline)
  }

  /** The call takes part in nothing from here on. */
  #end (): void {
    this.#ended = true
    this.#service.abandon(this.#version.name, this)
  }
}

function removeHeader (headers: string[], name: string): void {
  for (let i = headers.length - 2; i >= 0; i -= 2) {
    if (headers[i] === name) headers.splice(i, 2)
  }
}
