import type { EvidenceReport, MoveFacts, MoveOutcome } from '@lentilwheel/core'
import { SHORTEST_RAMP_MS, unsureChoice, type Move, type Service, type UnsureChoice } from '@lentilwheel/config'
import type { Capacity } from './capacity.js'
import {
  ALARM_SHARES, CRASH_LIMIT, HOLD_STAGE, LOST_SLOTS_WAIT_MS, MAX_HOLD_ALARMS, MAX_TICK_GAP_MS, OBSERVE_MS, OWN_WATCH_MS,
  SPREAD_MS, STAGE_SHARES
} from './constants.js'
import type { MoveEffect } from './effects.js'
import { Baseline, maxRates, NO_BAD_CALLS, Window, type BadRates, type Cell } from './evidence.js'
import { AlarmTest } from './alarmTest.js'
import { HoldAlarm } from './holdAlarm.js'
import { formatShare, MoveReport, OPERATOR_PAUSE, tooLateReason } from './moveReport.js'
import { firstShare, stageMs } from './plan.js'
import { callsNeeded, rampStep, type RampStep } from './ramp.js'
import { VersionTest } from './versionTest.js'
import { WarmUp } from './warmUp.js'

export interface CoordinatorOptions {
  move: string
  daemon: string
  routes: readonly string[]
  from: string
  to: string
  capacity: Capacity
}

/** What the coordinator reads at each tick. */
export interface CoordinatorInput {
  now: number
  wallNow: number
  cfg: Move
  service: Service
  facts: MoveFacts
  /** When this daemon heard of the stage in force. */
  stageSeenAt: number
}

type Phase = 'observe' | 'ramp' | 'hold' | 'alarm'

/**
 * Runs one move: merges evidence, publishes stages, and ends the move. All that must outlive it is in the facts; a
 * coordinator that takes over stays at the stage in force and gathers its own evidence.
 */
export class Coordinator {
  readonly #opts: CoordinatorOptions
  readonly #report: MoveReport
  readonly #baseline = new Baseline()
  readonly #warmUp = new WarmUp()
  #window: Window
  #test: VersionTest
  #hold: HoldAlarm
  #alarm: AlarmTest | undefined
  readonly #alarms = { errors: 0, slow: 0 }
  /** Rates that concurrent tests have shown to be common to both versions. */
  #tolerated: BadRates = NO_BAD_CALLS
  /** Rates of the old version just before all traffic left it. */
  #ratesBefore: BadRates = NO_BAD_CALLS
  #stage = -1
  #share = 0
  #enteredAt = 0
  #plannedMs = OBSERVE_MS
  #lastTick: number | undefined
  #startedAt = 0
  #observedCalls = 0

  constructor (opts: CoordinatorOptions, past: readonly Pick<Cell, 'route' | 'old'>[]) {
    this.#opts = opts
    this.#report = new MoveReport(opts.move, opts.daemon)
    this.#window = new Window(opts.from, opts.to)
    this.#test = this.#newTest()
    this.#hold = new HoldAlarm(opts.routes)
    for (const cell of past) this.#baseline.add(cell)
  }

  onEvidence (report: EvidenceReport): void {
    this.#window.add(report, this.#stage)
  }

