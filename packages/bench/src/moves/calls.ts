import type { Random } from '@lentilwheel/core'
import type { MoveEngine } from '@lentilwheel/moves'
import { binomial, normalTable, poisson } from './sampling.js'
import { ROUTES, type Kind, type Moment } from './kinds.js'

export const SERVICE = 'orders'
export const OLD = 'v1'
export const NEW = 'v2'

/** Failures that both versions have at any time. */
const BASE_ERROR_RATE = 0.001
const LATENCY_SIGMA = 0.5
/** Calls below this quantile are counted at a few representative latencies; those above are drawn one by one. */
const BODY = 0.9
const BODY_Z: readonly number[] = [-1, 0, 0.9]
const TAIL = normalTable(BODY, 1)

/** State of a dependency that both versions use. */
export interface Dependency {
  failing: number
  slowness: number
}

/** Calls of one daemon in one second. */
export interface Tally {
  calls: number
  newCalls: number
  /** Calls that failed because of the new version. */
  failedByNew: number
}

interface Outcomes {
  ok: number
  failed: number
}

/** Draws the calls that one daemon handles in one second and hands their outcomes to its engine. */
export class CallSource {
  readonly #kind: Kind
  readonly #random: Random
  readonly #rate: number

  constructor (kind: Kind, ratePerDaemon: number, random: Random) {
    this.#kind = kind
    this.#rate = ratePerDaemon
    this.#random = random
  }

  /** `lostPart` is the part of the new version's calls that meet a crashed instance. */
  second (engine: MoveEngine, at: Moment, dependency: Dependency, lostPart: number): Tally {
    const tally = { calls: 0, newCalls: 0, failedByNew: 0 }
    for (const route of ROUTES) {
      const calls = poisson(this.#rate * route.part, this.#random)
      tally.calls += calls
      this.#route(engine, route, calls, at, dependency, lostPart, tally)
    }
    return tally
  }

  #route (
    engine: MoveEngine, route: typeof ROUTES[number], calls: number, at: Moment, dependency: Dependency,
    lostPart: number, tally: Tally
  ): void {
    const share = engine.shareOf(SERVICE)?.share ?? 0
    const newCalls = binomial(calls, share, this.#random)
    const common = BASE_ERROR_RATE + dependency.failing
    const own = Math.max(lostPart, this.#kind.failing?.(at, route.name) ?? 0)
    const ownFailures = binomial(newCalls, own, this.#random)
    const newFailed = ownFailures + binomial(newCalls - ownFailures, common, this.#random)
    const oldCalls = calls - newCalls
    const oldFailed = binomial(oldCalls, common, this.#random)
    const oldOk = oldCalls - oldFailed
    const newOk = newCalls - newFailed
    this.#successes(engine, route, at, dependency, Math.ceil(oldOk / 2), Math.ceil(newOk / 2))
    const sentFailures = newFailed - this.#failures(engine, route.name, newFailed, oldFailed)
    const newOkLater = engine.shareOf(SERVICE)?.share === 0 && sentFailures < newFailed ? 0 : Math.floor(newOk / 2)
    this.#successes(engine, route, at, dependency, Math.floor(oldOk / 2), newOkLater)
    tally.newCalls += Math.ceil(newOk / 2) + newOkLater + sentFailures
    tally.failedByNew += Math.min(ownFailures, sentFailures)
  }

  #successes (
    engine: MoveEngine, route: typeof ROUTES[number], at: Moment, dependency: Dependency, oldOk: number, newOk: number
  ): void {
    const slowness = this.#kind.slowness
    this.#successesOf(engine, route, OLD, oldOk, (_z) => dependency.slowness)
    this.#successesOf(engine, route, NEW, newOk, (z) => dependency.slowness * (slowness?.(at, z) ?? 1))
  }

  /**
   * Hands in the failures of both versions in random order, and returns how many calls of the new version were not
   * sent, because the daemon stopped sending to it part way through.
   */
  #failures (engine: MoveEngine, route: string, newFailed: number, oldFailed: number): number {
    const left: Outcomes = { ok: oldFailed, failed: newFailed }
    while (left.ok + left.failed > 0) {
      const isNew = this.#random.int(left.ok + left.failed) < left.failed
      if (isNew && engine.shareOf(SERVICE)?.share === 0) return left.failed
      engine.onCall(SERVICE, route, isNew ? NEW : OLD, false, 1)
      if (isNew) left.failed--
      else left.ok--
    }
    return 0
  }

  #successesOf (
    engine: MoveEngine, route: typeof ROUTES[number], version: string, calls: number, slowness: (z: number) => number
  ): void {
    if (calls === 0) return
    const latency = (z: number): number => route.medianMs * Math.exp(LATENCY_SIGMA * z) * slowness(z)
    const tail = binomial(calls, 1 - BODY, this.#random)
    const part = Math.floor((calls - tail) / BODY_Z.length)
    BODY_Z.forEach((z, i) => {
      const n = i === 0 ? calls - tail - part * (BODY_Z.length - 1) : part
      if (n > 0) engine.onCall(SERVICE, route.name, version, true, latency(z), n)
    })
    for (let i = 0; i < tail; i++) {
      const z = TAIL[this.#random.int(TAIL.length)]!
      engine.onCall(SERVICE, route.name, version, true, latency(z))
    }
  }
}
