import type { Timers } from '@lentilwheel/core'

export interface StopperOptions {
  timers: Timers
  graceMs: number
  server: { startStopping (): void, startRefusing (): void, readonly lastRequestAt: number }
  /** Requests under way on both sides. */
  active (): number
}

export type StopOutcome = 'quiet' | 'refused' | 'graceOver'

/** Least time for which requests are still taken, so that callers notice that the daemon is no longer ready. */
const LINGER_MS = 2_500
/** Time without a request after which no caller seems to be left. */
const QUIET_MS = 400
/** Part of the grace in which requests are still taken. */
const TAKING_PART = 0.75
/** Time kept at the end of the grace for closing. */
const CLOSE_MS = 250
const CHECK_MS = 50

/** The course of a stop: callers are asked to go, what is under way ends, and nothing is cut off. */
export class Stopper {
  readonly done: Promise<StopOutcome>

  constructor (opts: StopperOptions) {
    const { timers, graceMs, server } = opts
    const startedAt = timers.now()
    server.startStopping()
    this.done = new Promise((resolve) => {
      let refusing = false
      const stop = timers.every(CHECK_MS, () => {
        const now = timers.now()
        const elapsed = now - startedAt
        const isIdle = opts.active() === 0
        const isQuiet = elapsed > LINGER_MS && now - server.lastRequestAt > QUIET_MS
        if (!refusing && elapsed > graceMs * TAKING_PART) {
          refusing = true
          server.startRefusing()
        }
        const outcome = isIdle && isQuiet ? 'quiet' : isIdle && refusing ? 'refused' : elapsed > graceMs - CLOSE_MS ? 'graceOver' : undefined
        if (!outcome) return
        stop()
        resolve(outcome)
      })
    })
  }
}
