import { performance } from 'node:perf_hooks'
import type { Random } from './random.js'
import type { Cancel, EveryOptions, Timers } from './timers.js'

/** Clock and timers of the Node.js process, for use outside of tests and simulations. */
export class NodeTimers implements Timers {
  readonly #random: Random

  constructor (random: Random) {
    this.#random = random
  }

  now (): number {
    return performance.now()
  }

  wallNow (): number {
    return Date.now()
  }

  after (ms: number, fn: () => void): Cancel {
    const timer = setTimeout(fn, ms)
    return () => clearTimeout(timer)
  }

  every (ms: number, fn: () => void, opts: EveryOptions = {}): Cancel {
    const jitter = opts.jitter ?? 0
    let timer: NodeJS.Timeout
    const schedule = (): void => {
      const delay = ms * (1 + jitter * (2 * this.#random.next() - 1))
      timer = setTimeout(() => {
        schedule()
        fn()
      }, delay)
    }
    schedule()
    return () => clearTimeout(timer)
  }
}
