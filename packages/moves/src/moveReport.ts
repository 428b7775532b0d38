import type { EventFields, EventType, MoveFact, MoveOutcome } from '@lentilwheel/core'
import { SHORTEST_RAMP_MS } from '@lentilwheel/config'
import type { MoveEffect } from './effects.js'

export const OPERATOR_PAUSE = 'an operator paused the move'

/** What a coordinator tells about one move: facts for all daemons, and events for the timeline. */
export class MoveReport {
  readonly #move: string
  readonly #daemon: string
  /** Reason why the move stands still that was told last, without its numbers. */
  #told = ''

  constructor (move: string, daemon: string) {
    this.#move = move
    this.#daemon = daemon
  }

  * started (service: string, fields: { from: string, to: string, by: string }): Generator<MoveEffect> {
    yield this.#event('moveStarted', { service, ...fields })
  }

  * stage (service: string, stage: number, share: number, at: number): Generator<MoveEffect> {
    this.#told = ''
    yield this.#publish({ kind: 'stage', move: this.#move, stage, share, at })
    yield this.#event('moveStage', { service, share })
  }

  * rollback (service: string, share: number, reason: string, at: number): Generator<MoveEffect> {
    yield this.#publish({ kind: 'rollback', move: this.#move, reason, at, daemon: this.#daemon })
    yield this.#event('moveRollback', { service, share, reason })
    yield * this.ended(service, 'takenBack', reason, at)
  }

  * ended (service: string, outcome: MoveOutcome, reason: string, at: number): Generator<MoveEffect> {
    yield this.#publish({ kind: 'outcome', move: this.#move, outcome, reason, at })
    yield this.#event('moveEnded', { service, outcome, reason })
  }

  * alarm (reason: string): Generator<MoveEffect> {
    yield this.#event('moveAlarm', { share: 1, reason })
  }

  /** Says why the move stands still, once a reason. */
  * paused (share: number, reason: string): Generator<MoveEffect> {
    const kind = reason.replace(/\d+/g, '#')
    if (this.#told === kind) return
    this.#told = kind
    yield this.#event('movePaused', { share, reason })
  }

  /** Says that the move goes on, if an operator had paused it. */
  * resumed (share: number): Generator<MoveEffect> {
    if (this.#told !== OPERATOR_PAUSE) return
    this.#told = ''
    yield this.#event('moveResumed', { share })
  }

  #publish (fact: MoveFact): MoveEffect {
    return { kind: 'publishFact', fact }
  }

  #event (type: EventType, fields: EventFields): MoveEffect {
    return { kind: 'event', type, fields: { move: this.#move, ...fields }, cause: this.#move }
  }
}

export function formatShare (share: number): string {
  return `${Number((share * 100).toPrecision(3))}%`
}

/** Why a move that starts too late doesn't start at all. */
export function tooLateReason (leftMs: number, from: string): string {
  const when = leftMs <= 0
    ? `the deadline had passed ${Math.ceil(-leftMs / 1000)} s before the move began`
    : `the deadline was ${Math.floor(leftMs / 1000)} s away and the shortest ramp takes ${SHORTEST_RAMP_MS / 1000} s`
  return `${when}, so all traffic stays on ${from}`
}
