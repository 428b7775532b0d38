import type { EvidenceReport, MoveFacts, MoveOutcome } from '@lentilwheel/core'
import { SHORTEST_RAMP_MS, resolveWhenUnsure, type Move, type Service, type WhenUnsure } from '@lentilwheel/config'
import type { Capacity } from './capacity.js'
import {
  CRASH_LOSS_LIMIT, FIRST_HOLD_STAGE, LOST_TARGETS_GRACE_MS, MAX_HOLD_ALARMS, MAX_TICK_GAP_MS, MIN_BASELINE_MS,
  PROPAGATION_MS, RETEST_SHARES, STAGE_SHARES, TAKEOVER_WATCH_MS
} from './constants.js'
import type { MoveEffect } from './effects.js'
import { Baseline, EvidenceWindow, maxRates, ZERO_RATES, type BadRates, type Stratum } from './evidence.js'
import { Retest } from './retest.js'
import { HoldMonitor } from './holdMonitor.js'
import { deadlineTooCloseReason, formatShare, MoveReporter, OPERATOR_PAUSE } from './moveReporter.js'
import { firstShare, plannedStageMs } from './rampPlan.js'
import { callsNeeded, rampStep, type RampStep } from './ramp.js'
import { VersionTest } from './versionTest.js'
import { WarmUp } from './warmUp.js'

export interface CoordinatorOptions {
  /** Id of the move. */
  move: string
  /** Id of this daemon. */
  daemon: string
  /** Names of the service's routes. */
  routes: readonly string[]
  /** The old version. */
  from: string
  /** The new version. */
  to: string
  capacity: Capacity
}

/** What the coordinator reads at each tick. */
export interface CoordinatorInput {
  /** Monotonic milliseconds. */
  now: number
  /** Unix milliseconds; the deadline is compared with it. */
  wallNow: number
  cfg: Move
  service: Service
  facts: MoveFacts
  /** When this daemon learned of the current stage, on the clock of `now`. */
  stageSeenAt: number
}

/**
 * - `baseline`: all traffic goes to the old version, whose rates and latencies are measured
 * - `ramp`: the new version's share grows in stages below 100%
 * - `hold`: all traffic goes to the new version, which is monitored for the hold time
 * - `retest`: after an alarm in the hold, the share is lowered to compare both versions at the same time again
 */
type Phase = 'baseline' | 'ramp' | 'hold' | 'retest'

/**
 * Runs one move on the daemon that coordinates it: at each tick it merges the evidence of all daemons, tests whether the
 * new version is worse, and then publishes the next stage, a rollback or the outcome. All state that must survive a
 * change of coordinator is in the published facts; a coordinator that takes over stays at the current stage and gathers
 * its own evidence.
 */
export class Coordinator {
  readonly #opts: CoordinatorOptions
  readonly #reporter: MoveReporter
  readonly #baseline = new Baseline()
  readonly #warmUp = new WarmUp()
  #window: EvidenceWindow
  #test: VersionTest
  #holdMonitor: HoldMonitor
  #retest: Retest | undefined
  readonly #alarmCounts = { errors: 0, slow: 0 }
  /** Rates of bad calls that retests have shown to occur in both versions. */
  #toleratedRates: BadRates = ZERO_RATES
  /** Rates of bad calls of the old version just before all traffic left it. */
  #ratesBeforeHold: BadRates = ZERO_RATES
  /** Number of the current stage; -1 before the first tick, 0 in the baseline phase. */
  #stage = -1
  #share = 0
  #enteredAt = 0
  #plannedMs = MIN_BASELINE_MS
  #lastTickAt: number | undefined
  #startedAt = 0
  #baselineCalls = 0

  /** `history` is what this daemon has counted of the old version during the move so far. */
  constructor (opts: CoordinatorOptions, history: readonly Pick<Stratum, 'route' | 'old'>[]) {
    this.#opts = opts
    this.#reporter = new MoveReporter(opts.move, opts.daemon)
    this.#window = new EvidenceWindow(opts.from, opts.to)
    this.#test = this.#newTest()
    this.#holdMonitor = new HoldMonitor(opts.routes)
    for (const stratum of history) this.#baseline.add(stratum)
  }

  /** Adds a daemon's report to the current window. */
  onEvidence (report: EvidenceReport): void {
    this.#window.add(report, this.#stage)
  }

