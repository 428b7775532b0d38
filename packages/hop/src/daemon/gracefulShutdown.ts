import type { Timers } from '@lentilwheel/core'

/** What a server for callers' requests does while the daemon stops. */
export interface StoppableServer {
  /** Time of the last request, in monotonic milliseconds. */
  readonly lastRequestAt: number
  /** Asks callers to connect elsewhere. */
  startStopping (): void
  /** Refuses requests whose deadline is after a time, in monotonic milliseconds. */
  refuseLaterThan (endsAt: number): void
  /** Refuses all requests of callers. */
  startRefusing (): void
}

export interface GracefulShutdownOptions {
  timers: Timers
  /** Time from the request to stop until the process is killed. */
  graceMs: number
  /** Server for the callers' requests. */
  server: StoppableServer
  /** Tells peers that the daemon stops, after which they send no more requests for the target beside it. */
  tellPeers (): void
  /** Number of requests in flight, outbound and inbound. */
  inFlight (): number
}

/** `quiet`: no caller is left; `refused`: new requests were refused until none was in flight; `graceOver`: time ran out. */
export type ShutdownOutcome = 'quiet' | 'refused' | 'graceOver'

/**
 * Time until peers are told, and its longest part of the grace period. The target beside the daemon serves them until then, as the
 * daemon stays for its callers anyway: in a rolling restart the slots of many targets would be missing.
 */
const MAX_TELL_DELAY_MS = 1_500
const TELL_DELAY_SHARE = 0.25
/** Least time for which all requests are still accepted, so that callers notice that the daemon is no longer ready. */
const MIN_ACCEPT_MS = 2_500
/** Time without a request after which no caller is assumed to be left. */
const QUIET_PERIOD_MS = 400
/** Fraction of the grace period in which requests are still accepted. */
const ACCEPT_FRACTION = 0.75
/** Time reserved at the end of the grace period for closing. */
const CLOSE_RESERVE_MS = 250
/** Time between the exit and the end of the grace period. */
const EXIT_RESERVE_MS = 50
const CHECK_INTERVAL_MS = 50

/**
 * Stops a daemon without cutting off requests: asks callers to connect elsewhere, tells peers a moment later, accepts requests until none come or most
 * of the grace period is over, then refuses new ones. Before that, a request that may outlast the grace period is refused
 * as soon as callers have had time to notice. `done` resolves once no request is in flight or the time is over.
 */
export class GracefulShutdown {
  readonly done: Promise<ShutdownOutcome>
  /** When the process has to exit at the latest, in monotonic milliseconds. */
  readonly exitAt: number

  constructor (opts: GracefulShutdownOptions) {
    const { timers, graceMs, server } = opts
    const startedAt = timers.now()
    const endsAt = startedAt + graceMs - CLOSE_RESERVE_MS
    this.exitAt = startedAt + graceMs - EXIT_RESERVE_MS
    server.startStopping()
    timers.after(Math.min(MAX_TELL_DELAY_MS, graceMs * TELL_DELAY_SHARE), () => opts.tellPeers())
    timers.after(MIN_ACCEPT_MS, () => server.refuseLaterThan(endsAt))
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
        const outcome = isIdle && isQuiet ? 'quiet' : isIdle && isRefusing ? 'refused' : now > endsAt ? 'graceOver' : undefined
        if (!outcome) return
        cancel()
        resolve(outcome)
      })
    })
  }
}
