import { match } from 'ts-pattern'
import type { FailureReason, HopReply, NotRunReason, OfferMode } from '../link/messages.js'
import type { MeshRoute } from '../routing/meshConfig.js'
import type { Candidate } from './placer.js'

/** What the flow of one request asks its driver to do. */
export type CallCommand =
  | { kind: 'offer', attempt: number, candidate: Candidate, mode: OfferMode, repeat: boolean }
  | { kind: 'cancel', attempt: number }
  /** Sets the one timer of the flow; a later one replaces it. */
  | { kind: 'timer', ms: number }
  | { kind: 'answer', reply: Extract<HopReply, { kind: 'response' }> }
  /** Nothing ran and nothing will; the caller may come back. */
  | { kind: 'refuse', reason: string, retryAfterMs: number }
  /** The request may have run. */
  | { kind: 'fail', status: 502 | 504, reason: string }

export type CallEvent =
  | { kind: 'reply', attempt: number, reply: HopReply }
  | { kind: 'timer' }
  | { kind: 'callerLeft' }
  /** The daemon is about to end, and nothing will come of what is under way. */
  | { kind: 'stopping' }

/** What the flow reads of the world; each call gives the present state. */
export interface CallView {
  now (): number
  /** Targets that may get the request, the best first. */
  candidates (exclude: ReadonlySet<string>): Candidate[]
  /** Takes a repeat from the retry budget. */
  takeRepeat (): boolean
  /** Milliseconds until a refused caller should come back. */
  retryAfterMs (): number
}

export interface CallInput {
  route: MeshRoute
  /** When the caller or the route's timeout ends the request. */
  deadlineAt: number
  bodyBytes: number
}

interface Attempt {
  number: number
  candidate: Candidate
  mode: OfferMode
  startedAt: number
}

/** Targets that are asked for a free slot before the request queues at the best of them. */
const MAX_NOW_OFFERS = 2
/** Bodies of this size go to another data centre only once a target there has said that it has a slot. */
const ASK_FIRST_BYTES = 2_048
/** Offers that didn't lead to a target, after which a request is refused. */
const MAX_OFFERS = 12
/** Part of the target latency after which a silent attempt of a repeatable request is doubled. */
const HEDGE_AFTER = 0.9
/** Time after the deadline in which the answer to it may still come. */
const DEADLINE_GRACE_MS = 100
/** A request with less time than this left, as a part of the target latency, isn't sent again. */
const MIN_REPEAT_PART = 0.25
/** Pause before targets that were all unavailable are looked at again. */
const REOFFER_MS = 60
/** Time for which a request may look for a target that is available at all. */
const SEARCH_MS = 400

/**
 * The course of one request at the caller's daemon: it asks the best targets for a free slot, queues at one of them,
 * repeats what may be repeated, and ends with an answer, a true refusal, or a failure that promises nothing.
 */
export function * callFlow (input: CallInput, view: CallView): Generator<CallCommand[], void, CallEvent> {
  const flow = new Flow(input, view)
  let commands = flow.begin()
  while (!flow.isOver) commands = flow.onEvent(yield commands)
  yield commands
}

class Flow {
  readonly #input: CallInput
  readonly #view: CallView
  readonly #startedAt: number
  readonly #open = new Map<number, Attempt>()
  /** Hosts whose target the request may have reached. */
  readonly #reached = new Set<string>()
  /** Hosts whose target could not be reached or took no work when it was last asked. */
  readonly #away = new Set<string>()
  /** Hosts whose target had no free slot. */
  readonly #busy = new Set<string>()
  #attempts = 0
  #fruitless = 0
  #mayHaveRun = false
  #hedged = false
  #lastReason = ''
  #lastResponse: Extract<HopReply, { kind: 'response' }> | undefined
  isOver = false

  constructor (input: CallInput, view: CallView) {
    this.#input = input
    this.#view = view
    this.#startedAt = view.now()
  }

  begin (): CallCommand[] {
    return this.#place()
  }

