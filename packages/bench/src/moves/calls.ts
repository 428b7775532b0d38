import type { Random } from '@lentilwheel/core'
import type { MoveEngine } from '@lentilwheel/moves'
import { binomial, normalTable, poisson } from './sampling.js'
import { ROUTES, type VersionKind, type MoveProgress } from './kinds.js'

export const SERVICE = 'orders'
export const OLD_VERSION = 'v1'
export const NEW_VERSION = 'v2'

/** Failures that both versions have at any time. */
const BASE_ERROR_RATE = 0.001
const LATENCY_SIGMA = 0.5
/** Calls below this quantile are counted at a few representative latencies; those above are drawn one by one. */
const BODY_QUANTILE = 0.9
const BODY_Z_SCORES: readonly number[] = [-1, 0, 0.9]
const TAIL_Z_SCORES = normalTable(BODY_QUANTILE, 1)

/** State of a dependency that both versions use. */
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

interface PendingFailures {
  ofOldVersion: number
  ofNewVersion: number
}

/** Draws the calls that one daemon handles in one second and hands their outcomes to its engine. */
export class CallGenerator {
  readonly #kind: VersionKind
  readonly #random: Random
  readonly #ratePerDaemon: number

  constructor (kind: VersionKind, ratePerDaemon: number, random: Random) {
    this.#kind = kind
    this.#ratePerDaemon = ratePerDaemon
    this.#random = random
  }

  /** `lostPart` is the part of the new version's calls that meet a crashed instance. */
  generateSecond (engine: MoveEngine, at: MoveProgress, dependency: DependencyState, lostPart: number): CallCounts {
    const tally = { calls: 0, newCalls: 0, failedByNew: 0 }
    for (const route of ROUTES) {
      const calls = poisson(this.#ratePerDaemon * route.part, this.#random)
      tally.calls += calls
      this.#generateRoute(engine, route, calls, at, dependency, lostPart, tally)
    }
    return tally
  }

  #generateRoute (
    engine: MoveEngine, route: typeof ROUTES[number], calls: number, at: MoveProgress, dependency: DependencyState,
    lostPart: number, tally: CallCounts
  ): void {
    const share = engine.shareOf(SERVICE)?.share ?? 0
    const newCalls = binomial(calls, share, this.#random)
    const common = BASE_ERROR_RATE + dependency.errorRate
    const own = Math.max(lostPart, this.#kind.errorRate?.(at, route.name) ?? 0)
    const ownFailures = binomial(newCalls, own, this.#random)
    const newFailed = ownFailures + binomial(newCalls - ownFailures, common, this.#random)
    const oldCalls = calls - newCalls
    const oldFailed = binomial(oldCalls, common, this.#random)
    const oldOk = oldCalls - oldFailed
    const newOk = newCalls - newFailed
    this.#reportSuccesses(engine, route, at, dependency, Math.ceil(oldOk / 2), Math.ceil(newOk / 2))
    const sentFailures = newFailed - this.#reportFailures(engine, route.name, newFailed, oldFailed)
    const newOkLater = engine.shareOf(SERVICE)?.share === 0 && sentFailures < newFailed ? 0 : Math.floor(newOk / 2)
    this.#reportSuccesses(engine, route, at, dependency, Math.floor(oldOk / 2), newOkLater)
    tally.newCalls += Math.ceil(newOk / 2) + newOkLater + sentFailures
    tally.failedByNew += Math.min(ownFailures, sentFailures)
  }

  #reportSuccesses (
    engine: MoveEngine, route: typeof ROUTES[number], at: MoveProgress, dependency: DependencyState, oldOk: number, newOk: number
  ): void {
    const slowness = this.#kind.latencyFactor
    this.#reportVersionSuccesses(engine, route, OLD_VERSION, oldOk, (_z) => dependency.latencyFactor)
    this.#reportVersionSuccesses(engine, route, NEW_VERSION, newOk, (z) => dependency.latencyFactor * (slowness?.(at, z) ?? 1))
  }

  /**
   * Hands in the failures of both versions in random order, and returns how many calls of the new version were not
   * sent, because the daemon stopped sending to it part way through.
   */
  #reportFailures (engine: MoveEngine, route: string, newFailed: number, oldFailed: number): number {
    const left: PendingFailures = { ofOldVersion: oldFailed, ofNewVersion: newFailed }
    while (left.ofOldVersion + left.ofNewVersion > 0) {
      const isNew = this.#random.int(left.ofOldVersion + left.ofNewVersion) < left.ofNewVersion
      if (isNew && engine.shareOf(SERVICE)?.share === 0) return left.ofNewVersion
      engine.onCall(SERVICE, route, isNew ? NEW_VERSION : OLD_VERSION, false, 1)
      if (isNew) left.ofNewVersion--
      else left.ofOldVersion--
    }
    return 0
  }

  #reportVersionSuccesses (
    engine: MoveEngine, route: typeof ROUTES[number], version: string, calls: number, slowness: (z: number) => number
  ): void {
    if (calls === 0) return
    const latency = (z: number): number => route.medianMs * Math.exp(LATENCY_SIGMA * z) * slowness(z)
    const tail = binomial(calls, 1 - BODY_QUANTILE, this.#random)
    const part = Math.floor((calls - tail) / BODY_Z_SCORES.length)
    BODY_Z_SCORES.forEach((z, i) => {
      const n = i === 0 ? calls - tail - part * (BODY_Z_SCORES.length - 1) : part
      if (n > 0) engine.onCall(SERVICE, route.name, version, true, latency(z), n)
    })
    for (let i = 0; i < tail; i++) {
      const z = TAIL_Z_SCORES[this.#random.int(TAIL_Z_SCORES.length)]!
      engine.onCall(SERVICE, route.name, version, true, latency(z))
    }
  }
}
