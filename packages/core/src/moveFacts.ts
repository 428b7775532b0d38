/** How a move ends: all traffic on the new version, rolled back, or not done by its deadline. */
export const MOVE_OUTCOMES = ['done', 'takenBack', 'late'] as const
export type MoveOutcome = typeof MOVE_OUTCOMES[number]

/**
 * A fact about a move that daemons exchange. Facts are never withdrawn and merge in any order, see mergeMoveFact, so that
 * daemons agree on them without a leader. `at` is in Unix milliseconds.
 */
export type MoveFact =
  | { kind: 'stage', move: string, stage: number, share: number, at: number }
  | { kind: 'rollback', move: string, reason: string, at: number, daemon: string }
  | { kind: 'outcome', move: string, outcome: MoveOutcome, reason: string, at: number }

/** Merged facts of one move. */
export interface MoveFacts {
  stage?: Extract<MoveFact, { kind: 'stage' }>
  rollback?: Extract<MoveFact, { kind: 'rollback' }>
  outcome?: Extract<MoveFact, { kind: 'outcome' }>
}

/** Number, errors and latencies of the calls of one route to one version of a move, within a reporting window. */
export interface EvidenceRow {
  route: string
  version: string
  calls: number
  errors: number
  /** Successful calls per latency bucket, without trailing zeros; package `moves` defines the bucket bounds. */
  buckets: number[]
}

/** Results of the calls of a move that one daemon made since its last report. */
export interface EvidenceReport {
  move: string
  daemon: string
  /** Stage that was active when the calls were counted; if absent, the coordinator's current stage. */
  stage?: number
  rows: EvidenceRow[]
}
