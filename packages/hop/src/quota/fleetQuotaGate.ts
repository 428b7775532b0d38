import type { Cancel, Random, Timers } from '@lentilwheel/core'
import { MAX_QUOTA_COUNT, type QuotaAnswer, type QuotaMessage, type QuotaMode, type QuotaQuestion } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { MeshWorkspace } from '../routing/meshConfig.js'
import { Lender, type QuotaLimit } from './lender.js'
import { LenderRanking } from './lenderRanking.js'
import { QuestionBatcher, type OnAnswer, type QuestionBatcherOptions } from './questionBatcher.js'
import type { QuotaDecision, QuotaGate } from './quotaGate.js'
import type { QuotaFleetView } from './quotaFleetView.js'
import { ReachSample, type ReachSampleOptions } from './reachSample.js'
import { CREDIT_TTL_MS, WorkspaceCredits } from './workspaceCredits.js'

export interface FleetQuotaGateOptions extends QuestionBatcherOptions, Pick<ReachSampleOptions, 'askReach'> {
  /** Host of this daemon. */
  own: string
  timers: Timers
  random: Random
  log: CallLog
  /** Limit in the active configuration; undefined if it doesn't have the workspace. */
  limitOf (workspace: string): QuotaLimit | undefined
}

/** Decisions and messages so far. */
export interface QuotaCounts {
  granted: number
  exceeded: number
  unknown: number
  /** Messages with questions that this daemon sent. */
  questions: number
  /** Credits that it lent, to itself as well. */
  lent: number
  /** Workspaces that it lends for. */
  buckets: number
}

interface WaitingRequest {
  readonly since: number
  /** When the request ends as unknown. */
  giveUpAt: number
  readonly done: (decision: QuotaDecision) => void
}

interface SentQuestion {
  readonly host: string
  readonly mode: QuotaMode
  readonly askedAt: number
  readonly count: number
}

/** A lender that can't lend yet, and the one that does until then. */
interface Handover {
  readonly to: string
  readonly from: string
  readonly until: number
}

/** What this daemon keeps for a workspace whose callers use it. */
interface Account {
  workspace: MeshWorkspace
  readonly credits: WorkspaceCredits
  /** Requests that wait for an answer, in the order in which they came. */
  readonly waiting: WaitingRequest[]
  /** The question whose answer is awaited. */
  question: SentQuestion | undefined
  /** The host that last lent. */
  lastLender: string | undefined
  handover: Handover | undefined
  /** Time before which the lender has nothing for this daemon. */
  emptyUntil: number
  /** Time before which the lender isn't asked again, as it can't lend yet or gave no answer. */
  pausedUntil: number
  isGiveUpScheduled: boolean
  requestedAt: number
}

const GRANTED: QuotaDecision = { kind: 'granted' }
/** Longest wait for an answer. */
const ANSWER_TIMEOUT_MS = 300
/** Longest wait while the lender can't lend yet. */
const SETTLE_TIMEOUT_MS = 700
/** Time after a lost question or a refusal to lend until the next question. */
const ASK_AGAIN_MS = 50
/** Time after which another question is sent although one is unanswered. */
const UNANSWERED_MS = 1_000
/** Time for another daemon's answer to a question that is passed on. */
const RELAY_TIMEOUT_MS = 100
/** Retry-After where the lender could not be asked. */
const UNKNOWN_RETRY_AFTER_MS = 300
/** Requests of a workspace that may wait for an answer at one daemon. */
const MAX_WAITING = 500
const TICK_MS = 200
/** Time between two ticks from which on the process counts as having been suspended. */
const SUSPENDED_MS = 800
const SWEEP_INTERVAL_MS = 1_000
/** Time without a request after which the state of a workspace is dropped. */
const IDLE_MS = 10_000

/**
 * Counts requests of workspaces against quotas that hold for all daemons together. One daemon lends for each workspace; the
 * others ask it for credits, each of which allows one request and expires soon.
 */
