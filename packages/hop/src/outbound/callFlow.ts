import { match } from 'ts-pattern'
import { isFullReason, type FailureReason, type NotRunReason } from '../link/reasons.js'
import type { HopReply, OfferMode } from '../link/messages.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import { isRefused, type Standing } from '../quarantine/quarantine.js'
import type { Candidate } from './costEstimate.js'
import type { HedgePlacement } from './hedging.js'

/** What the flow of one request tells `OutboundCall` to do. */
export type CallCommand =
  | { kind: 'offer', attempt: number, candidate: Candidate, mode: OfferMode, isRetry: boolean, isHedge: boolean }
  | { kind: 'cancel', attempt: number }
  /** Sets the only timer of the flow; a later one replaces it. */
  | { kind: 'timer', ms: number }
  | { kind: 'respond', reply: Extract<HopReply, { kind: 'response' }> }
  /** The request has not run and will not; the caller may retry. */
  | { kind: 'reject', reason: string, retryAfterMs: number }
  /** The request may have run. */
  | { kind: 'fail', status: 502 | 504, reason: string }

/** What the flow of one request is told. */
export type CallEvent =
  | { kind: 'reply', attempt: number, reply: HopReply }
  | { kind: 'timer' }
  /** The reply to an offer is ready, and waits for the link of its host. */
  | { kind: 'answered', attempt: number }
  | { kind: 'callerLeft' }
  /** The daemon is about to exit; attempts in flight will get no reply. */
  | { kind: 'stopping' }

/** State that the flow reads; each call returns the current one. */
export interface CallContext {
  now (): number
  /** Targets that may get the request, best first. */
  candidates (exclude: ReadonlySet<string>): Candidate[]
  /** What is known against the request. */
  standing (): Standing
  /** Milliseconds until a request that is held or blocked may be sent. */
  refusedMs (): number
  /** Number of crashes that count against the request. */
  crashes (): number
  /** Takes a retry from the retry budget; false if none is left. */
  tryWithdrawRetry (): boolean
  /** Milliseconds without a reply after which an idempotent request that was offered to the candidate is hedged. */
  hedgeDelayMs (candidate: Candidate): number
  /** Takes a hedge from the limits on them; undefined if they allow none. */
  tryWithdrawHedge (hasFreeTarget: boolean): HedgePlacement | undefined
  /** Milliseconds after which a rejected caller should retry. */
  retryAfterMs (): number
}

/** What the flow needs to know of its request. */
export interface CallInput {
  route: MeshRoute
  /** When the caller's deadline or the route's timeout passes. */
  deadlineAt: number
  bodyBytes: number
}

/** One offer of the request to a target. */
interface Attempt {
  number: number
  candidate: Candidate
  mode: OfferMode
  startedAt: number
  /** Time without a reply after which the request is hedged; Infinity for never. */
  hedgeDelayMs: number
  /** Whether its reply is known to be ready. */
  isAnswered: boolean
}

/** Number of targets without a free slot after which the request queues at the best target. */
const MAX_IMMEDIATE_OFFERS = 2
/** Bodies of this size or more are sent to another data centre only after a target there has confirmed a free slot. */
const MIN_PROBE_BODY_BYTES = 2_048
/** Number of rejected offers after which a request is rejected. */
const MAX_REJECTED_OFFERS = 12
/** How long after the deadline a reply is still accepted. */
const DEADLINE_GRACE_MS = 100
/** Time that must be left for a retry, as a fraction of the target latency. */
const MIN_RETRY_TIME = 0.25
/** Pause before looking for targets again when all were unavailable, or when the request runs already and may crash its target. */
const RECHECK_MS = 60
/** How long a request waits for any target to become available. */
const MAX_TARGET_WAIT_MS = 400

/**
 * State machine of one request at the caller's daemon, without input or output of its own: it yields commands and is fed
 * events. It offers the request to the best targets for a free slot and queues it at one of them if they have none. It
 * retries requests that have surely not run or whose route is idempotent, and hedges the latter. It ends with the response
 * of a target, a rejection (the request has surely not run) or a failure (it may have run), unless the caller leaves before.
 */
