import { LOCAL_TRIP } from './constants.js'

/** Failure rate of the new version that the absolute test looks for. */
const CLEAR_FAILURE = 0.6
/** Failure rates below this are left to the merged evidence of the fleet. */
const TOLERATED_FAILURE = 0.05
/** The old version's recent failure rate is multiplied by this before it counts as normal. */
const NORMAL_FACTOR = 3
const OLD_RATE_STEP = 1 / 16
/** Part of the failures that a clearly failing version has. */
const FAILING_PART = 0.98
/** Above this share the old version has too few calls for a comparison. */
const MAX_COMPARED_SHARE = 0.5

export type LocalTrip = 'none' | 'failing' | 'suspect'

/**
 * One daemon's own test of the new version, run per call. At shares up to a half it compares which version the
 * failures fall on, so a dependency that hurts both versions can't trip it. Above that it compares with the old
 * version's past rate; this only asks for a smaller share, at which the comparison is possible.
 */
export class LocalDefence {
  trip: LocalTrip = 'none'
  /** Calls and failures of the new version that led to the trip. */
  tripCalls = 0
  tripFailures = 0
  #newCalls = 0
  #newFailures = 0
  #score = 0
  #oldRate = 0
  #newStep = 0
  #oldStep = 0
  #compares = false

  /** Prepares the steps for a share, so that no logarithm is taken per call while versions are compared. */
  setShare (share: number): void {
    this.#score = 0
    this.#newCalls = 0
    this.#newFailures = 0
    this.#compares = share > 0 && share <= MAX_COMPARED_SHARE
    if (!this.#compares) return
    this.#newStep = Math.log(FAILING_PART / share)
    this.#oldStep = Math.log((1 - FAILING_PART) / (1 - share))
  }

  onOldCall (ok: boolean, n: number): void {
    for (let i = 0; i < n && i < MAX_RATE_STEPS; i++) {
      this.#oldRate += ((ok ? 0 : 1) - this.#oldRate) * OLD_RATE_STEP
    }
    if (!ok && this.#compares) this.#add(this.#oldStep * n)
  }

  onNewCall (ok: boolean, n: number): void {
    this.#newCalls += n
    if (!ok) this.#newFailures += n
    if (!this.#compares) this.#addAbsolute(ok, n)
    else if (!ok) this.#add(this.#newStep * n)
  }

  #addAbsolute (ok: boolean, n: number): void {
    const normal = Math.max(TOLERATED_FAILURE, NORMAL_FACTOR * this.#oldRate)
    if (normal >= CLEAR_FAILURE) return
    this.#add(n * Math.log(ok ? (1 - CLEAR_FAILURE) / (1 - normal) : CLEAR_FAILURE / normal))
  }

  #add (step: number): void {
    this.#score += step
    if (this.#score <= 0) {
      this.#score = 0
      this.#newCalls = 0
      this.#newFailures = 0
    }
    if (this.#score < LOCAL_TRIP || this.trip !== 'none') return
    this.trip = this.#compares ? 'failing' : 'suspect'
    this.tripCalls = this.#newCalls
    this.tripFailures = this.#newFailures
  }
}

/** After this many equal steps the moving rate no longer changes noticeably. */
const MAX_RATE_STEPS = 64