export class FleetQuotaGate implements QuotaGate {
  readonly #opts: FleetQuotaGateOptions
  readonly #ranking: LenderRanking
  readonly #lender: Lender
  readonly #reachSample: ReachSample
  readonly #batcher: QuestionBatcher
  readonly #accounts = new Map<string, Account>()
  readonly #decisions = { granted: 0, exceeded: 0, unknown: 0 }
  #reachable: ReadonlySet<string> = new Set()
  /** Part of the daemons believed to run that this one can reach, itself included. */
  #reachableShare = 1
  #stopTicking: Cancel | undefined
  #tickedAt = 0
  #sweptAt = 0

  constructor (opts: FleetQuotaGateOptions) {
    const { own, timers, random, limitOf } = opts
    this.#opts = opts
    this.#ranking = new LenderRanking({ own, startedAt: timers.now() })
    this.#reachSample = new ReachSample(opts)
    this.#lender = new Lender({ random, ranking: this.#ranking, limitOf, shareOf: (workspace) => this.#shareOf(workspace) })
    this.#batcher = new QuestionBatcher(opts)
  }

  /** Whether anybody has asked for a decision or for credits. */
  get isUsed (): boolean {
    return this.#tickedAt > 0
  }

  get counts (): QuotaCounts {
    return { ...this.#decisions, questions: this.#batcher.messages, lent: this.#lender.lent, buckets: this.#lender.size }
  }

  admit (workspace: MeshWorkspace, done: (decision: QuotaDecision) => void): void {
    if (!(workspace.ratePerS > 0 && workspace.ratePerS < Infinity)) return this.#decide(done, GRANTED)
    const now = this.#opts.timers.now()
    const account = this.#accountOf(workspace)
    account.requestedAt = now
    account.credits.recordRequest(now)
    if (account.waiting.length === 0 && account.credits.take(now)) return this.#decide(done, GRANTED)
    if (now < account.emptyUntil) return this.#decide(done, { kind: 'exceeded', retryAfterMs: account.emptyUntil - now })
    if (account.waiting.length >= MAX_WAITING) return this.#decide(done, { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_AFTER_MS })
    account.waiting.push({ since: now, giveUpAt: now + ANSWER_TIMEOUT_MS, done })
    this.#scheduleGiveUp(account)
    this.#ask(account)
  }

  giveBack (workspace: MeshWorkspace): void {
    const account = this.#accountOf(workspace)
    account.credits.add(1, this.#opts.timers.now() + CREDIT_TTL_MS)
    this.#serve(account)
  }

  /** Answers the questions of another daemon; passes on those for which a daemon lends that the asker doesn't see. */
  onQuestions ({ mode, questions }: QuotaMessage, reply: (answers: QuotaAnswer[]) => void): void {
    const answers: QuotaAnswer[] = questions.map((question) => this.#lend(question, mode))
    const passedOn = mode !== 'direct' ? [] : [...answers.keys()].filter((i) => answers[i]!.kind === 'notLender')
    if (passedOn.length === 0) return reply(answers)
    let missing = passedOn.length
    let isDone = false
    const finish = (): void => {
      if (isDone) return
      isDone = true
      cancelTimeout()
      reply(answers)
    }
    const cancelTimeout = this.#opts.timers.after(RELAY_TIMEOUT_MS, finish)
    for (const i of passedOn) {
      const question = questions[i]!
      const host = this.#ranking.first(question.workspace, this.#opts.timers.now())
      this.#batcher.add(host, question, 'relayed', (answer) => {
        if (answer) answers[i] = answer
        if (--missing === 0) finish()
      })
    }
  }

  /** Takes over which daemons live; questions to a daemon that doesn't lend any more are asked anew. */
  setFleet ({ candidates, reachable, unreachable }: QuotaFleetView): void {
    this.#reachable = new Set(reachable)
    this.#reachableShare = reachable.length / (reachable.length + unreachable.length)
    this.#reachSample.setPeers(reachable.filter((host) => host !== this.#opts.own))
    this.#ranking.setUnreachable(unreachable)
    if (!this.#ranking.setCandidates(candidates, this.#opts.timers.now(), (host) => this.#reachable.has(host))) return
    for (const account of this.#accounts.values()) {
      if (account.waiting.length === 0) continue
      account.pausedUntil = 0
      this.#ask(account)
    }
  }

  /** Drops the state of workspaces that the active configuration doesn't have. */
  retain (workspaces: ReadonlyMap<string, unknown>): void {
    for (const [name, account] of this.#accounts) if (!workspaces.has(name) && account.waiting.length === 0) this.#accounts.delete(name)
  }

  #accountOf (workspace: MeshWorkspace): Account {
    let account = this.#accounts.get(workspace.name)
    if (!account) {
      account = { workspace, credits: new WorkspaceCredits(), waiting: [], question: undefined, lastLender: undefined, handover: undefined, emptyUntil: 0, pausedUntil: 0, isGiveUpScheduled: false, requestedAt: this.#opts.timers.now() }
      this.#accounts.set(workspace.name, account)
      this.#startTicking()
    }
    account.workspace = workspace
    return account
  }

  #decide (done: (decision: QuotaDecision) => void, decision: QuotaDecision): void {
    this.#decisions[decision.kind]++
    done(decision)
  }

  /** Asks the lender for the requests that wait, unless its answer to an earlier question is still to come. */
  #ask (account: Account): void {
    const now = this.#opts.timers.now()
    const { workspace, waiting, question: pending } = account
    if (waiting.length === 0 || now < account.pausedUntil) return
    const { host, mode } = this.#whomToAsk(account, now)
    if (pending && pending.host === host && pending.mode === mode && now - pending.askedAt < UNANSWERED_MS) return
    const count = Math.min(MAX_QUOTA_COUNT, Math.max(waiting.length, account.credits.expectedDemand(now)))
    const sent: SentQuestion = { host, mode, askedAt: now, count }
    account.question = sent
    const question: QuotaQuestion = { workspace: workspace.name, count, ratePerS: workspace.ratePerS, burst: workspace.burst }
    const onAnswer: OnAnswer = (answer) => this.#onAnswer(account, sent, answer)
    if (host === this.#opts.own) onAnswer(this.#lend(question, mode))
    else this.#batcher.add(host, question, mode, onAnswer)
  }

  #shareOf (workspace: string): number {
    return this.#reachableShare * this.#reachSample.partWithout(this.#ranking.blockersOf(workspace))
  }

  #whomToAsk (account: Account, now: number): { host: string, mode: QuotaMode } {
    const host = this.#ranking.first(account.workspace.name, now)
    const { handover } = account
    const isHandover = handover?.to === host && now < handover.until && this.#reachable.has(handover.from)
    return isHandover ? { host: handover.from, mode: 'handover' } : { host, mode: 'direct' }
  }

