import type { MoveFact, MoveFacts, MoveOutcome } from './moveFacts.js'

/** Two coordinators may end a move differently; the safer outcome wins on every daemon. */
const OUTCOME_RANK: Readonly<Record<MoveOutcome, number>> = { takenBack: 2, late: 1, done: 0 }

/** Adds a fact; the result does not depend on order or repetition. Returns the same object when nothing is new. */
export function mergeMoveFact (facts: MoveFacts, fact: MoveFact): MoveFacts {
  switch (fact.kind) {
    case 'stage':
      return winsStage(fact, facts.stage) ? { ...facts, stage: fact } : facts
    case 'rollback':
      return winsRollback(fact, facts.rollback) ? { ...facts, rollback: fact } : facts
    case 'outcome':
      return winsOutcome(fact, facts.outcome) ? { ...facts, outcome: fact } : facts
  }
}

type Stage = NonNullable<MoveFacts['stage']>
type Rollback = NonNullable<MoveFacts['rollback']>
type Outcome = NonNullable<MoveFacts['outcome']>

function winsStage (fact: Stage, held: Stage | undefined): boolean {
  if (!held) return true
  return firstDifference(fact.stage - held.stage, held.share - fact.share, held.at - fact.at) > 0
}

function winsRollback (fact: Rollback, held: Rollback | undefined): boolean {
  if (!held) return true
  const order = compareText(`${held.daemon} ${held.reason}`, `${fact.daemon} ${fact.reason}`)
  return firstDifference(held.at - fact.at, order) > 0
}

function winsOutcome (fact: Outcome, held: Outcome | undefined): boolean {
  if (!held) return true
  const rank = OUTCOME_RANK[fact.outcome] - OUTCOME_RANK[held.outcome]
  return firstDifference(rank, held.at - fact.at, compareText(held.reason, fact.reason)) > 0
}

function firstDifference (...differences: number[]): number {
  return differences.find((difference) => difference !== 0) ?? 0
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}
