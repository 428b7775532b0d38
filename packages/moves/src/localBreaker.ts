import { LOCAL_TRIP_LOG_RATIO } from './constants.js'

/** Failure rate of a failing version, when it is tested against the old version's past rate. */
const FAILING_RATE = 0.6
/** Failure rates below this are left to the coordinator, which has the evidence of all daemons. */
const TOLERATED_RATE = 0.05
/** Failure rates of the new version up to this multiple of the old version's recent rate count as normal. */
const NORMAL_FACTOR = 3
/** Weight of one call in the moving average of the old version's failure rate. */
const OLD_RATE_SMOOTHING = 1 / 16
/** Fraction of all failures that fall on a failing new version, when both versions are compared. */
const FAILING_FRACTION = 0.98
/** Above this share the old version has too few calls for a comparison. */
const MAX_COMPARED_SHARE = 0.5

/**
 * - `failing`: the new version fails where the old one doesn't; it gets no more calls from this daemon
 * - `suspect`: the new version fails, but a comparison needs a smaller share
 */
export type BreakerTrip = 'none' | 'failing' | 'suspect'

/**
 * One daemon's circuit breaker against a clearly failing new version: a cumulative-sum test that runs with every call,
 * so that it acts faster than the coordinator. At shares up to MAX_COMPARED_SHARE it tests which version the failures
 * fall on, so that a failing dependency of both versions can't trip it. Above, it tests against the old version's past
 * failure rate; this trip only asks for a smaller share, at which the versions can be compared.
 */
export class LocalBreaker {
  trip: BreakerTrip = 'none'
  /** Calls and failures of the new version that led to the trip. */
  tripCalls = 0
  tripFailures = 0
  #newCalls = 0
  #newFailures = 0
  /** Log-likelihood ratio since it was last zero; never negative. */
  #logRatio = 0
  /** Moving average of the old version's failure rate. */
  #oldRate = 0
  #newFailureLogRatio = 0
  #oldFailureLogRatio = 0
  #isComparing = false

  /** Restarts the test for a new share and precomputes its log ratios, so that no logarithm is taken per call at small shares. */
  setShare (share: number): void {
    this.#logRatio = 0
    this.#newCalls = 0
    this.#newFailures = 0
    this.#isComparing = share > 0 && share <= MAX_COMPARED_SHARE
    if (!this.#isComparing) return
    this.#newFailureLogRatio = Math.log(FAILING_FRACTION / share)
    this.#oldFailureLogRatio = Math.log((1 - FAILING_FRACTION) / (1 - share))
  }

  onOldCall (ok: boolean, n: number): void {
    for (let i = 0; i < n && i < MAX_SMOOTHING_STEPS; i++) {
      this.#oldRate += ((ok ? 0 : 1) - this.#oldRate) * OLD_RATE_SMOOTHING
    }
    if (!ok && this.#isComparing) this.#add(this.#oldFailureLogRatio * n)
  }

  onNewCall (ok: boolean, n: number): void {
    this.#newCalls += n
    if (!ok) this.#newFailures += n
    if (!this.#isComparing) this.#addAgainstOldRate(ok, n)
    else if (!ok) this.#add(this.#newFailureLogRatio * n)
  }

  #addAgainstOldRate (ok: boolean, n: number): void {
    const normalRate = Math.max(TOLERATED_RATE, NORMAL_FACTOR * this.#oldRate)
    if (normalRate >= FAILING_RATE) return
    this.#add(n * Math.log(ok ? (1 - FAILING_RATE) / (1 - normalRate) : FAILING_RATE / normalRate))
  }

  #add (logRatio: number): void {
    this.#logRatio += logRatio
    if (this.#logRatio <= 0) {
      this.#logRatio = 0
      this.#newCalls = 0
      this.#newFailures = 0
    }
    if (this.#logRatio < LOCAL_TRIP_LOG_RATIO || this.trip !== 'none') return
    this.trip = this.#isComparing ? 'failing' : 'suspect'
    this.tripCalls = this.#newCalls
    this.tripFailures = this.#newFailures
  }
}

/** Number of equal calls after which the moving average hardly changes any more. */
const MAX_SMOOTHING_STEPS = 64