  #onAnswer (account: Account, sent: SentQuestion, answer: QuotaAnswer | undefined): void {
    const now = this.#opts.timers.now()
    const isAwaited = account.question === sent
    if (isAwaited) account.question = undefined
    const isLent = answer?.kind === 'lent'
    if (isLent && answer.count > 0) account.credits.add(answer.count, sent.askedAt + CREDIT_TTL_MS)
    this.#serve(account)
    if (!isAwaited) return
    if (isLent) {
      account.lastLender = sent.host
      if (answer.count < sent.count) this.#refuseWaiting(account, answer.waitMs)
      else this.#ask(account)
    } else if (sent.mode === 'handover') this.#endHandover(account)
    else if (answer?.kind === 'settling') this.#waitForLender(account, sent.host, answer.waitMs)
    else if (this.#ranking.first(account.workspace.name, now) !== sent.host) this.#ask(account)
    else this.#pause(account, ASK_AGAIN_MS)
  }

  /** The lender can't lend yet: the one before is asked until it can, if there is one. */
  #waitForLender (account: Account, to: string, waitMs: number): void {
    for (const request of account.waiting) request.giveUpAt = request.since + SETTLE_TIMEOUT_MS
    const { lastLender } = account
    if (lastLender === undefined || lastLender === to || !this.#reachable.has(lastLender)) return this.#pause(account, waitMs)
    account.handover = { to, from: lastLender, until: this.#opts.timers.now() + waitMs }
    this.#ask(account)
  }

  /** The lender before doesn't lend any more. */
  #endHandover (account: Account): void {
    const waitMs = (account.handover?.until ?? 0) - this.#opts.timers.now()
    account.handover = undefined
    account.lastLender = undefined
    this.#pause(account, Math.max(0, waitMs))
  }

