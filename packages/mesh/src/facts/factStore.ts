import type { MoveFact, MoveFacts } from '@lentilwheel/core'
import { hash32 } from '../membership/memberRecord.js'
import { MAX_MOVES_KEPT } from '../constants.js'

/**
 * Holds the facts about moves. Merging is commutative and idempotent, like a grow-only CRDT, so that daemons that exchanged
 * their facts agree whatever the order of messages.
 */
export class FactStore {
  readonly #facts = new Map<string, MoveFacts>()
  #digest = 0

  get all (): ReadonlyMap<string, MoveFacts> {
    return this.#facts
  }

  /** Digest of all facts, compared by anti-entropy. */
  get digest (): number {
    return this.#digest
  }

  /** Merges a fact; returns whether it changed the store. */
  merge (fact: MoveFact): boolean {
    const held = this.#facts.get(fact.move) ?? {}
    const current = held[fact.kind]
    if (current && !supersedes(fact, current)) return false
    if (current) this.#toggleDigest(current)
    this.#toggleDigest(fact)
    this.#facts.set(fact.move, { ...held, [fact.kind]: fact })
    return true
  }

  list (): MoveFact[] {
    return [...this.#facts.values()].flatMap(factsOf)
  }

  /** Drops the oldest moves beyond `MAX_MOVES_KEPT`, except those that the active configuration names. */
  prune (isConfigured: (move: string) => boolean): void {
    if (this.#facts.size <= MAX_MOVES_KEPT) return
    const ended = [...this.#facts].filter(([move]) => !isConfigured(move))
    ended.sort(([, a], [, b]) => latestTime(a) - latestTime(b))
    for (const [move, facts] of ended.slice(0, this.#facts.size - MAX_MOVES_KEPT)) {
      for (const fact of factsOf(facts)) this.#toggleDigest(fact)
      this.#facts.delete(move)
    }
  }

  /** Adds a fact to the digest, or takes it out again. */
  #toggleDigest (fact: MoveFact): void {
    this.#digest = (this.#digest ^ hash32(factKey(fact))) >>> 0
  }
}

/** Facts that are known about one move, as a list. */
export function factsOf (facts: MoveFacts): MoveFact[] {
  return [facts.stage, facts.rollback, facts.outcome].filter((fact) => fact !== undefined)
}

/** Whether a fact replaces the one held: a later stage or a safer outcome does, and ties go to the smaller key. */
function supersedes (fact: MoveFact, held: MoveFact): boolean {
  if (fact.kind === 'stage' && held.kind === 'stage' && fact.stage !== held.stage) return fact.stage > held.stage
  if (fact.kind === 'outcome' && held.kind === 'outcome' && fact.outcome !== held.outcome) {
    return OUTCOME_RANK[fact.outcome] > OUTCOME_RANK[held.outcome]
  }
  return factKey(fact) < factKey(held)
}

/** The safer outcome wins when two coordinators ended a move differently. */
const OUTCOME_RANK = { done: 0, late: 1, takenBack: 2 } as const

function factKey (fact: MoveFact): string {
  switch (fact.kind) {
    case 'stage': return `${fact.move} stage ${fact.stage} ${fact.share} ${fact.at}`
    case 'rollback': return `${fact.move} rollback ${fact.at} ${fact.daemon} ${fact.reason}`
    case 'outcome': return `${fact.move} outcome ${fact.outcome} ${fact.at} ${fact.reason}`
  }
}

function latestTime (facts: MoveFacts): number {
  return Math.max(0, ...factsOf(facts).map((fact) => fact.at))
}
