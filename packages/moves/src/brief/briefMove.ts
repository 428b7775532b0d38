import type { MoveFact, MoveFacts } from '@lentilwheel/core'
import { Badness, type BriefReport } from './badness.js'

/** What the coordinator of a brief move reads at each tick. */
export interface BriefInput {
  /** Monotonic milliseconds. */
  now: number
  /** Unix milliseconds, for the facts only. */
  wallNow: number
  facts: MoveFacts
  /** Slots of the ready targets of the new version and of all others. */
  newSlots: number
  oldSlots: number
  /** Slots of one target of the new version. */
  slotsPerTarget: number
}

export interface BriefMoveOptions {
  move: string
  daemon: string
  to: string
  durationMs: number
  startedAt: number
}

/** A step of the ramp; its number is the number of the stage fact. */
interface Step {
  /** Part of the duration at which the step ends. */
  until: number
  /** Calls of the new version, over all steps, before the step ends. */
  calls: number
  share (rate: Rate, slotsPerTarget: number): number
}

interface Rate {
  perMs: number
  meanMs: number
}

/** Share with which one target is filled; all of it goes to one target of the new version. */
const MIN_LOAD_SHARE = 0.15
const MAX_LOAD_SHARE = 0.5
const LOAD_PART = 0.9
/** Stage in which the new version's share goes to one target, so that badness under load shows at a small share. */
export const LOAD_STAGE = 3
/** Stage from which the new version gets everything. */
export const FULL_STAGE = 4

const STEPS: readonly Step[] = [
  { until: 0.3, calls: 6, share: () => 0.06 },
  { until: 0.45, calls: 15, share: () => 0.12 },
  { until: 0.68, calls: 30, share: (rate, slots) => loadShare(rate, slots) }
]
/** A step lasts up to this many times its part of the duration when calls are few. */
const MAX_STRETCH = 1.5
/** Time at full share before the move is done; longer than a call lasts that the old version got before. */
const FULL_MS = 1_800
/** The new version needs this part of the old one's slots before it gets everything. */
const MIN_CAPACITY = 0.7
/** Time of a step that must be seen by this coordinator itself. */
const MIN_STEP_MS = 700

/**
 * Runs a move that has seconds rather than minutes: the regular engine needs 17 s for its shortest ramp and a hold time
 * after it. Badness is looked for with each report, at small shares first, and at full load on one target before all
 * traffic moves. The facts it publishes are those of the regular engine.
 */
export class BriefMove {
  readonly #opts: BriefMoveOptions
  readonly #badness: Badness
  #stage = 0
  #enteredAt: number
  #calls = 0
  #ms = 0
  #firstCallAt: number | undefined

  constructor (opts: BriefMoveOptions) {
    this.#opts = opts
    this.#badness = new Badness(opts.to)
    this.#enteredAt = opts.startedAt
  }

  onReport (report: BriefReport, now: number): void {
    this.#firstCallAt ??= now
    for (const row of report.rows) {
      this.#calls += row.calls
      this.#ms += row.ms
      this.#badness.add(row)
    }
  }

  * tick (input: BriefInput): Generator<MoveFact> {
    const { rollback, outcome, stage } = input.facts
    if (rollback || outcome) return
    if (stage && stage.stage > this.#stage) this.#enter(stage.stage, input.now)
    const { verdict } = this.#badness
    if (verdict !== undefined) {
      const { move, daemon } = this.#opts
      yield { kind: 'rollback', move, reason: verdict, at: input.wallNow, daemon }
      return
    }
    yield * this.#advance(input)
  }

  * #advance (input: BriefInput): Generator<MoveFact> {
    const { move, to } = this.#opts
    const stayed = input.now - this.#enteredAt
    if (this.#stage >= FULL_STAGE) {
      if (stayed < FULL_MS) return
      yield { kind: 'outcome', move, outcome: 'done', reason: `all traffic is on ${to}, and no fault showed`, at: input.wallNow }
      return
    }
    if (input.newSlots === 0) return
    if (this.#stage > 0 && !this.#isStepOver(input, stayed)) return
    const next = this.#stage + 1
    if (next === FULL_STAGE && input.newSlots < MIN_CAPACITY * input.oldSlots) return
    this.#enter(next, input.now)
    const share = STEPS[next - 1]?.share(this.#rate(input.now), input.slotsPerTarget) ?? 1
    yield { kind: 'stage', move, stage: next, share, at: input.wallNow }
  }

  #isStepOver (input: BriefInput, stayed: number): boolean {
    const step = STEPS[this.#stage - 1]!
    const { durationMs, startedAt } = this.#opts
    const elapsed = input.now - startedAt
    if (stayed < MIN_STEP_MS || elapsed < step.until * durationMs) return false
    return this.#badness.newCalls >= step.calls || elapsed >= step.until * durationMs * MAX_STRETCH
  }

  #rate (now: number): Rate {
    const ms = now - (this.#firstCallAt ?? now)
    return { perMs: ms > 0 ? this.#calls / ms : 0, meanMs: this.#calls > 0 ? this.#ms / this.#calls : 0 }
  }

  #enter (stage: number, now: number): void {
    this.#stage = stage
    this.#enteredAt = now
  }
}

/** Share that keeps the slots of one target nearly busy. */
function loadShare (rate: Rate, slots: number): number {
  const load = rate.perMs * rate.meanMs
  if (load <= 0) return MIN_LOAD_SHARE
  return Math.min(MAX_LOAD_SHARE, Math.max(MIN_LOAD_SHARE, LOAD_PART * slots / load))
}