  /** Gives the credits that are held to the requests that wait. */
  #serve ({ waiting, credits }: Account): void {
    const now = this.#opts.timers.now()
    while (waiting.length > 0 && credits.take(now)) this.#decide(waiting.shift()!.done, GRANTED)
  }

  /** Refuses the waiting requests, and those of the next `waitMs`, as the lender has nothing. */
  #refuseWaiting (account: Account, waitMs: number): void {
    account.emptyUntil = this.#opts.timers.now() + waitMs
    for (const { done } of account.waiting.splice(0)) this.#decide(done, { kind: 'exceeded', retryAfterMs: waitMs })
  }

  #pause (account: Account, ms: number): void {
    const { timers } = this.#opts
    account.pausedUntil = timers.now() + ms
    timers.after(ms, () => this.#ask(account))
  }

  #scheduleGiveUp (account: Account): void {
    if (account.isGiveUpScheduled || account.waiting.length === 0) return
    const { timers } = this.#opts
    const now = timers.now()
    const nextAt = Math.min(...account.waiting.map(({ giveUpAt }) => giveUpAt))
    account.isGiveUpScheduled = true
    timers.after(nextAt - now, () => {
      account.isGiveUpScheduled = false
      this.#giveUp(account)
      this.#scheduleGiveUp(account)
    })
  }

  /** Ends the requests that have waited for too long. */
  #giveUp ({ waiting }: Account): void {
    const now = this.#opts.timers.now()
    const late = waiting.filter(({ giveUpAt }) => giveUpAt <= now)
    if (late.length === 0) return
    const rest = waiting.filter(({ giveUpAt }) => giveUpAt > now)
    waiting.splice(0, waiting.length, ...rest)
    for (const { done } of late) this.#decide(done, { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_AFTER_MS })
  }

  #lend (question: QuotaQuestion, mode: QuotaMode): QuotaAnswer {
    this.#startTicking()
    const now = this.#opts.timers.now()
    this.#checkSuspended(now)
    return this.#lender.answer(question, mode, now)
  }

  /** There are no ticks while there is no state, so that a deployment without workspaces does no work. */
  #startTicking (): void {
    if (this.#stopTicking) return
    const { timers } = this.#opts
    this.#tickedAt = this.#sweptAt = timers.now()
    this.#stopTicking = timers.every(TICK_MS, () => this.#tick())
  }

  #tick (): void {
    const now = this.#opts.timers.now()
    this.#checkSuspended(now)
    if (now - this.#sweptAt >= SWEEP_INTERVAL_MS) this.#sweep(now)
  }

  /** Drops the state of workspaces that have been idle, and reports for how many this daemon began or ended to lend. */
  #sweep (now: number): void {
    this.#sweptAt = now
    this.#lender.sweep(now)
    for (const [name, account] of this.#accounts) {
      if (now - account.requestedAt > IDLE_MS && account.waiting.length === 0) this.#accounts.delete(name)
    }
    this.#ranking.retain((workspace) => this.#accounts.has(workspace) || this.#lender.has(workspace))
    const changes = this.#lender.takeChanges()
    if (changes) this.#opts.log.decision('quotaLender', { ...changes, buckets: this.#lender.size })
    if (this.#accounts.size + this.#lender.size > 0) return
    this.#stopTicking?.()
    this.#stopTicking = undefined
  }

  /** A process that was suspended may have been replaced as lender, which it learns only a little later. */
  #checkSuspended (now: number): void {
    const isSuspended = now - this.#tickedAt > SUSPENDED_MS
    this.#tickedAt = now
    if (isSuspended) this.#ranking.restart(now)
  }
}
