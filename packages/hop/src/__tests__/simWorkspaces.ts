import type { Random } from '@lentilwheel/core'
import type { WorkspaceOptions } from './loadOptions.js'

/** Requests of one workspace, and those of them that were served. */
export interface WorkspaceResult {
  requests: number
  served: number
}

/** The workspaces of simulated callers, and what they get. */
export class SimWorkspaces {
  readonly #random: Random
  readonly #weights: number[]
  readonly #weightSum: number
  /** Outcomes by workspace, the largest first. */
  readonly results: WorkspaceResult[]
  /** Factor on the rate of all requests because of the workspace that sends more than usual. */
  readonly rateFactor: number

  constructor ({ count, exponent, hot }: WorkspaceOptions, random: Random) {
    this.#random = random
    const usual = Array.from({ length: count }, (_, i) => (i + 1) ** -exponent)
    this.#weights = usual.map((weight, i) => i === hot?.index ? weight * hot.factor : weight)
    this.#weightSum = sum(this.#weights)
    this.rateFactor = this.#weightSum / sum(usual)
    this.results = usual.map(() => ({ requests: 0, served: 0 }))
  }

  /** Draws the workspace of a request, and counts the request. */
  next (): number {
    let rest = this.#random.next() * this.#weightSum
    const found = this.#weights.findIndex((weight) => (rest -= weight) < 0)
    const index = found < 0 ? 0 : found
    this.results[index]!.requests++
    return index
  }

  recordServed (index: number): void {
    this.results[index]!.served++
  }

  /** Share served of each tenth of the workspaces without `excluded`, those with most requests first. */
  servedByTenth (excluded?: number): number[] {
    const others = this.results.filter((_, i) => i !== excluded)
    return Array.from({ length: 10 }, (_, tenth) => {
      const part = others.slice(Math.floor(tenth * others.length / 10), Math.floor((tenth + 1) * others.length / 10))
      return sum(part.map(({ served }) => served)) / sum(part.map(({ requests }) => requests))
    })
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0)
}
