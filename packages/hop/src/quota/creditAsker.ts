import type { Timers } from '@lentilwheel/core'
import { MAX_QUOTA_COUNT, type QuotaAnswer, type QuotaMode, type QuotaQuestion } from '../link/messages.js'
import type { MeshWorkspace } from '../routing/meshConfig.js'
import type { LenderRanking } from './lenderRanking.js'
import type { OnAnswer } from './questionBatcher.js'
import type { QuotaDecision } from './quotaGate.js'
import { CREDIT_TTL_MS, WorkspaceCredits } from './workspaceCredits.js'

export interface CreditAskerOptions {
  timers: Pick<Timers, 'now' | 'after'>
  ranking: Pick<LenderRanking, 'first'>
  isReachable (host: string): boolean
  /** Asks a daemon, which may be the own one; calls `onAnswer` once, possibly before it returns. */
  ask (host: string, question: QuotaQuestion, mode: QuotaMode, onAnswer: OnAnswer): void
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
  /** Whether it is for callers that retry after a refusal; they get what new requests leave. */
  readonly isRepeat: boolean
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
/** Longest wait for an answer; longer than the retransmission of a lost packet takes. */
const ANSWER_TIMEOUT_MS = 300
/** Longest wait while the lender can't lend yet. */
const SETTLE_TIMEOUT_MS = 700
/** Time after a lost question or a refusal to lend until the next question. */
const ASK_AGAIN_MS = 50
/** Time after which another question is sent although one is unanswered. */
const UNANSWERED_MS = 1_000
/** Retry-After where the lender could not be asked. */
const UNKNOWN_RETRY_AFTER_MS = 300
/** Requests of a workspace that may wait for an answer at one daemon. */
const MAX_WAITING = 500
/** Time without a request after which the state of a workspace is dropped. */
const IDLE_MS = 10_000

/** Decides on callers' requests with credits that it gets from the lenders of their workspaces. */
export class CreditAsker {
  readonly #opts: CreditAskerOptions
  /** For new requests, by workspace. */
  readonly #accounts = new Map<string, Account>()
  /** For callers that retry after a refusal. */
  readonly #repeatAccounts = new Map<string, Account>()
  /** Decisions so far. */
  readonly decisions = { granted: 0, exceeded: 0, unknown: 0 }

  constructor (opts: CreditAskerOptions) {
    this.#opts = opts
  }

  /** Number of workspaces whose callers use this daemon. */
  get size (): number {
    return this.#accounts.size + this.#repeatAccounts.size
  }

  has (workspace: string): boolean {
    return this.#accounts.has(workspace) || this.#repeatAccounts.has(workspace)
  }

  /** Calls `done` once, possibly before it returns. */
  admit (workspace: MeshWorkspace, isRepeat: boolean, done: (decision: QuotaDecision) => void): void {
    if (!(workspace.ratePerS > 0 && workspace.ratePerS < Infinity)) return this.#decide(done, GRANTED)
    const now = this.#opts.timers.now()
    const account = this.#accountOf(workspace, isRepeat)
    account.requestedAt = now
    account.credits.recordRequest(now)
    if (account.waiting.length === 0 && account.credits.take(now)) return this.#decide(done, GRANTED)
    if (now < account.emptyUntil) return this.#decide(done, { kind: 'exceeded', retryAfterMs: account.emptyUntil - now })
    if (account.waiting.length >= MAX_WAITING) return this.#decide(done, { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_AFTER_MS })
    account.waiting.push({ since: now, giveUpAt: now + (now < account.pausedUntil ? SETTLE_TIMEOUT_MS : ANSWER_TIMEOUT_MS), done })
    this.#scheduleGiveUp(account)
    this.#ask(account)
  }

