import { MOVE_OUTCOMES, type MoveFact, type MoveFacts } from '@lentilwheel/core'
import { z } from 'zod'
import { decodeJson } from './platformClient.js'

/** Progress of a traffic move from one version to another, as its coordinator stores it. */
export const moveRecordSchema = z.object({
  id: z.string(),
  service: z.string(),
  from: z.string(),
  to: z.string(),
  /** Time by which all traffic is to be on the new version. */
  by: z.string(),
  /** Number of the current stage; 0 before the first. */
  stage: z.int(),
  /** Share of the traffic that the new version gets; 0 after a rollback. */
  share: z.number(),
  outcome: z.enum(MOVE_OUTCOMES).optional(),
  reason: z.string().optional(),
  /** Unix milliseconds of the newest fact. */
  at: z.number(),
  stageAt: z.number().optional(),
  outcomeAt: z.number().optional(),
  /** Never removed once set. */
  rollback: z.object({ reason: z.string(), at: z.number(), daemon: z.string() }).optional()
})

export type MoveRecord = z.output<typeof moveRecordSchema>

/** Fields of a move that come from the configuration. */
export type MoveDefinition = Pick<MoveRecord, 'service' | 'from' | 'to' | 'by'>

export const MOVE_PREFIX = 'move/'

export function moveKey (id: string): string {
  return `${MOVE_PREFIX}${id}`
}

/** Combines the configured part of a move with the facts known of it. */
export function toMoveRecord (id: string, definition: MoveDefinition, facts: MoveFacts): MoveRecord {
  const { stage, rollback, outcome } = facts
  const reason = outcome?.reason ?? rollback?.reason
  return {
    id,
    service: definition.service,
    from: definition.from,
    to: definition.to,
    by: definition.by,
    stage: stage?.stage ?? 0,
    share: rollback ? 0 : stage?.share ?? 0,
    at: Math.max(0, stage?.at ?? 0, rollback?.at ?? 0, outcome?.at ?? 0),
    ...(stage ? { stageAt: stage.at } : {}),
    ...(outcome ? { outcome: outcome.outcome, outcomeAt: outcome.at } : {}),
    ...(reason === undefined ? {} : { reason }),
    ...(rollback ? { rollback: { reason: rollback.reason, at: rollback.at, daemon: rollback.daemon } } : {})
  }
}

/** Facts that a stored record contains. After a rollback its share is 0, so the stage's share can't be recovered. */
export function toMoveFacts (record: MoveRecord): MoveFact[] {
  const { id: move, stage, share, rollback, outcome, reason = '' } = record
  const facts: MoveFact[] = []
  if (stage > 0 && !rollback) facts.push({ kind: 'stage', move, stage, share, at: record.stageAt ?? record.at })
  if (rollback) facts.push({ kind: 'rollback', move, ...rollback })
  if (outcome) facts.push({ kind: 'outcome', move, outcome, reason, at: record.outcomeAt ?? record.at })
  return facts
}

export function decodeMoveRecord (value: Uint8Array): MoveRecord | undefined {
  return decodeJson(moveRecordSchema, value)
}
