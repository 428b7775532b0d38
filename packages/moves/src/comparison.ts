import { EProcess } from './eProcess.js'
import { addLogLikelihoodRatios, type ContingencyTable } from './hypergeometric.js'

/**
 * Compares the rates of one kind of bad call of two versions, stratified by route. Half of the e-value is the product over
 * the routes, which finds faults of the whole version; half is the mean over the routes, which finds a fault of one route
 * and stays valid for any number of routes (correction for multiple testing).
 */
export class Comparison {
  readonly #oddsRatios: readonly number[]
  readonly #allRoutes: EProcess
  readonly #byRoute = new Map<string, EProcess>()
  readonly #routeLogRatios: Float64Array
  readonly #allLogRatios: Float64Array

  constructor (routes: Iterable<string>, oddsRatios: readonly number[]) {
    this.#oddsRatios = oddsRatios
    this.#allRoutes = new EProcess(oddsRatios.length)
    this.#routeLogRatios = new Float64Array(oddsRatios.length)
    this.#allLogRatios = new Float64Array(oddsRatios.length)
    for (const route of routes) this.#byRoute.set(route, new EProcess(oddsRatios.length))
  }

  /** Adds one window, with any number of tables for each route. */
  update (tables: ReadonlyMap<string, readonly ContingencyTable[]>): void {
    this.#allLogRatios.fill(0)
    for (const [route, eProcess] of this.#byRoute) {
      this.#routeLogRatios.fill(0)
      for (const table of tables.get(route) ?? []) addLogLikelihoodRatios(table, this.#oddsRatios, this.#routeLogRatios)
      eProcess.update(this.#routeLogRatios)
      for (let i = 0; i < this.#oddsRatios.length; i++) this.#allLogRatios[i] = this.#allLogRatios[i]! + this.#routeLogRatios[i]!
    }
    this.#allRoutes.update(this.#allLogRatios)
  }

  /** E-value against equal versions; 1 without any evidence. */
  get eValue (): number {
    if (this.#byRoute.size === 0) return 1
    let sum = 0
    for (const eProcess of this.#byRoute.values()) sum += eProcess.eValue
    return (this.#allRoutes.eValue + sum / this.#byRoute.size) / 2
  }

  /** The route with the highest e-value, if it is higher than that of all routes together. */
  get worstRoute (): string | undefined {
    let worst: string | undefined
    let maxEValue = this.#allRoutes.eValue
    for (const [route, eProcess] of this.#byRoute) {
      if (eProcess.eValue <= maxEValue) continue
      maxEValue = eProcess.eValue
      worst = route
    }
    return worst
  }
}