export function * callFlow (input: CallInput, context: CallContext): Generator<CallCommand[], void, CallEvent> {
  const flow = new Flow(input, context)
  let commands = flow.start()
  while (!flow.isDone) commands = flow.onEvent(yield commands)
  yield commands
}

class Flow {
  readonly #input: CallInput
  readonly #context: CallContext
  /** Since when the request needs a target: its start, then the end of its last run. */
  #waitsSince: number
  readonly #inFlight = new Map<number, Attempt>()
  /** Hosts whose target the request may have reached. */
  readonly #reached = new Set<string>()
  /** Hosts whose target was unreachable or accepted no requests when last offered this one. */
  readonly #unavailable = new Set<string>()
  /** Hosts whose target had no free slot for this request. */
  readonly #busy = new Set<string>()
  #attempts = 0
  #rejectedOffers = 0
  #mayHaveRun = false
  #hasHedged = false
  /** Targets that crashed while they ran the request. */
  #crashes = 0
  #lastReason = ''
  #lastResponse: Extract<HopReply, { kind: 'response' }> | undefined
  /** Whether a retry waits until the request is no longer held. */
  #isRetryDue = false
  isDone = false

  constructor (input: CallInput, context: CallContext) {
    this.#input = input
    this.#context = context
    this.#waitsSince = context.now()
  }

  start (): CallCommand[] {
    return this.#offerOrWait()
  }

