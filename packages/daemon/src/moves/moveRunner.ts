import { match } from 'ts-pattern'
import { runEffects, type Cancel, type EventLog, type Timers } from '@lentilwheel/core'
import type { Mesh } from '@lentilwheel/mesh'
import type { MoveEffect, MoveEngine } from '@lentilwheel/moves'

/** Evidence is sent and stages are decided at this interval. */
const TICK_MS = 1_000

export interface MoveRunnerOptions {
  engine: MoveEngine
  mesh: Pick<Mesh, 'publishFact' | 'sendEvidence'>
  events: EventLog
  timers: Timers
}

/** Ticks the move engine and carries out its effects through the mesh. */
export class MoveRunner {
  readonly #opts: MoveRunnerOptions
  readonly #cancel: Cancel

  constructor (opts: MoveRunnerOptions) {
    this.#opts = opts
    this.#cancel = opts.timers.every(TICK_MS, () => this.#tick())
  }

  stop (): void {
    this.#cancel()
  }

  #tick (): void {
    const { engine, timers } = this.#opts
    runEffects(engine.tick(timers.now(), timers.wallNow()), (effect) => this.#perform(effect))
  }

  #perform (effect: MoveEffect): void {
    const { mesh, events } = this.#opts
    match(effect)
      .with({ kind: 'publishFact' }, ({ fact }) => mesh.publishFact(fact))
      .with({ kind: 'sendEvidence' }, ({ report }) => mesh.sendEvidence(report))
      .with({ kind: 'event' }, ({ type, fields, cause }) => { events.record(type, fields, cause) })
      .exhaustive()
  }
}
