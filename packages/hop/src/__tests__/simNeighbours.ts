import type { Random } from '@lentilwheel/core'
import type { NeighbourOptions } from './loadOptions.js'

/** Simulated load of others on the machine of a target, which slows it down in some periods. */
export class SimNeighbours {
  readonly #opts: NeighbourOptions
  readonly #random: Random
  readonly #offsetMs: number
  /** Slowdown in each period so far. */
  readonly #slowdowns: number[] = []

  constructor (opts: NeighbourOptions, random: Random) {
    this.#opts = opts
    this.#random = random
    this.#offsetMs = random.next() * opts.periodMs
  }

  /** Factor on the time that work takes at a time; 1 for as usual. */
  slowdownAt (now: number): number {
    return this.#slowdownIn(this.#periodAt(now))
  }

  /** How long work takes that starts now and would take `workMs` without neighbours. */
  elapsedMs (workMs: number, now: number): number {
    let at = now
    for (let period = this.#periodAt(now), leftMs = workMs; ; period++) {
      const slowdown = this.#slowdownIn(period)
      const periodLeftMs = (period + 1) * this.#opts.periodMs - this.#offsetMs - at
      if (leftMs * slowdown <= periodLeftMs) return at + leftMs * slowdown - now
      leftMs -= periodLeftMs / slowdown
      at += periodLeftMs
    }
  }

  #periodAt (now: number): number {
    return Math.floor((now + this.#offsetMs) / this.#opts.periodMs)
  }

  #slowdownIn (period: number): number {
    while (this.#slowdowns.length <= period) {
      this.#slowdowns.push(this.#random.next() < this.#opts.share ? this.#opts.factor : 1)
    }
    return this.#slowdowns[period]!
  }
}
