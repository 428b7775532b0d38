export const MOVE_OUTCOMES = ['done', 'takenBack', 'late'] as const
export type MoveOutcome = typeof MOVE_OUTCOMES[number]

/** Facts about a move only grow, so they merge in any order and need no leader. */
export type MoveFact =
  | { kind: 'stage', move: string, stage: number, share: number, at: number }
  | { kind: 'rollback', move: string, reason: string, at: number, daemon: string }
  | { kind: 'outcome', move: string, outcome: MoveOutcome, reason: string, at: number }

/** All that is known about one move. */
export interface MoveFacts {
  stage?: Extract<MoveFact, { kind: 'stage' }>
  rollback?: Extract<MoveFact, { kind: 'rollback' }>
  outcome?: Extract<MoveFact, { kind: 'outcome' }>
}

/** Calls of one route to one version of a move within a summary window. */
export interface EvidenceRow {
  route: string
  version: string
  calls: number
  errors: number
  /** Successful calls per latency bucket, without the zeros at the end; package `moves` gives the bounds. */
  buckets: number[]
}

/** What one daemon saw of a move since its last report. */
export interface EvidenceReport {
  move: string
  daemon: string
  /** Stage in force when the calls were counted; absent means the stage that the coordinator knows. */
  stage?: number
  rows: EvidenceRow[]
}