  * tick (input: CoordinatorInput): Generator<MoveEffect> {
    const cells = [...this.#window.cells()]
    this.#window = new Window(this.#opts.from, this.#opts.to)
    const gap = input.now - (this.#lastTick ?? input.now)
    const started = this.#lastTick !== undefined
    this.#lastTick = input.now
    if (!started) yield * this.#start(input)
    if (yield * this.#endIfDecided(input)) return
    this.#follow(input)
    if (gap > MAX_TICK_GAP_MS) return this.#enterStage(input, this.#stage, this.#share)
    this.#learn(input, cells)
    const bad = this.#verdict()
    if (bad !== undefined) return yield * this.#rollBack(input, bad)
    yield * this.#steer(input, gap)
  }

  * #start (input: CoordinatorInput): Generator<MoveEffect> {
    this.#startedAt = input.now
    this.#follow(input)
    if (input.facts.stage || input.facts.outcome) return this.#takeOver(input)
    const { from, to } = this.#opts
    yield * this.#report.started(input.cfg.service, { from, to, by: input.cfg.by })
  }

  /** Counts the time that the stage has lasted, but watches for a while itself before it goes on. */
  #takeOver (input: CoordinatorInput): void {
    const planned = this.#phase === 'hold' ? input.cfg.hold : this.#plannedMs
    const credit = Math.max(0, planned - OWN_WATCH_MS)
    this.#enteredAt = Math.max(input.stageSeenAt, input.now - credit)
  }

  /** Ends the move when a rollback, an outcome or an operator has already decided it. */
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

  /** Takes over the stage in force, which another coordinator may have published. */
  #follow (input: CoordinatorInput): void {
    const stage = input.facts.stage
    if ((stage?.stage ?? 0) <= this.#stage) return
    this.#enterStage(input, stage?.stage ?? 0, stage?.share ?? 0)
  }

  #enterStage (input: CoordinatorInput, stage: number, share: number): void {
    const returning = share === 1 && this.#stage >= HOLD_STAGE
    this.#stage = stage
    this.#share = share
    this.#enteredAt = input.now
    this.#plannedMs = share === 0 ? observeMs(this.#leftMs(input)) : stageMs(share, this.#leftMs(input))
    if (returning) this.#hold = new HoldAlarm(this.#opts.routes)
    if (share === 1) this.#ratesBefore = this.#baseline.recentRates
    if (this.#phase !== 'alarm') this.#alarm = undefined
    else this.#alarm ??= new AlarmTest(undefined, this.#newTest(), input.now)
  }

  get #phase (): Phase {
    if (this.#stage >= HOLD_STAGE) return this.#share === 1 ? 'hold' : 'alarm'
    return this.#stage <= 0 ? 'observe' : 'ramp'
  }

  #learn (input: CoordinatorInput, cells: readonly Cell[]): void {
    const hasCalls = cells.some((cell) => cell.new.calls > 0)
    // Cold instances are slow at first.
    const countSlow = !this.#warmUp.isOn(input.now, this.#opts.capacity.arrivals, hasCalls)
    if (this.#phase === 'observe') {
      for (const cell of cells) this.#observedCalls += cell.old.calls
    } else {
      this.#test.update(cells, this.#baseline, countSlow)
      this.#alarm?.test.update(cells, this.#baseline, countSlow)
      if (this.#phase === 'hold') this.#hold.update(cells, this.#baseline, this.#toleratedAt(input.now), countSlow)
    }
    this.#baseline.addWindow(cells)
  }

  /** A burst that already hurt the old version when its last calls ended may still go on for a while. */
  #toleratedAt (now: number): BadRates {
    if (now - this.#enteredAt > BURST_MS) return this.#tolerated
    return maxRates(this.#tolerated, this.#ratesBefore)
  }

  #verdict (): string | undefined {
    const { lostNew, lostOld } = this.#opts.capacity
    if (this.#phase !== 'observe' && lostNew >= CRASH_LIMIT && lostNew >= CRASH_LIMIT * (lostOld + 1)) {
      return `${lostNew} targets of ${this.#opts.to} were lost during the move, and ${lostOld} of ${this.#opts.from}`
    }
    return this.#phase === 'observe' ? undefined : this.#test.verdict ?? this.#alarm?.test.verdict
  }

  * #steer (input: CoordinatorInput, gap: number): Generator<MoveEffect> {
    if (input.cfg.control === 'paused') {
      this.#enteredAt += gap
      return yield * this.#report.paused(this.#share, OPERATOR_PAUSE)
    }
    yield * this.#report.resumed(this.#share)
    switch (this.#phase) {
      case 'observe':
      case 'ramp':
        return yield * this.#steerRamp(input)
      case 'hold':
        return yield * this.#steerHold(input)
      case 'alarm':
        return yield * this.#steerAlarm(input)
    }
  }

  * #steerRamp (input: CoordinatorInput): Generator<MoveEffect> {
    const left = this.#leftMs(input)
    const unsure = unsureChoice(input.cfg, input.service)
    if (this.#share === 0 && unsure === 'keepOld' && this.#startedAt === input.now && left < SHORTEST_RAMP_MS) {
      return yield * this.#end(input, 'late', tooLateReason(left, this.#opts.from))
    }
    const step = this.#rampStep(input, left)
    switch (step.kind) {
      case 'advance':
        return yield * this.#publishStage(input, step.share)
      case 'late':
        if (this.#test.isSuspicious) return yield * this.#rollBack(input, step.reason)
        return yield * this.#end(input, 'late', step.reason)
      case 'wait':
        if (input.now - this.#enteredAt >= this.#plannedMs && step.reason !== undefined) {
          yield * this.#report.paused(this.#share, step.reason)
        }
    }
  }

