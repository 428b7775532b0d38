import type { MoveFact, MoveFacts } from '@lentilwheel/core'
import { hash32 } from '../membership/records.js'
import { MAX_MOVES_KEPT } from '../constants.js'

/** Facts about moves. They only grow and merge without regard to order, so any two stores that met agree. */
export class FactStore {
  readonly #facts = new Map<string, MoveFacts>()
  #digest = 0

  get all (): ReadonlyMap<string, MoveFacts> {
    return this.#facts
  }

  get digest (): number {
    return this.#digest
  }

  /** Merges a fact; true when it told something new. */
  merge (fact: MoveFact): boolean {
    const held = this.#facts.get(fact.move) ?? {}
    const current = held[fact.kind]
    if (current && !outranks(fact, current)) return false
    if (current) this.#toggle(current)
    this.#toggle(fact)
    this.#facts.set(fact.move, { ...held, [fact.kind]: fact })
    return true
  }

  list (): MoveFact[] {
    return [...this.#facts.values()].flatMap(factsOf)
  }

  /** Drops the oldest ended moves beyond the limit; moves of the configuration in force are kept. */
  prune (isConfigured: (move: string) => boolean): void {
    if (this.#facts.size <= MAX_MOVES_KEPT) return
    const ended = [...this.#facts].filter(([move]) => !isConfigured(move))
    ended.sort(([, a], [, b]) => newest(a) - newest(b))
    for (const [move, facts] of ended.slice(0, this.#facts.size - MAX_MOVES_KEPT)) {
      for (const fact of factsOf(facts)) this.#toggle(fact)
      this.#facts.delete(move)
    }
  }

  #toggle (fact: MoveFact): void {
    this.#digest = (this.#digest ^ hash32(factKey(fact))) >>> 0
  }
}

export function factsOf (facts: MoveFacts): MoveFact[] {
  return [facts.stage, facts.rollback, facts.outcome].filter((fact) => fact !== undefined)
}

/** A later stage wins; of two rollbacks or outcomes any fixed choice will do, and the smaller text is one. */
function outranks (fact: MoveFact, held: MoveFact): boolean {
  if (fact.kind === 'stage' && held.kind === 'stage' && fact.stage !== held.stage) return fact.stage > held.stage
  if (fact.kind === 'outcome' && held.kind === 'outcome' && fact.outcome !== held.outcome) {
    return OUTCOME_RANK[fact.outcome] > OUTCOME_RANK[held.outcome]
  }
  return factKey(fact) < factKey(held)
}

/** Safety first when two coordinators ended a move differently. */
const OUTCOME_RANK = { done: 0, late: 1, takenBack: 2 } as const

function factKey (fact: MoveFact): string {
  switch (fact.kind) {
    case 'stage': return `${fact.move} stage ${fact.stage} ${fact.share} ${fact.at}`
    case 'rollback': return `${fact.move} rollback ${fact.at} ${fact.daemon} ${fact.reason}`
    case 'outcome': return `${fact.move} outcome ${fact.outcome} ${fact.at} ${fact.reason}`
  }
}

function newest (facts: MoveFacts): number {
  return Math.max(0, ...factsOf(facts).map((fact) => fact.at))
}
