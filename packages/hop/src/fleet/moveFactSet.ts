import { mergeMoveFact, type MoveFact, type MoveFacts } from '@lentilwheel/core'

/**
 * Facts about moves that this daemon knows. Facts are only added, never withdrawn, so peers may send them in any order
 * and more than once.
 */
export class MoveFactSet {
  readonly #moves = new Map<string, MoveFacts>()

  /** Facts about one move. */
  of (move: string): MoveFacts {
    return this.#moves.get(move) ?? {}
  }

  /** Adds a fact; tells whether it was new. */
  add (fact: MoveFact): boolean {
    const known = this.of(fact.move)
    const merged = mergeMoveFact(known, fact)
    if (merged === known) return false
    this.#moves.set(fact.move, merged)
    return true
  }

  all (): MoveFact[] {
    return [...this.#moves.values()].flatMap(({ stage, rollback, outcome }) => [stage, rollback, outcome].filter((fact) => fact !== undefined))
  }
}
