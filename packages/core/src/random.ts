import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Source of all random choices, so that tests and simulations can be repeated from a seed. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [0, below). */
  int (below: number): number
  pick<T> (items: readonly T[]): T
}

/** Number of distinct values that next() draws from. */
const DRAW_RANGE = 0x1_0000_0000

export class SeededRandom implements Random {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  next (): number {
    return (uniformInt(this.#generator, 0, DRAW_RANGE - 1)) / DRAW_RANGE
  }

  int (below: number): number {
    return uniformInt(this.#generator, 0, below - 1)
  }

  pick<T> (items: readonly T[]): T {
    return items[this.int(items.length)]!
  }
}

/** Returns a shuffled copy (Fisher-Yates). */
export function shuffled<T> (items: readonly T[], random: Random): T[] {
  const result = items.slice()
  for (let i = result.length - 1; i > 0; i--) {
    const j = random.int(i + 1)
    const swap = result[i]!
    result[i] = result[j]!
    result[j] = swap
  }
  return result
}
