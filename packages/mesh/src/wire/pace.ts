/** Answer time up to which the usual timeouts fit; longer ones mean that hosts are starved or links are long. */
const USUAL_MS = 100
const MAX_PACE = 6
/** Weight of a new sample. */
const SMOOTHING = 0.1
/** Requests that timed out and whose late answer still counts as a sample. */
const MAX_LATE = 200

/**
 * Factor by which timeouts are stretched, from the answer times seen, late ones included. Without it, starved hosts
 * take slow peers for dead and repeat pushes, which starves them more.
 */
export class Pace {
  #meanMs = 0
  readonly #late = new Map<number, number>()

  get factor (): number {
    return Math.min(MAX_PACE, Math.max(1, this.#meanMs / USUAL_MS))
  }

  answered (ms: number): void {
    this.#meanMs += SMOOTHING * (ms - this.#meanMs)
  }

  timedOut (seq: number, sentAt: number): void {
    this.#late.set(seq, sentAt)
    if (this.#late.size > MAX_LATE) this.#late.delete(this.#late.keys().next().value!)
  }

  answeredLate (seq: number, now: number): void {
    const sentAt = this.#late.get(seq)
    if (sentAt === undefined) return
    this.#late.delete(seq)
    this.answered(now - sentAt)
  }
}
