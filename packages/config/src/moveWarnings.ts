import { resolveWhenUnsure, type Move, type Service } from './schema.js'

/** A problem of a move that doesn't make the configuration invalid, but that the operator should know of. */
export interface MoveWarning {
  code: 'deadline-past' | 'deadline-impossible'
  message: string
}

/**
 * Duration of the shortest ramp, until every daemon sends all traffic to the new version. Package `moves` implements the
 * ramp and tests that it takes this long; the constant is here because this package can't import `moves`.
 */
export const SHORTEST_RAMP_MS = 17_000

/** Warns of a deadline that even the shortest ramp can't meet; `now` is in Unix milliseconds. */
export function moveWarnings (move: Move, service: Service, now: number): MoveWarning[] {
  if (move.control === 'takeBack' || move.control === 'finish') return []
  const remainingMs = Date.parse(move.by) - now
  if (remainingMs >= SHORTEST_RAMP_MS) return []
  const consequence = resolveWhenUnsure(move, service) === 'keepOld'
    ? 'the move would end late immediately, with all traffic on the old version'
    : 'the move would run through its stages as fast as possible and finish after its deadline'
  if (remainingMs <= 0) return [{ code: 'deadline-past', message: `the deadline ${move.by} has passed; ${consequence}` }]
  const message = `the deadline ${move.by} is ${Math.floor(remainingMs / 1000)} s away and the shortest ramp takes ` +
    `${SHORTEST_RAMP_MS / 1000} s; ${consequence}`
  return [{ code: 'deadline-impossible', message }]
}
