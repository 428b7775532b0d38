import type { Random } from '@lentilwheel/core'
import type { MoveEngine } from '@lentilwheel/moves'
import { binomial, normalTable, poisson } from './sampling.js'
import { ROUTES, type VersionKind, type MoveProgress } from './kinds.js'

export const SERVICE = 'orders'
export const OLD_VERSION = 'v1'
export const NEW_VERSION = 'v2'

/** Share of calls that fail on either version at any time. */
const BASE_ERROR_RATE = 0.001
/** Latencies are lognormal around the route's median; this is the standard deviation of their logarithm. */
const LATENCY_SIGMA = 0.5
/**
 * Calls below this quantile of latency are reported in bulk at the few latencies of `BODY_Z_SCORES`; those above get
 * a latency drawn for each call.
 */
const BODY_QUANTILE = 0.9
const BODY_Z_SCORES: readonly number[] = [-1, 0, 0.9]
const TAIL_Z_SCORES = normalTable(BODY_QUANTILE, 1)

/** State of a dependency that both versions call. */
export interface DependencyState {
  errorRate: number
  latencyFactor: number
}

/** Calls of one daemon in one second. */
export interface CallCounts {
  calls: number
  newCalls: number
  /** Calls that failed because of the new version. */
  failedByNew: number
}

/** Failed calls that are still to be reported to the engine. */
interface PendingFailures {
  ofOldVersion: number
  ofNewVersion: number
}

/** Generates the calls that one daemon handles in one second and reports their outcomes to its move engine. */
export class CallGenerator {
  readonly #kind: VersionKind
  readonly #random: Random
  readonly #ratePerDaemon: number

  constructor (kind: VersionKind, ratePerDaemon: number, random: Random) {
    this.#kind = kind
    this.#ratePerDaemon = ratePerDaemon
    this.#random = random
  }

  /** `crashedFraction` is the fraction of the new version's calls that are sent to a crashed instance. */
  generateSecond (engine: MoveEngine, progress: MoveProgress, dependency: DependencyState, crashedFraction: number): CallCounts {
    const counts = { calls: 0, newCalls: 0, failedByNew: 0 }
    for (const route of ROUTES) {
      const calls = poisson(this.#ratePerDaemon * route.fraction, this.#random)
      counts.calls += calls
      this.#generateRoute(engine, route, calls, progress, dependency, crashedFraction, counts)
    }
    return counts
  }

  #generateRoute (
    engine: MoveEngine, route: typeof ROUTES[number], calls: number, progress: MoveProgress, dependency: DependencyState,
    crashedFraction: number, counts: CallCounts
  ): void {
    const share = engine.shareOf(SERVICE)?.share ?? 0
    const newCalls = binomial(calls, share, this.#random)
    const sharedErrorRate = BASE_ERROR_RATE + dependency.errorRate
    const newErrorRate = Math.max(crashedFraction, this.#kind.errorRate?.(progress, route.name) ?? 0)
    const newVersionFailures = binomial(newCalls, newErrorRate, this.#random)
    const newFailed = newVersionFailures + binomial(newCalls - newVersionFailures, sharedErrorRate, this.#random)
    const oldCalls = calls - newCalls
    const oldFailed = binomial(oldCalls, sharedErrorRate, this.#random)
    const oldOk = oldCalls - oldFailed
    const newOk = newCalls - newFailed
    this.#reportSuccesses(engine, route, progress, dependency, Math.ceil(oldOk / 2), Math.ceil(newOk / 2))
    const sentFailures = newFailed - this.#reportFailures(engine, route.name, newFailed, oldFailed)
    const newOkLater = engine.shareOf(SERVICE)?.share === 0 && sentFailures < newFailed ? 0 : Math.floor(newOk / 2)
    this.#reportSuccesses(engine, route, progress, dependency, Math.floor(oldOk / 2), newOkLater)
    counts.newCalls += Math.ceil(newOk / 2) + newOkLater + sentFailures
    counts.failedByNew += Math.min(newVersionFailures, sentFailures)
  }

  #reportSuccesses (
    engine: MoveEngine, route: typeof ROUTES[number], progress: MoveProgress, dependency: DependencyState, oldOk: number, newOk: number
  ): void {
    const latencyFactor = this.#kind.latencyFactor
    this.#reportVersionSuccesses(engine, route, OLD_VERSION, oldOk, (_z) => dependency.latencyFactor)
    this.#reportVersionSuccesses(engine, route, NEW_VERSION, newOk, (z) => dependency.latencyFactor * (latencyFactor?.(progress, z) ?? 1))
  }

  /**
   * Reports the failures of both versions in random order, and returns how many calls of the new version were not
   * sent because the engine set its share to 0 meanwhile.
   */
  #reportFailures (engine: MoveEngine, route: string, newFailed: number, oldFailed: number): number {
    const remaining: PendingFailures = { ofOldVersion: oldFailed, ofNewVersion: newFailed }
    while (remaining.ofOldVersion + remaining.ofNewVersion > 0) {
      const isNew = this.#random.int(remaining.ofOldVersion + remaining.ofNewVersion) < remaining.ofNewVersion
      if (isNew && engine.shareOf(SERVICE)?.share === 0) return remaining.ofNewVersion
      engine.onCall(SERVICE, route, isNew ? NEW_VERSION : OLD_VERSION, false, 1)
      if (isNew) remaining.ofNewVersion--
      else remaining.ofOldVersion--
    }
    return 0
  }

  #reportVersionSuccesses (
    engine: MoveEngine, route: typeof ROUTES[number], version: string, calls: number, latencyFactor: (z: number) => number
  ): void {
    if (calls === 0) return
    const latency = (z: number): number => route.medianMs * Math.exp(LATENCY_SIGMA * z) * latencyFactor(z)
    const tailCalls = binomial(calls, 1 - BODY_QUANTILE, this.#random)
    const callsPerScore = Math.floor((calls - tailCalls) / BODY_Z_SCORES.length)
    BODY_Z_SCORES.forEach((z, i) => {
      const n = i === 0 ? calls - tailCalls - callsPerScore * (BODY_Z_SCORES.length - 1) : callsPerScore
      if (n > 0) engine.onCall(SERVICE, route.name, version, true, latency(z), n)
    })
    for (let i = 0; i < tailCalls; i++) {
      const z = TAIL_Z_SCORES[this.#random.int(TAIL_Z_SCORES.length)]!
      engine.onCall(SERVICE, route.name, version, true, latency(z))
    }
  }
}
