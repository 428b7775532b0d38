/** Stops a pending timer; calling it again has no effect. */
export type Cancel = () => void

/** The one source of time: every part subscribes to it, so tests and benches can drive the clock. */
export interface Timers {
  /** Monotonic milliseconds. */
  now (): number
  /** Unix milliseconds; may step when the host's clock is set. */
  wallNow (): number
  after (ms: number, fn: () => void): Cancel
  every (ms: number, fn: () => void, opts?: EveryOptions): Cancel
}

export interface EveryOptions {
  /** Share of the period by which each tick may come earlier or later, 0 to 1. */
  jitter?: number
}
