import type { MoveFact, MoveFacts } from '@lentilwheel/core'
import { CusumTest, type BriefReport } from './cusumTest.js'

/** What a daemon that watches a brief move reads at each tick. */
export interface BriefInput {
  /** Whether this daemon coordinates the move; others only take a bad version back. */
  isCoordinator: boolean
  /** Monotonic milliseconds. */
  now: number
  /** Unix milliseconds, for the facts only. */
  wallNow: number
  /** Facts known about the move. */
  facts: MoveFacts
  /** Slots of the ready targets of the new version and of all others. */
  newSlots: number
  oldSlots: number
  /** Slots of one target of the new version. */
  slotsPerTarget: number
  /** Whether the version to move to is the trusted one, from which an earlier move led that isn't completed. */
  isReturn: boolean
}

export interface BriefMoveOptions {
  /** Id of the move. */
  move: string
  /** Id of this daemon. */
  daemon: string
  /** The new version. */
  to: string
  /** Time that the move should take. */
  durationMs: number
}

/** A step of the ramp; its number is the number of the stage fact. */
interface Step {
  /** Fraction of the move's duration at which the step ends. */
  endFraction: number
  /** Calls that the new version must have had, over all steps, before the step ends. */
  minCalls: number
  /** Share of the calls that the new version gets. */
  share (rate: CallRate, slotsPerTarget: number): number
}

/** Rate and mean duration of the service's calls on both versions. */
interface CallRate {
  callsPerMs: number
  meanLatencyMs: number
}

/** Limits of the share in the load test, in which all calls of the new version go to one of its targets. */
const MIN_LOAD_TEST_SHARE = 0.15
const MAX_LOAD_TEST_SHARE = 0.5
/** Fraction of the target's slots that the load test keeps busy. */
const LOAD_TEST_UTILISATION = 0.9
/** Stage in which the new version's share goes to one target, so that faults under full load show at a small share. */
export const LOAD_TEST_STAGE = 3
/** Stage from which the new version gets all traffic. */
export const FULL_STAGE = 4

const STEPS: readonly Step[] = [
  { endFraction: 0.3, minCalls: 6, share: () => 0.06 },
  { endFraction: 0.45, minCalls: 15, share: () => 0.12 },
  { endFraction: 0.68, minCalls: 30, share: (rate, slots) => loadTestShare(rate, slots) }
]
/** Factor by which the end of a step is delayed at most while calls are too few. */
const MAX_STRETCH = 1.5
/** Time at full traffic before the move is done; longer than the last calls sent to the old version take. */
const FULL_STAGE_MS = 1_800
/** Fraction of the old version's slots that the new one must have ready before it gets all traffic. */
const MIN_CAPACITY_FRACTION = 0.7
/**
 * Time without a ready target of the old version, while the new one has some, after which the new version gets all traffic:
 * an earlier coordinator had completed the move, and that is known to nobody any more. Longer than targets take to be
 * known again after a restart of all daemons.
 */
const OLD_VERSION_GONE_MS = 5_000
/** Least time that a coordinator watches a step itself, also after a takeover. */
const MIN_STEP_MS = 700

/**
 * Watches a brief move, which has seconds rather than minutes: the regular engine needs 17 s for its shortest ramp and
 * a hold time after it. The new version is tested with each report, first at small shares, then at full load on one of its
 * targets, before it gets all traffic. The facts it publishes are those of the regular engine.
 *
 * Only the coordinator advances the move. Every daemon that gets the reports may take the version back, as a rollback needs
 * no agreement: so a bad version doesn't stay until the loss of its coordinator has been noticed.
 */
export class BriefMove {
  readonly #opts: BriefMoveOptions
  readonly #cusumTest: CusumTest
  /** Number of the last report of each daemon. */
  readonly #lastReports = new Map<string, Pick<BriefReport, 'incarnation' | 'sequence'>>()
  #stage = 0
  #enteredAt = 0
  /** Since when this daemon coordinates the move; undefined while it doesn't. */
  #coordinatesSince: number | undefined
  #totalCalls = 0
  #totalMs = 0
  #firstCallAt: number | undefined
  /** Since when the new version has ready targets and the old one none. */
  #oldGoneSince: number | undefined

  constructor (opts: BriefMoveOptions) {
    this.#opts = opts
    this.#cusumTest = new CusumTest(opts.to)
  }

  /** Takes in a daemon's counts, unless they were taken in before. */
  onReport (report: BriefReport, now: number): void {
    const { daemon, incarnation, sequence } = report
    const last = this.#lastReports.get(daemon)
    if (last?.incarnation === incarnation && sequence <= last.sequence) return
    this.#lastReports.set(daemon, { incarnation, sequence })
    this.#firstCallAt ??= now
    for (const row of report.rows) {
      this.#totalCalls += row.calls
      this.#totalMs += row.ms
      this.#cusumTest.add(row)
    }
  }

