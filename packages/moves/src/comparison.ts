import { EProcess } from './eProcess.js'
import { addLogRatios, type Table } from './hypergeometric.js'

/**
 * Compares one property of two versions over all routes of a service. Half of the evidence is the product over the
 * routes, which finds faults of the whole version; half is the mean over the routes, which finds a fault of one route
 * and stays valid for any number of routes (correction for multiple testing).
 */
export class Comparison {
  readonly #odds: readonly number[]
  readonly #all: EProcess
  readonly #byRoute = new Map<string, EProcess>()
  readonly #routeLogs: Float64Array
  readonly #allLogs: Float64Array

  constructor (routes: Iterable<string>, odds: readonly number[]) {
    this.#odds = odds
    this.#all = new EProcess(odds.length)
    this.#routeLogs = new Float64Array(odds.length)
    this.#allLogs = new Float64Array(odds.length)
    for (const route of routes) this.#byRoute.set(route, new EProcess(odds.length))
  }

  /** Takes in one window: any number of tables for each route. */
  update (tables: ReadonlyMap<string, readonly Table[]>): void {
    this.#allLogs.fill(0)
    for (const [route, process] of this.#byRoute) {
      this.#routeLogs.fill(0)
      for (const table of tables.get(route) ?? []) addLogRatios(table, this.#odds, this.#routeLogs)
      process.update(this.#routeLogs)
      for (let i = 0; i < this.#odds.length; i++) this.#allLogs[i] = this.#allLogs[i]! + this.#routeLogs[i]!
    }
    this.#all.update(this.#allLogs)
  }

  get value (): number {
    if (this.#byRoute.size === 0) return 1
    let sum = 0
    for (const process of this.#byRoute.values()) sum += process.value
    return (this.#all.value + sum / this.#byRoute.size) / 2
  }

  /** The route that shows the most evidence, when it shows more than all routes together. */
  get worstRoute (): string | undefined {
    let worst: string | undefined
    let most = this.#all.value
    for (const [route, process] of this.#byRoute) {
      if (process.value <= most) continue
      most = process.value
      worst = route
    }
    return worst
  }
}