  /** Evaluates the window since the last tick and yields what follows from it. */
  * tick (input: CoordinatorInput): Generator<MoveEffect> {
    const strata = [...this.#window.strata()]
    this.#window = new EvidenceWindow(this.#opts.from, this.#opts.to)
    const gapMs = input.now - (this.#lastTickAt ?? input.now)
    const isStarted = this.#lastTickAt !== undefined
    this.#lastTickAt = input.now
    if (!isStarted) yield * this.#start(input)
    if (yield * this.#endIfDecided(input)) return
    this.#adoptPublishedStage(input)
    // After a pause of the process the window is dropped and the time of the stage starts over.
    if (gapMs > MAX_TICK_GAP_MS) return this.#enterStage(input, this.#stage, this.#share)
    this.#addWindow(input, strata)
    const rollbackReason = this.#rollbackReason()
    if (rollbackReason !== undefined) return yield * this.#rollBack(input, rollbackReason)
    yield * this.#runPhase(input, gapMs)
  }

  * #start (input: CoordinatorInput): Generator<MoveEffect> {
    this.#startedAt = input.now
    this.#adoptPublishedStage(input)
    if (input.facts.stage || input.facts.outcome) return this.#creditElapsedTime(input)
    const { from, to } = this.#opts
    yield * this.#reporter.started(input.cfg.service, { from, to, by: input.cfg.by })
  }

  /**
   * After a takeover, counts the time that the stage has lasted already, but leaves TAKEOVER_WATCH_MS of the planned time
   * so that this coordinator gathers evidence of its own before it goes on.
   */
  #creditElapsedTime (input: CoordinatorInput): void {
    const plannedMs = this.#phase === 'hold' ? input.cfg.hold : this.#plannedMs
    const creditMs = Math.max(0, plannedMs - TAKEOVER_WATCH_MS)
    this.#enteredAt = Math.max(input.stageSeenAt, input.now - creditMs)
  }

  /** Ends the move if a rollback, an outcome or an operator has decided it; true if there is nothing left to run. */
  * #endIfDecided (input: CoordinatorInput): Generator<MoveEffect, boolean> {
    const { rollback, outcome } = input.facts
    if (rollback) {
      if (outcome?.outcome !== 'takenBack') yield * this.#end(input, 'takenBack', rollback.reason)
      return true
    }
    if (outcome) return true
    if (input.cfg.control === 'takeBack') {
      yield * this.#rollBack(input, 'an operator took the move back')
      return true
    }
    if (input.cfg.control === 'finish' && this.#opts.capacity.readySlots > 0) {
      const before = input.facts.stage?.share ?? 0
      if (before < 1) yield * this.#publishStage(input, 1)
      yield * this.#end(input, 'done', `an operator finished the move at a share of ${formatShare(before)}`)
      return true
    }
    return false
  }

  /** Enters the last published stage if it is newer than the own one, that is, if another coordinator published it. */
  #adoptPublishedStage (input: CoordinatorInput): void {
    const stage = input.facts.stage
    if ((stage?.stage ?? 0) <= this.#stage) return
    this.#enterStage(input, stage?.stage ?? 0, stage?.share ?? 0)
  }

  #enterStage (input: CoordinatorInput, stage: number, share: number): void {
    const isReturnToHold = share === 1 && this.#stage >= FIRST_HOLD_STAGE
    this.#stage = stage
    this.#share = share
    this.#enteredAt = input.now
    this.#plannedMs = share === 0 ? baselineMs(this.#remainingMs(input)) : plannedStageMs(share, this.#remainingMs(input))
    if (isReturnToHold) this.#holdMonitor = new HoldMonitor(this.#opts.routes)
    if (share === 1) this.#ratesBeforeHold = this.#baseline.recentRates
    if (this.#phase !== 'retest') this.#retest = undefined
    else this.#retest ??= new Retest(undefined, this.#newTest(), input.now)
  }

  get #phase (): Phase {
    if (this.#stage >= FIRST_HOLD_STAGE) return this.#share === 1 ? 'hold' : 'retest'
    return this.#stage <= 0 ? 'baseline' : 'ramp'
  }

  #addWindow (input: CoordinatorInput, strata: readonly Stratum[]): void {
    const hasCalls = strata.some((stratum) => stratum.new.calls > 0)
    // Cold targets are slow at first.
    const countSlow = !this.#warmUp.isActive(input.now, this.#opts.capacity.arrivals, hasCalls)
    if (this.#phase === 'baseline') {
      for (const stratum of strata) this.#baselineCalls += stratum.old.calls
    } else {
      this.#test.update(strata, this.#baseline, countSlow)
      this.#retest?.test.update(strata, this.#baseline, countSlow)
      if (this.#phase === 'hold') this.#holdMonitor.update(strata, this.#baseline, this.#toleratedAt(input.now), countSlow)
    }
    this.#baseline.addWindow(strata)
  }

