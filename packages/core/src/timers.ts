/** Cancels a timer; further calls have no effect. */
export type Cancel = () => void

/** Clock and timers. All code takes the time from here, so that tests and benchmarks can control it. */
export interface Timers {
  /** Monotonic milliseconds. */
  now (): number
  /** Unix milliseconds; may step when the host's clock is set. */
  wallNow (): number
  /** Calls `fn` once after a delay. */
  after (ms: number, fn: () => void): Cancel
  /** Calls `fn` periodically; the first call comes after one period. */
  every (ms: number, fn: () => void, opts?: EveryOptions): Cancel
}

export interface EveryOptions {
  /** Fraction of the period by which each call may come earlier or later, 0 to 1. */
  jitter?: number
}
