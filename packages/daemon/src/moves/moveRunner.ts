import { match } from 'ts-pattern'
import { runEffects, type Cancel, type EventLog, type Timers } from '@lentilwheel/core'
import type { Mesh } from '@lentilwheel/mesh'
import type { MoveEffect, MoveEngine } from '@lentilwheel/moves'

/** Interval at which evidence is sent and stages are decided. */
const TICK_INTERVAL_MS = 1_000

export interface MoveRunnerOptions {
  engine: MoveEngine
  mesh: Pick<Mesh, 'publishFact' | 'sendEvidence'>
  events: EventLog
  timers: Timers
}

/** Runs the engine of traffic moves: ticks it, publishes its facts and evidence over the mesh and records its events. */
export class MoveRunner {
  readonly #opts: MoveRunnerOptions
  readonly #cancelTimer: Cancel

  constructor (opts: MoveRunnerOptions) {
    this.#opts = opts
    this.#cancelTimer = opts.timers.every(TICK_INTERVAL_MS, () => this.#tick())
  }

  stop (): void {
    this.#cancelTimer()
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
