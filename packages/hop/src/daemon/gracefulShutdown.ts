import type { Timers } from '@lentilwheel/core'

export interface GracefulShutdownOptions {
  timers: Timers
  /** Time from the request to stop until the process is killed. */
  graceMs: number
  /** Server for the callers' requests. */
  server: { startStopping (): void, startRefusing (): void, readonly lastRequestAt: number }
  /** Number of requests in flight, outbound and inbound. */
  inFlight (): number
}

/** `quiet`: no caller is left; `refused`: new requests were refused until none was in flight; `graceOver`: time ran out. */
export type ShutdownOutcome = 'quiet' | 'refused' | 'graceOver'

/** Least time for which requests are still accepted, so that callers notice that the daemon is no longer ready. */
const MIN_ACCEPT_MS = 2_500
/** Time without a request after which no caller is assumed to be left. */
const QUIET_PERIOD_MS = 400
/** Fraction of the grace period in which requests are still accepted. */
const ACCEPT_FRACTION = 0.75
/** Time reserved at the end of the grace period for closing. */
const CLOSE_RESERVE_MS = 250
const CHECK_INTERVAL_MS = 50

/**
 * Stops a daemon without cutting off requests: asks callers to connect elsewhere, accepts requests until none come or most
 * of the grace period is over, then refuses new ones. `done` resolves once no request is in flight or the time is over.
 */
export class GracefulShutdown {
  readonly done: Promise<ShutdownOutcome>

  constructor (opts: GracefulShutdownOptions) {
    const { timers, graceMs, server } = opts
    const startedAt = timers.now()
    server.startStopping()
    this.done = new Promise((resolve) => {
      let isRefusing = false
      const cancel = timers.every(CHECK_INTERVAL_MS, () => {
        const now = timers.now()
        const elapsedMs = now - startedAt
        const isIdle = opts.inFlight() === 0
        const isQuiet = elapsedMs > MIN_ACCEPT_MS && now - server.lastRequestAt > QUIET_PERIOD_MS
        if (!isRefusing && elapsedMs > graceMs * ACCEPT_FRACTION) {
          isRefusing = true
          server.startRefusing()
        }
        const outcome = isIdle && isQuiet ? 'quiet' : isIdle && isRefusing ? 'refused' : elapsedMs > graceMs - CLOSE_RESERVE_MS ? 'graceOver' : undefined
        if (!outcome) return
        cancel()
        resolve(outcome)
      })
    })
  }
}
