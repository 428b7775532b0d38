import type { EventFields, EventType, MoveFact, MoveOutcome } from '@lentilwheel/core'
import { SHORTEST_RAMP_MS } from '@lentilwheel/config'
import type { MoveEffect } from './effects.js'

/** Reason of the `movePaused` event when an operator paused the move. */
export const OPERATOR_PAUSE = 'an operator paused the move'

/** Builds what a coordinator publishes about one move: facts for all daemons, and events for the timeline. */
export class MoveReporter {
  readonly #move: string
  readonly #daemon: string
  /** Reason of the last `movePaused` event, with its numbers masked; empty while the move goes on. */
  #lastPauseReason = ''

  constructor (move: string, daemon: string) {
    this.#move = move
    this.#daemon = daemon
  }

  * started (service: string, fields: { from: string, to: string, by: string }): Generator<MoveEffect> {
    yield this.#event('moveStarted', { service, ...fields })
  }

  * stage (service: string, stage: number, share: number, at: number): Generator<MoveEffect> {
    this.#lastPauseReason = ''
    yield this.#publish({ kind: 'stage', move: this.#move, stage, share, at })
    yield this.#event('moveStage', { service, share })
  }

  /** Publishes a rollback and, with it, the outcome `takenBack`. */
  * rollback (service: string, share: number, reason: string, at: number): Generator<MoveEffect> {
    yield this.#publish({ kind: 'rollback', move: this.#move, reason, at, daemon: this.#daemon })
    yield this.#event('moveRollback', { service, share, reason })
    yield * this.ended(service, 'takenBack', reason, at)
  }

  * ended (service: string, outcome: MoveOutcome, reason: string, at: number): Generator<MoveEffect> {
    yield this.#publish({ kind: 'outcome', move: this.#move, outcome, reason, at })
    yield this.#event('moveEnded', { service, outcome, reason })
  }

  /** Reports an alarm in the hold time, that is, at a share of 1. */
  * alarm (reason: string): Generator<MoveEffect> {
    yield this.#event('moveAlarm', { share: 1, reason })
  }

  /** Reports why the move doesn't go on, once for each reason; changed numbers make no new reason. */
  * paused (share: number, reason: string): Generator<MoveEffect> {
    const maskedReason = reason.replace(/\d+/g, '#')
    if (this.#lastPauseReason === maskedReason) return
    this.#lastPauseReason = maskedReason
    yield this.#event('movePaused', { share, reason })
  }

  /** Reports that the move goes on, if an operator had paused it. */
  * resumed (share: number): Generator<MoveEffect> {
    if (this.#lastPauseReason !== OPERATOR_PAUSE) return
    this.#lastPauseReason = ''
    yield this.#event('moveResumed', { share })
  }

  #publish (fact: MoveFact): MoveEffect {
    return { kind: 'publishFact', fact }
  }

  #event (type: EventType, fields: EventFields): MoveEffect {
    return { kind: 'event', type, fields: { move: this.#move, ...fields }, cause: this.#move }
  }
}

/** A share as a percentage of up to three digits. */
export function formatShare (share: number): string {
  return `${Number((share * 100).toPrecision(3))}%`
}

/** Reason of the outcome `late` when a move starts too close to its deadline, or after it. */
export function deadlineTooCloseReason (remainingMs: number, from: string): string {
  const timing = remainingMs <= 0
    ? `the deadline had passed ${Math.ceil(-remainingMs / 1000)} s before the move began`
    : `the deadline was ${Math.floor(remainingMs / 1000)} s away and the shortest ramp takes ${SHORTEST_RAMP_MS / 1000} s`
  return `${timing}, so all traffic stays on ${from}`
}