  /**
   * Rates of bad calls that raise no alarm. For MAX_BURST_MS after the change to 100% they include the old version's last
   * rates: a burst that raised them may still go on, and is no fault of the new version.
   */
  #toleratedAt (now: number): BadRates {
    if (now - this.#enteredAt > MAX_BURST_MS) return this.#toleratedRates
    return maxRates(this.#toleratedRates, this.#ratesBeforeHold)
  }

  /** Why the move must be rolled back: lost targets or a failed comparison; undefined while there is no reason. */
  #rollbackReason (): string | undefined {
    const { lostNew, lostOld } = this.#opts.capacity
    if (this.#phase !== 'baseline' && lostNew >= CRASH_LOSS_LIMIT && lostNew >= CRASH_LOSS_LIMIT * (lostOld + 1)) {
      return `${lostNew} targets of ${this.#opts.to} were lost during the move, and ${lostOld} of ${this.#opts.from}`
    }
    return this.#phase === 'baseline' ? undefined : this.#test.verdict ?? this.#retest?.test.verdict
  }

  * #runPhase (input: CoordinatorInput, gapMs: number): Generator<MoveEffect> {
    if (input.cfg.control === 'paused') {
      // The time of the pause doesn't count toward the stage.
      this.#enteredAt += gapMs
      return yield * this.#reporter.paused(this.#share, OPERATOR_PAUSE)
    }
    yield * this.#reporter.resumed(this.#share)
    switch (this.#phase) {
      case 'baseline':
      case 'ramp':
        return yield * this.#runRamp(input)
      case 'hold':
        return yield * this.#runHold(input)
      case 'retest':
        return yield * this.#runRetest(input)
    }
  }

  * #runRamp (input: CoordinatorInput): Generator<MoveEffect> {
    const remainingMs = this.#remainingMs(input)
    const whenUnsure = resolveWhenUnsure(input.cfg, input.service)
    if (this.#share === 0 && whenUnsure === 'keepOld' && this.#startedAt === input.now && remainingMs < SHORTEST_RAMP_MS) {
      return yield * this.#end(input, 'late', deadlineTooCloseReason(remainingMs, this.#opts.from))
    }
    const step = this.#rampStep(input, remainingMs)
    switch (step.kind) {
      case 'advance':
        return yield * this.#publishStage(input, step.share)
      case 'late':
        if (this.#test.isSuspicious) return yield * this.#rollBack(input, step.reason)
        return yield * this.#end(input, 'late', step.reason)
      case 'wait':
        if (input.now - this.#enteredAt >= this.#plannedMs && step.reason !== undefined) {
          yield * this.#reporter.paused(this.#share, step.reason)
        }
    }
  }

  #rampStep (input: CoordinatorInput, remainingMs: number): RampStep {
    const { capacity, from, to } = this.#opts
    const whenUnsure = resolveWhenUnsure(input.cfg, input.service)
    return rampStep({
      share: this.#share,
      firstShare: this.#share === 0 ? this.#firstShare(input, remainingMs, whenUnsure) : 0,
      elapsedMs: input.now - this.#enteredAt,
      plannedMs: this.#plannedMs,
      remainingMs,
      whenUnsure,
      newCalls: this.#test.newCalls,
      isSuspicious: this.#test.isSuspicious,
      maxShare: capacity.maxShare,
      readySlots: capacity.readySlots,
      neededSlots: capacity.neededSlots,
      from,
      to
    })
  }

  #firstShare (input: CoordinatorInput, remainingMs: number, whenUnsure: WhenUnsure): number {
    const baselineSeconds = Math.max(1, (input.now - this.#enteredAt) / 1000)
    return firstShare(this.#baselineCalls / baselineSeconds, callsNeeded(STAGE_SHARES[0]!, whenUnsure), remainingMs)
  }

  * #runHold (input: CoordinatorInput): Generator<MoveEffect> {
    const alarm = this.#holdMonitor.alarm
    if (!alarm) return yield * this.#finishHold(input)
    const finding = `${this.#opts.to} has more ${alarm.kind === 'errors' ? 'failed' : 'slow'} calls at 100% than ` +
      `${this.#opts.from} had before (${(alarm.rate * 100).toPrecision(2)}%)`
    const count = ++this.#alarmCounts[alarm.kind]
    if (count >= MAX_HOLD_ALARMS) {
      return yield * this.#rollBack(input, `${finding}, again after ${count - 1} concurrent tests at smaller shares found nothing`)
    }
    yield * this.#reporter.alarm(finding)
    this.#retest = new Retest(alarm, this.#newTest(), input.now)
    yield * this.#publishStage(input, RETEST_SHARES[Math.min(count, RETEST_SHARES.length) - 1]!)
  }

  /** Ends the move after the hold time; lost targets of the new version first get LOST_TARGETS_GRACE_MS to come back. */
  * #finishHold (input: CoordinatorInput): Generator<MoveEffect> {
    const { capacity, to, from } = this.#opts
    const overdueMs = input.now - this.#enteredAt - input.cfg.hold - PROPAGATION_MS
    if (overdueMs < 0) return
    if (capacity.maxShare >= 1) return yield * this.#end(input, 'done', this.#doneReason(input))
    const missingSlots = `${to} has ${capacity.readySlots} slots ready and ${from} had ${capacity.neededSlots}`
    if (overdueMs < LOST_TARGETS_GRACE_MS) return yield * this.#reporter.paused(this.#share, missingSlots)
    if (resolveWhenUnsure(input.cfg, input.service) === 'finish' && capacity.readySlots > 0) {
      return yield * this.#end(input, 'done', `${this.#doneReason(input)}, though ${missingSlots}`)
    }
    yield * this.#end(input, 'late', `${missingSlots} at the end of the hold time, so all traffic stays on ${from}`)
  }

  * #runRetest (input: CoordinatorInput): Generator<MoveEffect> {
    const { test, alarm } = this.#retest!
    const result = this.#retest!.result(input.now)
    if (result === 'wait') return
    if (result === 'worse' || (result === 'inconclusive' && resolveWhenUnsure(input.cfg, input.service) === 'keepOld')) {
      return yield * this.#rollBack(input, `an alarm at 100% could not be cleared by ${test.newCalls} calls at a ` +
        `share of ${formatShare(this.#share)}`)
    }
    // A retest near full load that finds no difference shows that the alarm came from a dependency of both versions.
    const isNearFullLoad = this.#share > RETEST_SHARES[0]!
    if (result === 'cleared' && isNearFullLoad) this.#toleratedRates = maxRates(this.#toleratedRates, alarm.peaks)
    yield * this.#publishStage(input, 1)
  }

  * #publishStage (input: CoordinatorInput, share: number): Generator<MoveEffect> {
    const nextStage = Math.max(this.#stage, 0) + 1
    const stage = share === 1 ? Math.max(nextStage, FIRST_HOLD_STAGE) : nextStage
    this.#enterStage(input, stage, share)
    yield * this.#reporter.stage(input.cfg.service, stage, share, input.wallNow)
  }

  * #rollBack (input: CoordinatorInput, reason: string): Generator<MoveEffect> {
    yield * this.#reporter.rollback(input.cfg.service, this.#share, reason, input.wallNow)
  }

  * #end (input: CoordinatorInput, outcome: MoveOutcome, reason: string): Generator<MoveEffect> {
    yield * this.#reporter.ended(input.cfg.service, outcome, reason, input.wallNow)
  }

  #doneReason (input: CoordinatorInput): string {
    const lateMs = -(this.#remainingMs(input) + (input.now - this.#enteredAt))
    const when = lateMs > 0 && this.#alarmCounts.errors + this.#alarmCounts.slow === 0
      ? `, ${Math.ceil(lateMs / 1000)} s after the deadline`
      : ''
    return `all traffic is on ${this.#opts.to}${when}, and the hold time passed without a fault`
  }

  #remainingMs (input: CoordinatorInput): number {
    return Date.parse(input.cfg.by) - input.wallNow
  }

  #newTest (): VersionTest {
    return new VersionTest(this.#opts.from, this.#opts.to, this.#opts.routes)
  }
}

/** Fraction of the remaining time that is spent on measuring the old version first; MIN_BASELINE_MS to 10 s. */
const BASELINE_FRACTION = 0.05

function baselineMs (remainingMs: number): number {
  return Math.max(MIN_BASELINE_MS, Math.min(remainingMs * BASELINE_FRACTION, 10_000))
}

/** Time for which a burst of bad calls that is under way at the change to 100% is expected to last. */
const MAX_BURST_MS = 10_000
