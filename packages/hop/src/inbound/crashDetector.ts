import type { Timers } from '@lentilwheel/core'

/** What opening a connection to the target showed; `unknown`: it was neither accepted nor refused in time. */
export type ConnectOutcome = 'accepted' | 'refused' | 'unknown'

export interface CrashDetectorOptions<Run> {
  timers: Pick<Timers, 'now'>
  /** Opens a connection to the target and tells how that went. */
  tryConnect (done: (outcome: ConnectOutcome) => void): void
  /** Runs that are on the target now. */
  running (): Run[]
  /** Called when the target has crashed, with the runs that were on it. */
  onCrash (runs: Run[]): void
}

interface Loss<Run> {
  run: Run
  at: number
  settle (hasCrashed: boolean): void
}

/** Time after its connection was lost in which a new start of the target shows that it had crashed. */
const RESTART_WINDOW_MS = 5_000
/** Time for which a run that was cancelled counts as still on the target, which may not have noticed yet. */
const CANCELLED_WINDOW_MS = 500
const MAX_KEPT_RUNS = 64

/**
 * Tells a crash of the target from the loss of single connections. After a lost connection it tries a new one: only a target
 * that is gone refuses it. A target that accepts it although it crashed was started again at once, which its next
 * announcement tells.
 */
export class CrashDetector<Run> {
  readonly #opts: CrashDetectorOptions<Run>
  /** Losses that wait for the outcome of the check under way. */
  #pending: Loss<Run>[] = []
  #isChecking = false
  /** Latest losses that the check did not explain by a crash. */
  #unexplained: Loss<Run>[] = []
  #cancelled: { run: Run, at: number }[] = []

  constructor (opts: CrashDetectorOptions<Run>) {
    this.#opts = opts
  }

  /** Number of losses that are not settled yet. */
  get unsettled (): number {
    return this.#pending.length
  }

  /** Whether it is being found out if the target is gone. */
  get isChecking (): boolean {
    return this.#isChecking
  }

  /** Called for a run whose connection was lost; `settle` is called once it is known whether the target has crashed. */
  onLoss (run: Run, settle: (hasCrashed: boolean) => void): void {
    this.#pending.push({ run, at: this.#opts.timers.now(), settle })
    if (this.#isChecking) return
    this.#isChecking = true
    this.#opts.tryConnect((outcome) => this.#onChecked(outcome))
  }

  /** Called for a run that was cancelled here. */
  onCancel (run: Run): void {
    this.#cancelled = [...this.#recent(this.#cancelled, CANCELLED_WINDOW_MS), { run, at: this.#opts.timers.now() }].slice(-MAX_KEPT_RUNS)
  }

  /** Called when the target has announced a new start. `isPlanned`: the earlier one had said that it leaves. */
  onNewStart (isPlanned: boolean): void {
    const losses = this.#recent(this.#unexplained, RESTART_WINDOW_MS)
    this.#unexplained = []
    if (!isPlanned && losses.length > 0) this.#opts.onCrash(losses.map(({ run }) => run))
  }

  #onChecked (outcome: ConnectOutcome): void {
    const losses = this.#pending
    this.#pending = []
    this.#isChecking = false
    const hasCrashed = outcome === 'refused'
    if (hasCrashed) this.#opts.onCrash(this.#runsAtCrash(losses))
    else this.#unexplained = [...this.#recent(this.#unexplained, RESTART_WINDOW_MS), ...losses].slice(-MAX_KEPT_RUNS)
    for (const { settle } of losses) settle(hasCrashed)
  }

  #runsAtCrash (losses: readonly Loss<Run>[]): Run[] {
    const cancelled = this.#recent(this.#cancelled, CANCELLED_WINDOW_MS)
    this.#cancelled = []
    this.#unexplained = []
    return [...new Set([...losses.map(({ run }) => run), ...this.#opts.running(), ...cancelled.map(({ run }) => run)])]
  }

  #recent<T extends { at: number }> (entries: readonly T[], windowMs: number): T[] {
    const now = this.#opts.timers.now()
    return entries.filter(({ at }) => now - at < windowMs)
  }
}
