import type { EndpointView } from '@lentilwheel/core'

/** Time in which the weight of an older latency falls to 1/e. */
const LATENCY_DECAY_MS = 10_000
const SLOW_START_MS = 10_000
/** Share of a cold target's fair part at the beginning of slow start, and all of it while it says `starting`. */
const COLD_WEIGHT = 0.1
/** Smoothing of the failure rate, about the last 10 attempts. */
const FAILURE_ALPHA = 0.1
/** Smoothing of the latency, about the last 7 answers; rises count at once. */
const LATENCY_ALPHA = 0.15
/** Factor on the limit of calls in flight when the target sheds one. */
const SHED_FACTOR = 0.8
/** A reported load is no longer believed after this time. */
const HINT_VALID_MS = 10_000
/** Weight of a full reported load against observed latency. */
const HINT_FACTOR = 3
/** A target observed at this multiple of its peers' latency or less contradicts its report of being full. */
const CONTRADICTION_RATIO = 1.2

/** What this daemon knows of one target: its own observations first, hints second. */
export class TargetState {
  view: EndpointView
  inFlight = 0
  /** Smoothed time to the answer's head; 0 while nothing was observed. */
  latencyMs = 0
  /** Smoothed share of failed attempts. */
  failureRate = 0
  consecutiveFailures = 0
  attempts = 0
  ejectedUntil = 0
  ejections = 0
  /** Share of a fair part during slow start, 0 to 1. */
  weight = 1
  /** Factor on the score from hints; 1 when they say nothing. */
  penalty = 1
  /** Calls that this daemon may have in flight here; falls when the target sheds load. */
  limit: number
  #maxLimit: number
  readonly #since: number
  #hintAt: number
  #observedAt: number

  constructor (view: EndpointView, now: number, warm = false) {
    this.view = view
    this.limit = view.slots
    this.#maxLimit = view.slots
    this.#since = warm ? now - SLOW_START_MS : now
    this.#hintAt = now
    this.#observedAt = now
    this.weight = this.#weightAt(now)
  }

  /** Takes over a newer announcement and the connections that this daemon may open. */
  update (view: EndpointView, connections: number, now: number): void {
    if (view.load !== this.view.load) this.#hintAt = now
    this.view = view
    const max = Math.min(view.slots, connections)
    if (max !== this.#maxLimit) this.limit = max
    this.#maxLimit = max
  }

  ejected (now: number): boolean {
    return this.ejectedUntil > now
  }

  hasRoom (): boolean {
    return this.inFlight < this.limit
  }

  /** Lower is better. */
  score (typicalMs: number): number {
    return (this.inFlight + 1) * (this.latencyMs || typicalMs) * this.penalty
  }

  /** Records an attempt that reached its end; a failure counts its time as a latency, too. */
  observe (ok: boolean, latencyMs: number, now: number): void {
    this.attempts++
    this.#observedAt = now
    this.latencyMs = latencyMs > this.latencyMs
      ? (this.latencyMs === 0 ? latencyMs : this.latencyMs + (latencyMs - this.latencyMs) * LATENCY_ALPHA * 2)
      : this.latencyMs + (latencyMs - this.latencyMs) * LATENCY_ALPHA
    this.failureRate += ((ok ? 0 : 1) - this.failureRate) * FAILURE_ALPHA
    this.consecutiveFailures = ok ? 0 : this.consecutiveFailures + 1
  }

  /** Records that a caller gave up after a time; a target that hangs must not look as fast as before. */
  observeNoAnswer (waitedMs: number): void {
    if (waitedMs > this.latencyMs) this.latencyMs += (waitedMs - this.latencyMs) * LATENCY_ALPHA
  }

  /** Records that the target shed a call: it is full, which is no failure and no reason to eject it. */
  observeShed (): void {
    this.limit = Math.max(1, Math.floor(this.limit * SHED_FACTOR))
  }

  /** Periodic upkeep off the per-call path. */
  tick (now: number, periodMs: number, peersMs: number): void {
    if (this.limit < this.#maxLimit) this.limit++
    this.weight = this.#weightAt(now)
    this.penalty = this.#penaltyAt(now, peersMs)
    // An unused target's latency returns to its peers' level, so that it is tried again.
    if (now - this.#observedAt < periodMs || this.latencyMs <= peersMs) return
    this.latencyMs = peersMs + (this.latencyMs - peersMs) * Math.exp(-periodMs / LATENCY_DECAY_MS)
  }

  #weightAt (now: number): number {
    if (this.view.state === 'starting') return COLD_WEIGHT
    return Math.min(1, COLD_WEIGHT + (1 - COLD_WEIGHT) * (now - this.#since) / SLOW_START_MS)
  }

  #penaltyAt (now: number, peersMs: number): number {
    const unreachable = this.view.reachable ? 1 : HINT_FACTOR
    const load = this.view.load
    if (load === undefined || now - this.#hintAt > HINT_VALID_MS) return unreachable
    const contradicted = this.attempts > 0 && now - this.#observedAt < HINT_VALID_MS &&
      this.latencyMs <= peersMs * CONTRADICTION_RATIO
    return contradicted ? unreachable : unreachable * (1 + load * HINT_FACTOR)
  }
}
