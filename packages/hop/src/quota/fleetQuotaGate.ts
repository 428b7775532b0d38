import type { Cancel, Random, Timers } from '@lentilwheel/core'
import type { QuotaAnswer, QuotaMessage, QuotaMode, QuotaQuestion } from '../link/messages.js'
import type { CallLog } from '../observe/callLog.js'
import type { MeshWorkspace } from '../routing/meshConfig.js'
import { CreditAsker } from './creditAsker.js'
import { Lender, type QuotaLimit } from './lender.js'
import { LenderRanking } from './lenderRanking.js'
import { QuestionBatcher, type OnAnswer, type QuestionBatcherOptions } from './questionBatcher.js'
import type { QuotaDecision, QuotaGate } from './quotaGate.js'
import type { QuotaFleetView } from './quotaFleetView.js'
import { ReachSample, type ReachSampleOptions } from './reachSample.js'

export interface FleetQuotaGateOptions extends QuestionBatcherOptions, Pick<ReachSampleOptions, 'askReach'> {
  /** Host of this daemon. */
  own: string
  timers: Timers
  random: Random
  log: CallLog
  /** Limit in the active configuration; undefined if it doesn't have the workspace. */
  limitOf (workspace: string): QuotaLimit | undefined
  /** Requests by which the deployment lets a workspace pass its quota in a short time; absent for none. */
  slack?: number | undefined
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

/** Time for another daemon's answer to a question that is passed on. */
const RELAY_TIMEOUT_MS = 100
const TICK_MS = 200
/** Time between two ticks from which on the process counts as having been suspended. */
const SUSPENDED_MS = 800
const SWEEP_INTERVAL_MS = 1_000

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
  readonly #asker: CreditAsker
  #reachable: ReadonlySet<string> = new Set()
  /** Part of the daemons believed to run that this one can reach, itself included. */
  #reachableShare = 1
  #stopTicking: Cancel | undefined
  #tickedAt = 0
  #hasWorkspaces = false
  #sweptAt = 0

  constructor (opts: FleetQuotaGateOptions) {
    const { own, timers, random, limitOf, slack } = opts
    this.#opts = opts
    this.#ranking = new LenderRanking({ own, startedAt: timers.now() })
    this.#reachSample = new ReachSample(opts)
    this.#lender = new Lender({ random, ranking: this.#ranking, limitOf, slack, shareOf: (workspace) => this.#shareOf(workspace) })
    this.#batcher = new QuestionBatcher(opts)
    this.#asker = new CreditAsker({
      timers,
      ranking: this.#ranking,
      isReachable: (host) => this.#reachable.has(host),
      ask: (host, question, mode, onAnswer) => this.#ask(host, question, mode, onAnswer)
    })
  }

  /** Whether anybody has asked for a decision or for credits. */
  get isUsed (): boolean {
    return this.#tickedAt > 0
  }

  get counts (): QuotaCounts {
    return { ...this.#asker.decisions, questions: this.#batcher.messages, lent: this.#lender.lent, buckets: this.#lender.size }
  }

  admit (workspace: MeshWorkspace, done: (decision: QuotaDecision) => void, isRepeat = false): void {
    this.#startTicking()
    this.#asker.admit(workspace, isRepeat, done)
  }

  giveBack (workspace: MeshWorkspace): void {
    this.#startTicking()
    this.#asker.giveBack(workspace)
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
    if (this.#ranking.setCandidates(candidates, this.#opts.timers.now(), (host) => this.#reachable.has(host))) this.#asker.askAgain()
  }

  /** Drops the state of workspaces that the active configuration doesn't have. */
  retain (workspaces: ReadonlyMap<string, unknown>): void {
    this.#hasWorkspaces = workspaces.size > 0
    if (this.#hasWorkspaces) this.#startTicking()
    this.#asker.retain(workspaces)
  }

  #ask (host: string, question: QuotaQuestion, mode: QuotaMode, onAnswer: OnAnswer): void {
    if (host === this.#opts.own) onAnswer(this.#lend(question, mode))
    else this.#batcher.add(host, question, mode, onAnswer)
  }

  #shareOf (workspace: string): number {
    return this.#reachableShare * this.#reachSample.partWithout(this.#ranking.blockersOf(workspace))
  }

  #lend (question: QuotaQuestion, mode: QuotaMode): QuotaAnswer {
    this.#startTicking()
    const now = this.#opts.timers.now()
    this.#checkSuspended(now)
    return this.#lender.answer(question, mode, now)
  }

  /** Ticks notice that the process was suspended, so they go on while nothing is asked; without workspaces there are none. */
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
    this.#asker.sweep(now)
    this.#ranking.retain((workspace) => this.#asker.has(workspace) || this.#lender.has(workspace))
    const changes = this.#lender.takeChanges()
    if (changes) this.#opts.log.decision('quotaLender', { ...changes, buckets: this.#lender.size })
    if (this.#hasWorkspaces || this.#asker.size + this.#lender.size > 0) return
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