  onEvent (event: CallEvent): CallCommand[] {
    return match(event)
      .with({ kind: 'callerLeft' }, () => this.#end([]))
      .with({ kind: 'stopping' }, () => this.#endWithoutResponse('stopping'))
      .with({ kind: 'timer' }, () => this.#onTimer())
      .with({ kind: 'answered' }, ({ attempt }) => this.#onAnswered(attempt))
      .with({ kind: 'reply' }, ({ attempt, reply }) => this.#onReply(attempt, reply))
      .exhaustive()
  }

  /** The answer is only on its way: a second run would make another one wait for a link. */
  #onAnswered (number: number): CallCommand[] {
    const attempt = this.#inFlight.get(number)
    if (!attempt) return []
    attempt.isAnswered = true
    return [this.#nextTimer()]
  }

  #onReply (number: number, reply: HopReply): CallCommand[] {
    const attempt = this.#inFlight.get(number)
    if (!attempt) return []
    this.#inFlight.delete(number)
    return match(reply)
      .with({ kind: 'response' }, (response) => this.#onResponse(attempt, response))
      .with({ kind: 'notRun' }, ({ reason }) => this.#onNotRun(attempt, reason))
      .with({ kind: 'failed' }, ({ reason }) => this.#onFailed(attempt, reason))
      .exhaustive()
  }

  #onResponse (attempt: Attempt, response: Extract<HopReply, { kind: 'response' }>): CallCommand[] {
    const isFailure = response.status >= 500 || response.unframed
    if (!isFailure || !this.#input.route.idempotent || response.isFinal) return this.#end([{ kind: 'respond', reply: response }])
    this.#lastResponse = response
    return this.#onFailedRun(attempt, response.unframed ? 'unframed' : `status ${response.status}`)
  }

  #onNotRun (attempt: Attempt, reason: NotRunReason): CallCommand[] {
    // The reply to a probe: a slot is free.
    if (reason === 'vacant') return this.#inFlight.size > 0 ? [] : this.#offer(attempt.candidate, 'now')
    this.#rejectedOffers++
    this.#lastReason = reason
    if (isFullReason(reason)) this.#busy.add(attempt.candidate.host)
    else if (reason !== 'displacing' && reason !== 'suspect') this.#unavailable.add(attempt.candidate.host)
    // The target received the request and shed it, so another offer takes a retry from the budget.
    if (reason === 'shed') {
      this.#reached.add(attempt.candidate.host)
      return this.#retryOrEnd()
    }
    if (this.#inFlight.size > 0) return []
    if (reason === 'suspect' && this.#mayWait) return [{ kind: 'timer', ms: RECHECK_MS }]
    if (reason === 'suspect' || reason === 'quarantined') return this.#endWithoutResponse(reason)
    if (reason === 'expired' || reason === 'displacing' || (isFullReason(reason) && attempt.mode === 'queue')) return this.#endWithoutResponse(reason)
    return this.#offerOrWait()
  }

  #onFailed (attempt: Attempt, reason: FailureReason): CallCommand[] {
    // A probe carries no request, so nothing can have run.
    if (attempt.mode === 'ask') return this.#onNotRun(attempt, 'unsent')
    this.#mayHaveRun = true
    if (reason === 'crashed') this.#crashes++
    if (!this.#input.route.idempotent) return this.#end([{ kind: 'fail', status: this.#isPastDeadline ? 504 : 502, reason }])
    return this.#onFailedRun(attempt, reason)
  }

  #onTimer (): CallCommand[] {
    const now = this.#context.now()
    if (now >= this.#input.deadlineAt + DEADLINE_GRACE_MS) return this.#endWithoutResponse('deadline')
    if (this.#inFlight.size === 0) return this.#isRetryDue ? this.#retryOrEnd() : this.#offerOrWait()
    const [attempt] = this.#inFlight.values()
    if (this.#mayHedge(attempt!) && now - attempt!.startedAt >= attempt!.hedgeDelayMs) {
      this.#hasHedged = true
      this.#reached.add(attempt!.candidate.host)
      const commands = this.#hedge()
      if (commands) return commands
    }
    return [this.#nextTimer()]
  }

  /** Offers the request to the next target; without one, waits and tries again, or rejects the request. */
  #offerOrWait (): CallCommand[] {
    if (this.#isPastDeadline) return this.#endWithoutResponse('deadline')
    if (isRefused(this.#context.standing())) return this.#waitOrRefuse()
    if (this.#rejectedOffers >= MAX_REJECTED_OFFERS) return this.#endWithoutResponse(this.#lastReason)
    const commands = this.#offerNext()
    if (commands) return commands
    if (this.#candidates().length > 0) return this.#endWithoutResponse('busy')
    if (!this.#mayWait) return this.#endWithoutResponse('noTarget')
    this.#unavailable.clear()
    return [{ kind: 'timer', ms: RECHECK_MS }]
  }

  /** Waits until a request that is held for a short time may be sent; refuses one that is held for longer, or blocked. */
  #waitOrRefuse (): CallCommand[] {
    const ms = Math.ceil(this.#context.refusedMs())
    if (this.#context.standing() === 'blocked') return this.#endWithoutResponse('quarantined')
    if (ms > MAX_TARGET_WAIT_MS || this.#context.now() + ms >= this.#input.deadlineAt) return this.#endWithoutResponse('suspect')
    return [{ kind: 'timer', ms }]
  }

  /** Offers the request to the best target that isn't busy; if all are, queues it at the best target whose queue isn't full. */
  #offerNext (): CallCommand[] | undefined {
    const candidates = this.#candidates()
    const notBusy = candidates.find(({ host, isBusy }) => !isBusy && !this.#busy.has(host))
    if (notBusy && candidates.length > 1 && this.#busy.size < MAX_IMMEDIATE_OFFERS) return this.#offer(notBusy, this.#needsProbe(notBusy) ? 'ask' : 'now')
    const best = candidates.find(({ isQueueFull }) => !isQueueFull)
    return best && this.#offer(best, 'queue')
  }

  /** Whether to probe the target for a free slot before sending it the body. */
  #needsProbe ({ isLocal }: Candidate): boolean {
    return !isLocal && this.#input.bodyBytes >= MIN_PROBE_BODY_BYTES
  }

  #candidates (): Candidate[] {
    return this.#context.candidates(new Set([...this.#reached, ...this.#unavailable]))
  }

  #offer (candidate: Candidate, mode: OfferMode): CallCommand[] {
    const attempt: Attempt = { number: ++this.#attempts, candidate, mode, startedAt: this.#context.now(), hedgeDelayMs: this.#hedgeDelayMs(candidate, mode), isAnswered: false }
    const isRetry = this.#reached.size > 0
    const isHedge = this.#inFlight.size > 0
    this.#inFlight.set(attempt.number, attempt)
    return [{ kind: 'offer', attempt: attempt.number, candidate, mode, isRetry, isHedge }, this.#nextTimer()]
  }

  /** A request of an idempotent route failed and may have run: retries it elsewhere, or ends with the failure. */
  #onFailedRun (attempt: Attempt, reason: string): CallCommand[] {
    this.#mayHaveRun = true
    this.#waitsSince = this.#context.now()
    this.#lastReason = reason
    this.#reached.add(attempt.candidate.host)
    return this.#retryOrEnd()
  }

  #retryOrEnd (): CallCommand[] {
    if (this.#inFlight.size > 0) return []
    this.#isRetryDue = this.#mayRetry && this.#context.standing() === 'held'
    if (this.#isRetryDue) return this.#waitOrRefuse()
    const commands = this.#retry()
    if (commands) return commands
    if (this.#lastResponse) return this.#end([{ kind: 'respond', reply: this.#lastResponse }])
    return this.#endWithoutResponse(this.#lastReason)
  }

  /** Offers the request to another target, within the limits on attempts and time and the retry budget. */
  #retry (): CallCommand[] | undefined {
    if (!this.#mayRetry || !this.#hasTimeForRetry) return undefined
    if (this.#candidates().length === 0 || !this.#context.tryWithdrawRetry()) return undefined
    this.#busy.clear()
    return this.#offerNext()
  }

  /** Offers a request that runs to a second target, within the same limits and those on hedges. */
  #hedge (): CallCommand[] | undefined {
    if (!this.#mayRetry || !this.#hasTimeForRetry) return undefined
    const candidates = this.#candidates()
    if (candidates.length === 0) return undefined
    const free = candidates.find((candidate) => !candidate.isBusy && !this.#needsProbe(candidate))
    const placement = this.#context.tryWithdrawHedge(free !== undefined)
    if (!placement) return undefined
    this.#busy.clear()
    return placement === 'freeSlot' && free ? this.#offer(free, 'now') : this.#offerNext()
  }

  get #hasTimeForRetry (): boolean {
    const { route, deadlineAt } = this.#input
    return deadlineAt - this.#context.now() >= route.targetLatencyMs * MIN_RETRY_TIME
  }

  #mayHedge (attempt: Attempt): boolean {
    return !this.#hasHedged && this.#input.route.idempotent && attempt.mode === 'now' && !attempt.isAnswered && this.#crashes === 0 && this.#context.standing() === 'clear'
  }

  /** Whether attempts are left. A request that has been on a crashed target is retried once, unless another crash counts against it. */
  get #mayRetry (): boolean {
    if (this.#reached.size >= this.#input.route.maxAttempts || this.#context.standing() === 'blocked') return false
    return this.#crashes === 0 || (this.#crashes === 1 && this.#context.crashes() <= 1)
  }

  /** Ends without the response of a target: as rejected if the request has surely not run, else as failed. */
  #endWithoutResponse (reason: string): CallCommand[] {
    const mayRunStill = [...this.#inFlight.values()].some(({ mode }) => mode !== 'ask')
    if (this.#mayHaveRun || mayRunStill) {
      return this.#end([{ kind: 'fail', status: this.#isPastDeadline ? 504 : 502, reason }])
    }
    return this.#end([{ kind: 'reject', reason, retryAfterMs: this.#context.retryAfterMs() }])
  }

  /** Ends the flow and cancels the attempts still in flight. */
  #end (commands: CallCommand[]): CallCommand[] {
    this.isDone = true
    for (const number of this.#inFlight.keys()) commands.push({ kind: 'cancel', attempt: number })
    this.#inFlight.clear()
    return commands
  }

  #nextTimer (): CallCommand {
    const now = this.#context.now()
    const untilDeadlineMs = Math.max(0, this.#input.deadlineAt + DEADLINE_GRACE_MS - now)
    const [attempt] = this.#inFlight.values()
    if (!attempt || !this.#mayHedge(attempt)) return { kind: 'timer', ms: untilDeadlineMs }
    return { kind: 'timer', ms: Math.max(1, Math.min(untilDeadlineMs, attempt.startedAt + attempt.hedgeDelayMs - now)) }
  }

  get #mayWait (): boolean {
    return this.#context.now() - this.#waitsSince < MAX_TARGET_WAIT_MS
  }

  #hedgeDelayMs (candidate: Candidate, mode: OfferMode): number {
    return this.#input.route.idempotent && mode === 'now' ? this.#context.hedgeDelayMs(candidate) : Infinity
  }

  get #isPastDeadline (): boolean {
    return this.#context.now() >= this.#input.deadlineAt
  }
}