  /** Yields the facts to publish: a rollback, the next stage, or the outcome. */
  * tick (input: BriefInput): Generator<MoveFact> {
    const { rollback, outcome, stage } = input.facts
    if (rollback || outcome) return
    if (stage && stage.stage > this.#stage) this.#enterStage(stage.stage, input.now)
    this.#setCoordinator(input)
    const { verdict } = this.#cusumTest
    if (verdict !== undefined && !input.isReturn) {
      const { move, daemon } = this.#opts
      yield { kind: 'rollback', move, reason: verdict, at: input.wallNow, daemon }
      return
    }
    if (!input.isCoordinator) return
    yield * input.isReturn ? this.#return(input) : this.#advance(input)
  }

  /** A coordinator that takes over begins the time of the present step anew. */
  #setCoordinator ({ isCoordinator, now }: BriefInput): void {
    if (!isCoordinator) {
      this.#coordinatesSince = undefined
    } else if (this.#coordinatesSince === undefined) {
      this.#coordinatesSince = now
      this.#enteredAt = now
      this.#oldGoneSince = undefined
    }
  }

  /** The trusted version is not tested: it gets all traffic at once, and nothing is left to compare it with. */
  * #return (input: BriefInput): Generator<MoveFact> {
    if (this.#stage >= FULL_STAGE) yield * this.#finish(input, 'it is the version that was left')
    else if (input.newSlots > 0) yield * this.#publishStage(input, FULL_STAGE, 1)
  }

  /** Ends the move once the last calls to the other version have ended. */
  * #finish ({ now, wallNow }: BriefInput, why: string): Generator<MoveFact> {
    const { move, to } = this.#opts
    if (now - this.#enteredAt < FULL_STAGE_MS) return
    yield { kind: 'outcome', move, outcome: 'done', reason: `all traffic is on ${to}, and ${why}`, at: wallNow }
  }

  * #advance (input: BriefInput): Generator<MoveFact> {
    if (this.#stage >= FULL_STAGE) return yield * this.#finish(input, 'no fault showed')
    const stageMs = input.now - this.#enteredAt
    const isOldVersionGone = this.#isOldVersionGone(input)
    if (input.newSlots === 0) return
    if (isOldVersionGone) return yield * this.#publishStage(input, FULL_STAGE, 1)
    if (this.#stage > 0 && !this.#isStepOver(input, stageMs)) return
    const nextStage = this.#stage + 1
    if (nextStage === FULL_STAGE && input.newSlots < MIN_CAPACITY_FRACTION * input.oldSlots) return
    const share = STEPS[nextStage - 1]?.share(this.#rate(input.now), input.slotsPerTarget) ?? 1
    yield * this.#publishStage(input, nextStage, share)
  }

  * #publishStage ({ now, wallNow }: BriefInput, stage: number, share: number): Generator<MoveFact> {
    this.#enterStage(stage, now)
    yield { kind: 'stage', move: this.#opts.move, stage, share, at: wallNow }
  }

  #isOldVersionGone ({ now, newSlots, oldSlots }: BriefInput): boolean {
    if (newSlots === 0 || oldSlots > 0) this.#oldGoneSince = undefined
    else this.#oldGoneSince ??= now
    return this.#oldGoneSince !== undefined && now - this.#oldGoneSince >= OLD_VERSION_GONE_MS
  }

  #isStepOver (input: BriefInput, stageMs: number): boolean {
    const step = STEPS[this.#stage - 1]!
    const { durationMs } = this.#opts
    const elapsedMs = input.now - (this.#coordinatesSince ?? input.now)
    if (stageMs < MIN_STEP_MS || elapsedMs < step.endFraction * durationMs) return false
    return this.#cusumTest.newCalls >= step.minCalls || elapsedMs >= step.endFraction * durationMs * MAX_STRETCH
  }

  #rate (now: number): CallRate {
    const observedMs = now - (this.#firstCallAt ?? now)
    return {
      callsPerMs: observedMs > 0 ? this.#totalCalls / observedMs : 0,
      meanLatencyMs: this.#totalCalls > 0 ? this.#totalMs / this.#totalCalls : 0
    }
  }

  #enterStage (stage: number, now: number): void {
    this.#stage = stage
    this.#enteredAt = now
  }
}

/** Share that keeps LOAD_TEST_UTILISATION of one target's slots busy, by Little's law. */
function loadTestShare (rate: CallRate, slots: number): number {
  const busySlots = rate.callsPerMs * rate.meanLatencyMs
  if (busySlots <= 0) return MIN_LOAD_TEST_SHARE
  return Math.min(MAX_LOAD_TEST_SHARE, Math.max(MIN_LOAD_TEST_SHARE, LOAD_TEST_UTILISATION * slots / busySlots))
}