  /** Adds a credit for a request that ended without having run. */
  giveBack (workspace: MeshWorkspace): void {
    const account = this.#accountOf(workspace, false)
    account.credits.add(1, this.#opts.timers.now() + CREDIT_TTL_MS)
    this.#serve(account)
  }

  /** Asks anew for the requests that wait, as other daemons than before may lend. */
  askAgain (): void {
    for (const account of [...this.#accounts.values(), ...this.#repeatAccounts.values()]) {
      if (account.waiting.length === 0) continue
      account.pausedUntil = 0
      this.#ask(account)
    }
  }

  /** Drops the state of workspaces that have been idle. */
  sweep (now: number): void {
    this.#drop(({ requestedAt }) => now - requestedAt > IDLE_MS)
  }

  /** Drops the state of workspaces that the active configuration doesn't have. */
  retain (workspaces: ReadonlyMap<string, unknown>): void {
    this.#drop(({ workspace }) => !workspaces.has(workspace.name))
  }

  #drop (isUnneeded: (account: Account) => boolean): void {
    for (const accounts of [this.#accounts, this.#repeatAccounts]) {
      for (const [name, account] of accounts) if (account.waiting.length === 0 && isUnneeded(account)) accounts.delete(name)
    }
  }

  #accountOf (workspace: MeshWorkspace, isRepeat: boolean): Account {
    const accounts = isRepeat ? this.#repeatAccounts : this.#accounts
    let account = accounts.get(workspace.name)
    if (!account) {
      account = createAccount(workspace, isRepeat, this.#opts.timers.now())
      accounts.set(workspace.name, account)
    }
    account.workspace = workspace
    return account
  }

  #decide (done: (decision: QuotaDecision) => void, decision: QuotaDecision): void {
    this.decisions[decision.kind]++
    done(decision)
  }

  /** Asks the lender for the requests that wait, unless its answer to an earlier question is still to come. */
  #ask (account: Account): void {
    const now = this.#opts.timers.now()
    const { workspace, isRepeat, waiting, question: pending } = account
    if (waiting.length === 0 || now < account.pausedUntil) return
    const { host, mode } = this.#whomToAsk(account, now)
    if (pending && pending.host === host && pending.mode === mode && now - pending.askedAt < UNANSWERED_MS) return
    const count = Math.min(MAX_QUOTA_COUNT, Math.max(waiting.length, account.credits.expectedDemand(now)))
    const sent: SentQuestion = { host, mode, askedAt: now, count }
    account.question = sent
    const question: QuotaQuestion = { workspace: workspace.name, count, ratePerS: workspace.ratePerS, burst: workspace.burst, isRepeat }
    const onAnswer: OnAnswer = (answer) => this.#onAnswer(account, sent, answer)
    this.#opts.ask(host, question, mode, onAnswer)
  }

  #whomToAsk (account: Account, now: number): { host: string, mode: QuotaMode } {
    const host = this.#opts.ranking.first(account.workspace.name, now)
    const { handover } = account
    const isHandover = handover?.to === host && now < handover.until && this.#opts.isReachable(handover.from)
    return isHandover ? { host: handover.from, mode: 'handover' } : { host, mode: 'direct' }
  }

  #onAnswer (account: Account, sent: SentQuestion, answer: QuotaAnswer | undefined): void {
    const isAwaited = account.question === sent
    if (isAwaited) account.question = undefined
    const isLent = answer?.kind === 'lent'
    if (isLent && answer.count > 0) account.credits.add(answer.count, sent.askedAt + CREDIT_TTL_MS)
    this.#serve(account)
    if (!isAwaited) return
    if (!isLent) return this.#onNotLent(account, sent, answer)
    account.lastLender = sent.host
    if (answer.count < sent.count) this.#refuseWaiting(account, answer.waitMs)
    else this.#ask(account)
  }

  /** Chooses whom to ask next, and when, after a question that was lost or whose receiver doesn't lend. */
  #onNotLent (account: Account, { host, mode }: SentQuestion, answer: Exclude<QuotaAnswer, { kind: 'lent' }> | undefined): void {
    if (mode === 'handover') return this.#endHandover(account)
    if (answer?.kind === 'settling') return this.#waitForLender(account, host, answer.waitMs)
    const isReplaced = this.#opts.ranking.first(account.workspace.name, this.#opts.timers.now()) !== host
    if (isReplaced) this.#ask(account)
    else this.#pause(account, ASK_AGAIN_MS)
  }

  /** The lender can't lend yet: the one before is asked until it can, if there is one. */
  #waitForLender (account: Account, to: string, waitMs: number): void {
    for (const request of account.waiting) request.giveUpAt = request.since + SETTLE_TIMEOUT_MS
    const { lastLender } = account
    if (lastLender === undefined || lastLender === to || !this.#opts.isReachable(lastLender)) return this.#pause(account, waitMs)
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
}

function createAccount (workspace: MeshWorkspace, isRepeat: boolean, now: number): Account {
  return {
    workspace,
    isRepeat,
    credits: new WorkspaceCredits(),
    waiting: [],
    question: undefined,
    lastLender: undefined,
    handover: undefined,
    emptyUntil: 0,
    pausedUntil: 0,
    isGiveUpScheduled: false,
    requestedAt: now
  }
}
