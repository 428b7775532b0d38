import { TokenBucket, type MoveFacts } from '@lentilwheel/core'
import {
  decodeMoveRecord, encodeJson, toMoveFacts, MOVE_PREFIX, moveKey, toMoveRecord, type MoveDefinition, type MoveRecord
} from '@lentilwheel/platform'
import { MOVE_WRITES_PER_SECOND, RECORD_CHECK_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import { coordinatorOf } from './election.js'

/**
 * Writes the facts of the moves that this daemon coordinates to the platform, and merges the facts recorded there. Writes
 * use optimistic concurrency and are limited to `MOVE_WRITES_PER_SECOND`.
 */
export class MoveRecordWriter {
  readonly #ctx: MeshContext
  readonly #writeRate: TokenBucket
  /** Revision and content of the records last seen on the platform, by move. */
  readonly #stored = new Map<string, { revision: number, content: string }>()
  #isRunning = false
  #nextLoadAt = -Infinity

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    const now = ctx.opts.timers.now()
    this.#writeRate = new TokenBucket({ perSecond: MOVE_WRITES_PER_SECOND, burst: MOVE_WRITES_PER_SECOND, now })
  }

  /**
   * Reads all records every `RECORD_CHECK_PERIOD_MS`, and writes the facts not recorded yet if the lease is held; platform
   * errors are thrown.
   */
  async syncRecords (isLeaseHeld: boolean): Promise<void> {
    if (this.#isRunning) return
    this.#isRunning = true
    try {
      if (this.#ctx.opts.timers.now() >= this.#nextLoadAt) await this.load()
      if (!isLeaseHeld) return
      for (const [move, facts] of this.#ctx.facts.all) {
        if (coordinatorOf(this.#ctx.table, move) !== this.#ctx.table.self.id) continue
        await this.#writeRecord(move, facts)
      }
    } finally {
      this.#isRunning = false
    }
  }

  async load (): Promise<void> {
    const objects = await this.#ctx.opts.platform.list(MOVE_PREFIX)
    this.#stored.clear()
    for (const object of objects) {
      const record = decodeMoveRecord(object.value)
      if (record) this.#mergeStored(record, object.revision)
    }
    this.#nextLoadAt = this.#ctx.opts.timers.now() + RECORD_CHECK_PERIOD_MS
  }

  async #writeRecord (move: string, facts: MoveFacts): Promise<void> {
    const before = this.#stored.get(move)
    const record = this.#toRecord(move, facts)
    if (before?.content === contentOf(record) || !this.#writeRate.tryTake(this.#ctx.opts.timers.now())) return
    const { platform } = this.#ctx.opts
    try {
      const revision = await platform.put(moveKey(move), encodeJson(record), { ifRevision: before?.revision ?? 0 })
      this.#stored.set(move, { revision, content: contentOf(record) })
    } catch (err) {
      await this.#reload(move)
      throw err
    }
  }

  /** Merges the stored record after a conflict or an unknown outcome of a write, so that the next write holds the union. */
  async #reload (move: string): Promise<void> {
    this.#stored.delete(move)
    const object = await this.#ctx.opts.platform.get(moveKey(move))
    if (!object) return
    const record = decodeMoveRecord(object.value)
    if (record) this.#mergeStored(record, object.revision)
    else this.#stored.set(move, { revision: object.revision, content: '' })
  }

  #mergeStored (record: MoveRecord, revision: number): void {
    this.#stored.set(record.id, { revision, content: contentOf(record) })
    this.#ctx.mergeFacts(toMoveFacts(record))
  }

  #toRecord (move: string, facts: MoveFacts): MoveRecord {
    return toMoveRecord(move, this.#definitionOf(move), facts)
  }

  #definitionOf (move: string): MoveDefinition {
    const { service, from, to, by } = this.#ctx.snapshots.snapshot.config.moves[move] ?? NO_DEFINITION
    return { service, from, to, by }
  }
}

/** Recorded for a move that the configuration no longer names. */
const NO_DEFINITION: MoveDefinition = { service: '', from: '', to: '', by: '' }

function contentOf (record: MoveRecord): string {
  const { stage, share, outcome, reason, rollback } = record
  return JSON.stringify([stage, share, outcome, reason, rollback])
}
