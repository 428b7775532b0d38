/** Round-trip time up to which timeouts aren't stretched; longer ones mean that hosts are short of CPU or links are long. */
const EXPECTED_RTT_MS = 100
const MAX_FACTOR = 6
/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.1
/** Timed-out requests remembered, whose late answers still count as samples. */
const MAX_TIMED_OUT = 200

/**
 * Factor by which the timeouts of requests are stretched. It grows with the moving average of round-trip times, those of
 * late answers included. Without it, daemons on hosts short of CPU take slow peers for dead and resend pushes, which
 * loads the hosts further.
 */
export class AdaptiveTimeout {
  #meanRttMs = 0
  readonly #timedOut = new Map<number, number>()

  get factor (): number {
    return Math.min(MAX_FACTOR, Math.max(1, this.#meanRttMs / EXPECTED_RTT_MS))
  }

  recordAnswer (ms: number): void {
    this.#meanRttMs += SMOOTHING * (ms - this.#meanRttMs)
  }

  recordTimeout (seq: number, sentAt: number): void {
    this.#timedOut.set(seq, sentAt)
    if (this.#timedOut.size > MAX_TIMED_OUT) this.#timedOut.delete(this.#timedOut.keys().next().value!)
  }

  recordLateAnswer (seq: number, now: number): void {
    const sentAt = this.#timedOut.get(seq)
    if (sentAt === undefined) return
    this.#timedOut.delete(seq)
    this.recordAnswer(now - sentAt)
  }
}