  onEvent (event: CallEvent): CallCommand[] {
    return match(event)
      .with({ kind: 'callerLeft' }, () => this.#end([]))
      .with({ kind: 'stopping' }, () => this.#giveUp('stopping'))
      .with({ kind: 'timer' }, () => this.#onTimer())
      .with({ kind: 'reply' }, ({ attempt, reply }) => this.#onReply(attempt, reply))
      .exhaustive()
  }

  #onReply (number: number, reply: HopReply): CallCommand[] {
    const attempt = this.#open.get(number)
    if (!attempt) return []
    this.#open.delete(number)
    return match(reply)
      .with({ kind: 'response' }, (response) => this.#onResponse(attempt, response))
      .with({ kind: 'notRun' }, ({ reason }) => this.#onNotRun(attempt, reason))
      .with({ kind: 'failed' }, ({ reason }) => this.#onFailed(attempt, reason))
      .exhaustive()
  }

  #onResponse (attempt: Attempt, response: Extract<HopReply, { kind: 'response' }>): CallCommand[] {
    const isFailure = response.status >= 500 || response.unframed
    if (!isFailure || !this.#input.route.idempotent) return this.#end([{ kind: 'answer', reply: response }])
    this.#lastResponse = response
    return this.#afterRun(attempt, response.unframed ? 'unframed' : `status ${response.status}`)
  }

  #onNotRun (attempt: Attempt, reason: NotRunReason): CallCommand[] {
    if (reason === 'vacant') return this.#open.size > 0 ? [] : this.#offer(attempt.candidate, 'now')
    this.#fruitless++
    this.#lastReason = reason
    if (reason === 'busy') this.#busy.add(attempt.candidate.host)
    else if (reason !== 'displacing') this.#away.add(attempt.candidate.host)
    if (reason === 'shed') {
      this.#reached.add(attempt.candidate.host)
      return this.#repeatOrEnd()
    }
    if (this.#open.size > 0) return []
    if (reason === 'expired' || reason === 'displacing' || (reason === 'busy' && attempt.mode === 'queue')) return this.#giveUp(reason)
    return this.#place()
  }

  #onFailed (attempt: Attempt, reason: FailureReason): CallCommand[] {
    if (attempt.mode === 'ask') return this.#onNotRun(attempt, 'unsent')
    this.#mayHaveRun = true
    if (!this.#input.route.idempotent) return this.#end([{ kind: 'fail', status: this.#isLate ? 504 : 502, reason }])
    return this.#afterRun(attempt, reason)
  }

  #onTimer (): CallCommand[] {
    const now = this.#view.now()
    if (now >= this.#input.deadlineAt + DEADLINE_GRACE_MS) return this.#giveUp('deadline')
    if (this.#open.size === 0) return this.#place()
    const [attempt] = this.#open.values()
    if (this.#mayHedge(attempt!) && now - attempt!.startedAt >= this.#hedgeMs) {
      this.#hedged = true
      this.#reached.add(attempt!.candidate.host)
      const commands = this.#repeat()
      if (commands) return commands
    }
    return [this.#timer()]
  }

  /** Offers the request to the next target; without any, waits a moment or refuses. */
  #place (): CallCommand[] {
    if (this.#isLate) return this.#giveUp('deadline')
    if (this.#fruitless >= MAX_OFFERS) return this.#giveUp(this.#lastReason)
    const commands = this.#offerNext()
    if (commands) return commands
    if (this.#candidates().length > 0) return this.#giveUp('busy')
    if (this.#view.now() - this.#startedAt >= SEARCH_MS) return this.#giveUp('noTarget')
    this.#away.clear()
    return [{ kind: 'timer', ms: REOFFER_MS }]
  }

  /** Asks the best target not found busy for a slot; when all are busy, queues at the best. */
  #offerNext (): CallCommand[] | undefined {
    const candidates = this.#candidates()
    const untried = candidates.find(({ host, isBusy }) => !isBusy && !this.#busy.has(host))
    if (untried && candidates.length > 1 && this.#busy.size < MAX_NOW_OFFERS) return this.#offer(untried, this.#asksFirst(untried) ? 'ask' : 'now')
    const best = candidates.find(({ isFull }) => !isFull)
    return best && this.#offer(best, 'queue')
  }

  #asksFirst ({ isNear }: Candidate): boolean {
    return !isNear && this.#input.bodyBytes >= ASK_FIRST_BYTES
  }

  #candidates (): Candidate[] {
    return this.#view.candidates(new Set([...this.#reached, ...this.#away]))
  }

  #offer (candidate: Candidate, mode: OfferMode): CallCommand[] {
    const attempt: Attempt = { number: ++this.#attempts, candidate, mode, startedAt: this.#view.now() }
    this.#open.set(attempt.number, attempt)
    const repeat = this.#reached.size > 0
    return [{ kind: 'offer', attempt: attempt.number, candidate, mode, repeat }, this.#timer()]
  }

  #afterRun (attempt: Attempt, reason: string): CallCommand[] {
    this.#mayHaveRun = true
    this.#lastReason = reason
    this.#reached.add(attempt.candidate.host)
    return this.#repeatOrEnd()
  }

  #repeatOrEnd (): CallCommand[] {
    if (this.#open.size > 0) return []
    const commands = this.#repeat()
    if (commands) return commands
    if (this.#lastResponse) return this.#end([{ kind: 'answer', reply: this.#lastResponse }])
    return this.#giveUp(this.#lastReason)
  }

  /** Sends the request to another target, within its attempts, its time and the budget. */
  #repeat (): CallCommand[] | undefined {
    const { route, deadlineAt } = this.#input
    if (this.#reached.size >= route.maxAttempts) return undefined
    if (deadlineAt - this.#view.now() < route.targetLatencyMs * MIN_REPEAT_PART) return undefined
    if (this.#candidates().length === 0 || !this.#view.takeRepeat()) return undefined
    this.#busy.clear()
    return this.#offerNext()
  }

  #mayHedge (attempt: Attempt): boolean {
    return !this.#hedged && this.#input.route.idempotent && attempt.mode === 'now'
  }

  #giveUp (reason: string): CallCommand[] {
    const isOffered = [...this.#open.values()].some(({ mode }) => mode !== 'ask')
    if (this.#mayHaveRun || isOffered) {
      return this.#end([{ kind: 'fail', status: this.#isLate ? 504 : 502, reason }])
    }
    return this.#end([{ kind: 'refuse', reason, retryAfterMs: this.#view.retryAfterMs() }])
  }

  /** Ends the flow and gives up what is still open. */
  #end (commands: CallCommand[]): CallCommand[] {
    this.isOver = true
    for (const number of this.#open.keys()) commands.push({ kind: 'cancel', attempt: number })
    this.#open.clear()
    return commands
  }

  #timer (): CallCommand {
    const now = this.#view.now()
    const lastMs = Math.max(0, this.#input.deadlineAt + DEADLINE_GRACE_MS - now)
    const [attempt] = this.#open.values()
    if (!attempt || !this.#mayHedge(attempt)) return { kind: 'timer', ms: lastMs }
    return { kind: 'timer', ms: Math.max(1, Math.min(lastMs, attempt.startedAt + this.#hedgeMs - now)) }
  }

  get #hedgeMs (): number {
    return HEDGE_AFTER * this.#input.route.targetLatencyMs
  }

  get #isLate (): boolean {
    return this.#view.now() >= this.#input.deadlineAt
  }
}
