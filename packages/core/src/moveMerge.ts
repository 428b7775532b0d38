import type { MoveFact, MoveFacts, MoveOutcome } from './moveFacts.js'

/** Two coordinators may end a move differently; the safer outcome, with the higher rank, takes precedence on every daemon. */
const OUTCOME_RANK: Readonly<Record<MoveOutcome, number>> = { takenBack: 2, late: 1, done: 0 }

/**
 * Merges a fact into the facts of a move. The operation is commutative and idempotent, so daemons that received the same
 * facts in any order agree. Returns the same object if the fact changes nothing.
 */
export function mergeMoveFact (facts: MoveFacts, fact: MoveFact): MoveFacts {
  switch (fact.kind) {
    case 'stage':
      return replacesStage(fact, facts.stage) ? { ...facts, stage: fact } : facts
    case 'rollback':
      return replacesRollback(fact, facts.rollback) ? { ...facts, rollback: fact } : facts
    case 'outcome':
      return replacesOutcome(fact, facts.outcome) ? { ...facts, outcome: fact } : facts
  }
}

type Stage = NonNullable<MoveFacts['stage']>
type Rollback = NonNullable<MoveFacts['rollback']>
type Outcome = NonNullable<MoveFacts['outcome']>

function replacesStage (fact: Stage, current: Stage | undefined): boolean {
  if (!current) return true
  return firstDifference(fact.stage - current.stage, current.share - fact.share, current.at - fact.at) > 0
}

function replacesRollback (fact: Rollback, current: Rollback | undefined): boolean {
  if (!current) return true
  const order = compareText(`${current.daemon} ${current.reason}`, `${fact.daemon} ${fact.reason}`)
  return firstDifference(current.at - fact.at, order) > 0
}

function replacesOutcome (fact: Outcome, current: Outcome | undefined): boolean {
  if (!current) return true
  const rankDifference = OUTCOME_RANK[fact.outcome] - OUTCOME_RANK[current.outcome]
  return firstDifference(rankDifference, current.at - fact.at, compareText(current.reason, fact.reason)) > 0
}

/** The first comparison that is not a tie, or 0. */
function firstDifference (...differences: number[]): number {
  return differences.find((difference) => difference !== 0) ?? 0
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
