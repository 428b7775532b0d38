import { TokenBucket, type MoveFacts } from '@lentilwheel/core'
import {
  decodeMoveRecord, encodeJson, factsOfRecord, MOVE_PREFIX, moveKey, toMoveRecord, type MovePlan, type MoveRecord
} from '@lentilwheel/platform'
import { MOVE_WRITES_PER_SECOND } from '../constants.js'
import type { MeshContext } from '../context.js'
import { coordinatorOf } from './election.js'

/** Records the facts of moves that this daemon coordinates on the platform, and reads back what is recorded. */
export class MoveWriter {
  readonly #ctx: MeshContext
  readonly #rate: TokenBucket
  /** Facts as last seen on the platform, by move. */
  readonly #stored = new Map<string, { revision: number, content: string }>()
  #isRunning = false
  #isLoaded = false

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    const now = ctx.opts.timers.now()
    this.#rate = new TokenBucket({ perSecond: MOVE_WRITES_PER_SECOND, burst: MOVE_WRITES_PER_SECOND, now })
  }

  /** Reads all recorded facts once, then writes what is not recorded yet; failures of the platform are thrown. */
  async step (isLeaseHeld: boolean): Promise<void> {
    if (this.#isRunning) return
    this.#isRunning = true
    try {
      if (!this.#isLoaded) await this.load()
      if (!isLeaseHeld) return
      for (const [move, facts] of this.#ctx.facts.all) {
        if (coordinatorOf(this.#ctx.table, move) !== this.#ctx.table.self.id) continue
        await this.#record(move, facts)
      }
    } finally {
      this.#isRunning = false
    }
  }

  async load (): Promise<void> {
    for (const object of await this.#ctx.opts.platform.list(MOVE_PREFIX)) {
      const record = decodeMoveRecord(object.value)
      if (record) this.#seen(record, object.revision)
    }
    this.#isLoaded = true
  }

  async #record (move: string, facts: MoveFacts): Promise<void> {
    const before = this.#stored.get(move)
    const record = this.#toRecord(move, facts)
    if (before?.content === contentOf(record) || !this.#rate.tryTake(this.#ctx.opts.timers.now())) return
    const { platform } = this.#ctx.opts
    try {
      const revision = await platform.put(moveKey(move), encodeJson(record), { ifRevision: before?.revision ?? 0 })
      this.#stored.set(move, { revision, content: contentOf(record) })
    } catch (err) {
      await this.#refresh(move)
      throw err
    }
  }

  /** After a conflict or a lost answer: merges what is stored, so that the next step writes the union. */
  async #refresh (move: string): Promise<void> {
    this.#stored.delete(move)
    const object = await this.#ctx.opts.platform.get(moveKey(move))
    if (!object) return
    const record = decodeMoveRecord(object.value)
    if (record) this.#seen(record, object.revision)
    else this.#stored.set(move, { revision: object.revision, content: '' })
  }

  #seen (record: MoveRecord, revision: number): void {
    this.#stored.set(record.id, { revision, content: contentOf(record) })
    this.#ctx.mergeFacts(factsOfRecord(record))
  }

  #toRecord (move: string, facts: MoveFacts): MoveRecord {
    return toMoveRecord(move, this.#planOf(move), facts)
  }

  #planOf (move: string): MovePlan {
    const { service, from, to, by } = this.#ctx.holder.snapshot.config.moves[move] ?? NO_PLAN
    return { service, from, to, by }
  }
}

/** Stands for a move that the configuration names no more. */
const NO_PLAN: MovePlan = { service: '', from: '', to: '', by: '' }

function contentOf (record: MoveRecord): string {
  const { stage, share, outcome, reason, rollback } = record
  return JSON.stringify([stage, share, outcome, reason, rollback])
}