  #rampStep (input: CoordinatorInput, leftMs: number): RampStep {
    const { capacity, from, to } = this.#opts
    const unsure = unsureChoice(input.cfg, input.service)
    return rampStep({
      share: this.#share,
      first: this.#share === 0 ? this.#firstShare(input, leftMs, unsure) : 0,
      elapsedMs: input.now - this.#enteredAt,
      plannedMs: this.#plannedMs,
      leftMs,
      unsure,
      newCalls: this.#test.newCalls,
      suspicious: this.#test.isSuspicious,
      bound: capacity.bound,
      readySlots: capacity.readySlots,
      neededSlots: capacity.neededSlots,
      from,
      to
    })
  }

  #firstShare (input: CoordinatorInput, leftMs: number, unsure: UnsureChoice): number {
    const observedSeconds = Math.max(1, (input.now - this.#enteredAt) / 1000)
    return firstShare(this.#observedCalls / observedSeconds, callsNeeded(STAGE_SHARES[0]!, unsure), leftMs)
  }

  * #steerHold (input: CoordinatorInput): Generator<MoveEffect> {
    const alarm = this.#hold.alarm
    if (!alarm) return yield * this.#endHold(input)
    const what = `${this.#opts.to} has more ${alarm.kind === 'errors' ? 'failed' : 'slow'} calls at 100% than ` +
      `${this.#opts.from} had before (${(alarm.rate * 100).toPrecision(2)}%)`
    const count = ++this.#alarms[alarm.kind]
    if (count >= MAX_HOLD_ALARMS) {
      return yield * this.#rollBack(input, `${what}, again after ${count - 1} concurrent tests at smaller shares found nothing`)
    }
    yield * this.#report.alarm(what)
    this.#alarm = new AlarmTest(alarm, this.#newTest(), input.now)
    yield * this.#publishStage(input, ALARM_SHARES[Math.min(count, ALARM_SHARES.length) - 1]!)
  }

  /** Ends the hold time, but first waits for a while for lost targets of the new version to come back. */
  * #endHold (input: CoordinatorInput): Generator<MoveEffect> {
    const { capacity, to, from } = this.#opts
    const over = input.now - this.#enteredAt - input.cfg.hold - SPREAD_MS
    if (over < 0) return
    if (capacity.bound >= 1) return yield * this.#end(input, 'done', this.#doneReason(input))
    const missing = `${to} has ${capacity.readySlots} slots ready and ${from} had ${capacity.neededSlots}`
    if (over < LOST_SLOTS_WAIT_MS) return yield * this.#report.paused(this.#share, missing)
    if (unsureChoice(input.cfg, input.service) === 'finish' && capacity.readySlots > 0) {
      return yield * this.#end(input, 'done', `${this.#doneReason(input)}, though ${missing}`)
    }
    yield * this.#end(input, 'late', `${missing} at the end of the hold time, so all traffic stays on ${from}`)
  }

  * #steerAlarm (input: CoordinatorInput): Generator<MoveEffect> {
    const { test, alarm } = this.#alarm!
    const result = this.#alarm!.result(input.now)
    if (result === 'wait') return
    if (result === 'worse' || (result === 'doubtful' && unsureChoice(input.cfg, input.service) === 'keepOld')) {
      return yield * this.#rollBack(input, `an alarm at 100% could not be cleared by ${test.newCalls} calls at a ` +
        `share of ${formatShare(this.#share)}`)
    }
    // A test near full load shows that what raised the alarm comes from something that both versions use.
    const nearFullLoad = this.#share > ALARM_SHARES[0]!
    if (result === 'cleared' && nearFullLoad) this.#tolerated = maxRates(this.#tolerated, alarm.peaks)
    yield * this.#publishStage(input, 1)
  }

  * #publishStage (input: CoordinatorInput, share: number): Generator<MoveEffect> {
    const after = Math.max(this.#stage, 0) + 1
    const stage = share === 1 ? Math.max(after, HOLD_STAGE) : after
    this.#enterStage(input, stage, share)
    yield * this.#report.stage(input.cfg.service, stage, share, input.wallNow)
  }

  * #rollBack (input: CoordinatorInput, reason: string): Generator<MoveEffect> {
    yield * this.#report.rollback(input.cfg.service, this.#share, reason, input.wallNow)
  }

  * #end (input: CoordinatorInput, outcome: MoveOutcome, reason: string): Generator<MoveEffect> {
    yield * this.#report.ended(input.cfg.service, outcome, reason, input.wallNow)
  }

  #doneReason (input: CoordinatorInput): string {
    const late = -(this.#leftMs(input) + (input.now - this.#enteredAt))
    const when = late > 0 && this.#alarms.errors + this.#alarms.slow === 0 ? `, ${Math.ceil(late / 1000)} s after the deadline` : ''
    return `all traffic is on ${this.#opts.to}${when}, and the hold time passed without a fault`
  }

  #leftMs (input: CoordinatorInput): number {
    return Date.parse(input.cfg.by) - input.wallNow
  }

  #newTest (): VersionTest {
    return new VersionTest(this.#opts.from, this.#opts.to, this.#opts.routes)
  }
}

/** Part of the time left that is spent on measuring the old version first. */
const OBSERVE_PART = 0.05

function observeMs (leftMs: number): number {
  return Math.max(OBSERVE_MS, Math.min(leftMs * OBSERVE_PART, 10_000))
}

/** Time for which a burst under way at the change to 100% is expected to go on. */
const BURST_MS = 10_000
