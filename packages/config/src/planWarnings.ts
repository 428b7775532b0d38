import { unsureChoice, type Move, type Service } from './schema.js'

/** Something about a move that acceptance and `check` should tell the operator. */
export interface PlanWarning {
  code: 'deadline-past' | 'deadline-impossible'
  message: string
}

/**
 * Time that the shortest ramp needs until every daemon sends everything to the new version. Package `moves` builds the
 * ramp and tests that it takes this long; the figure stands here because acceptance can't import that package.
 */
export const SHORTEST_RAMP_MS = 17_000

/** Warns of a deadline that no ramp can meet; `now` is Unix milliseconds. */
export function planWarnings (move: Move, service: Service, now: number): PlanWarning[] {
  if (move.control === 'takeBack' || move.control === 'finish') return []
  const left = Date.parse(move.by) - now
  if (left >= SHORTEST_RAMP_MS) return []
  const then = unsureChoice(move, service) === 'keepOld'
    ? 'the move would end late at once, with all traffic on the old version'
    : 'the move would take every stage as fast as it can and be done after its deadline'
  if (left <= 0) return [{ code: 'deadline-past', message: `the deadline ${move.by} has passed; ${then}` }]
  const message = `the deadline ${move.by} is ${Math.floor(left / 1000)} s away and the shortest ramp takes ` +
    `${SHORTEST_RAMP_MS / 1000} s; ${then}`
  return [{ code: 'deadline-impossible', message }]
}
