/** Half-life of the difference between a reported slowdown and the mean one. */
const HALF_LIFE_MS = 400
/** Weight of a report in the mean slowdown, by the time since the one before it. */
const MEAN_TIME_MS = 5_000

/**
 * How much others on its machine slow the target beside this daemon down, by what it reports in its responses. A report
 * that gets old fades to the mean, because neighbours come and go several times a second.
 */
export class TargetSlowdown {
  #reported: number | undefined
  #reportedAt = 0
  #mean = 1

  /** Whether the target reports its slowdown. */
  get isKnown (): boolean {
    return this.#reported !== undefined
  }

  record (slowdown: number, now: number): void {
    const weight = 1 - Math.exp(-(now - this.#reportedAt) / MEAN_TIME_MS)
    if (this.#reported !== undefined) this.#mean += weight * (this.#reported - this.#mean)
    this.#reported = slowdown
    this.#reportedAt = now
  }

  /** Expected slowdown; 1 for as usual, and if the target reports none. */
  at (now: number): number {
    if (this.#reported === undefined) return 1
    return this.#mean + (this.#reported - this.#mean) * 0.5 ** ((now - this.#reportedAt) / HALF_LIFE_MS)
  }

  /** Forgets the reports of a target that has been replaced. */
  reset (): void {
    this.#reported = undefined
    this.#mean = 1
  }
}
