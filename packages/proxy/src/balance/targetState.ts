import type { EndpointView } from '@lentilwheel/core'

/** Time in which the latency of an unused slow target falls to that of its peers plus 1/e of the difference. */
const LATENCY_DECAY_MS = 10_000
/** Time in which the share of calls of a new target grows to that of its peers. */
const SLOW_START_MS = 10_000
/** Weight at the beginning of slow start, and for as long as the target is in the state `starting`. */
const SLOW_START_MIN_WEIGHT = 0.1
/** Smoothing factor of the failure rate; averages about the last 10 attempts. */
const FAILURE_ALPHA = 0.1
/** Smoothing factor of the latency; averages about the last 7 responses. Rises count twice as much. */
const LATENCY_ALPHA = 0.15
/** Factor on the concurrency limit when the target sheds a call. */
const SHED_LIMIT_FACTOR = 0.8
/** Age from which a reported load is ignored, and from which the last outcome no longer contradicts such a report. */
const OBSERVATION_VALID_MS = 10_000
/** Factor on the score of a target that is reported as unreachable; also what a reported load of 1 adds to the factor 1. */
const HINT_PENALTY = 3
/** A target that responds within this multiple of its peers' latency isn't as loaded as it reports. */
const MAX_PEER_LATENCY_RATIO = 1.2

/**
 * Load-balancing state of one target as this daemon sees it. The daemon's own measurements decide; reported load and
 * reachability are hints that only lower preference.
 */
export class TargetState {
  endpoint: EndpointView
  inFlight = 0
  /** Smoothed time to the response's head; 0 before the first measurement. */
  latencyMs = 0
  /** Smoothed share of failed attempts. */
  failureRate = 0
  consecutiveFailures = 0
  attemptCount = 0
  ejectedUntil = 0
  ejectionCount = 0
  /** During slow start, the target's part of the calls compared to a peer's, 0 to 1. */
  slowStartWeight = 1
  /** Factor on the score from reported load and reachability; 1 when they say nothing bad. */
  hintPenalty = 1
  /** Calls that this daemon may have in flight here; falls when the target sheds load. */
  concurrencyLimit: number
  #maxConcurrency: number
  readonly #slowStartAt: number
  #loadChangedAt: number
  #lastOutcomeAt: number

  constructor (endpoint: EndpointView, now: number, isWarm = false) {
    this.endpoint = endpoint
    this.concurrencyLimit = endpoint.slots
    this.#maxConcurrency = endpoint.slots
    this.#slowStartAt = isWarm ? now - SLOW_START_MS : now
    this.#loadChangedAt = now
    this.#lastOutcomeAt = now
    this.slowStartWeight = this.#slowStartWeightAt(now)
  }

  /** Applies a newer announcement and the number of connections that this daemon may open. */
  updateEndpoint (endpoint: EndpointView, connections: number, now: number): void {
    if (endpoint.load !== this.endpoint.load) this.#loadChangedAt = now
    this.endpoint = endpoint
    const max = Math.min(endpoint.slots, connections)
    if (max !== this.#maxConcurrency) this.concurrencyLimit = max
    this.#maxConcurrency = max
  }

  isEjected (now: number): boolean {
    return this.ejectedUntil > now
  }

  hasCapacity (): boolean {
    return this.inFlight < this.concurrencyLimit
  }

  /** Estimated cost of another call here, lower is better; `defaultMs` is used while no latency has been measured. */
  score (defaultMs: number): number {
    return (this.inFlight + 1) * (this.latencyMs || defaultMs) * this.hintPenalty
  }

  /** Records an attempt that ended; the time of a failed one counts as a latency, too. */
  recordOutcome (ok: boolean, latencyMs: number, now: number): void {
    this.attemptCount++
    this.#lastOutcomeAt = now
    this.latencyMs = latencyMs > this.latencyMs
      ? (this.latencyMs === 0 ? latencyMs : this.latencyMs + (latencyMs - this.latencyMs) * LATENCY_ALPHA * 2)
      : this.latencyMs + (latencyMs - this.latencyMs) * LATENCY_ALPHA
    this.failureRate += ((ok ? 0 : 1) - this.failureRate) * FAILURE_ALPHA
    this.consecutiveFailures = ok ? 0 : this.consecutiveFailures + 1
  }

  /** Records that the caller went away before a response, so that a target that hangs doesn't keep its low latency. */
  recordAbandoned (waitedMs: number): void {
    if (waitedMs > this.latencyMs) this.latencyMs += (waitedMs - this.latencyMs) * LATENCY_ALPHA
  }

  /** Lowers the concurrency limit because the target shed a call; being full is no failure and no reason to eject it. */
  recordShed (): void {
    this.concurrencyLimit = Math.max(1, Math.floor(this.concurrencyLimit * SHED_LIMIT_FACTOR))
  }

  /** Periodic maintenance off the per-call path: recovers the limit, updates weight and penalty, lets latency decay. */
  tick (now: number, periodMs: number, peerLatencyMs: number): void {
    if (this.concurrencyLimit < this.#maxConcurrency) this.concurrencyLimit++
    this.slowStartWeight = this.#slowStartWeightAt(now)
    this.hintPenalty = this.#hintPenaltyAt(now, peerLatencyMs)
    // The latency of an unused target returns to its peers' level, so that it gets calls again.
    if (now - this.#lastOutcomeAt < periodMs || this.latencyMs <= peerLatencyMs) return
    this.latencyMs = peerLatencyMs + (this.latencyMs - peerLatencyMs) * Math.exp(-periodMs / LATENCY_DECAY_MS)
  }

  #slowStartWeightAt (now: number): number {
    if (this.endpoint.state === 'starting') return SLOW_START_MIN_WEIGHT
    return Math.min(1, SLOW_START_MIN_WEIGHT + (1 - SLOW_START_MIN_WEIGHT) * (now - this.#slowStartAt) / SLOW_START_MS)
  }

  #hintPenaltyAt (now: number, peerLatencyMs: number): number {
    const reachability = this.endpoint.reachable ? 1 : HINT_PENALTY
    const load = this.endpoint.load
    if (load === undefined || now - this.#loadChangedAt > OBSERVATION_VALID_MS) return reachability
    const isContradicted = this.attemptCount > 0 && now - this.#lastOutcomeAt < OBSERVATION_VALID_MS &&
      this.latencyMs <= peerLatencyMs * MAX_PEER_LATENCY_RATIO
    return isContradicted ? reachability : reachability * (1 + load * HINT_PENALTY)
  }
}
