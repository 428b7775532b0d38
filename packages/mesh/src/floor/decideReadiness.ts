import { START_READY_ANSWERS } from '../constants.js'
import type { Readiness } from '../types.js'

/** What a starting daemon knows about itself and the mesh; input of `decideReadiness`. */
export interface ReadinessInput {
  /** Version that this daemon holds; 0 if none. */
  version: number
  /** Highest version known to be held by any daemon. */
  floor: number
  /** The platform's head was read, by this daemon or by the relay whose push it received. */
  isHeadKnown: boolean
  /** Number of peers that answered since the start and are ready themselves. */
  readyAnswers: number
  /** Number of peers that answered since the start. */
  answers: number
  /** Number of known peers that are not unreachable. */
  peers: number
  /** A peer to which the previous run may have announced a version has not answered yet. */
  isAwaitingAnnouncedPeer: boolean
  /** The facts about moves were loaded from the platform or from a ready peer. */
  hasFacts: boolean
}

/**
 * Decides whether a starting daemon may serve, so that none serves an older version than one that any daemon has held.
 * Its version must be at or above the version floor, and the floor must be known: from the platform's head, from
 * `START_READY_ANSWERS` ready peers plus the peers to which its previous run may have announced a version, or from all
 * known peers. Answers of peers that are starting themselves count only in the last case, since these peers may not know
 * the floor yet.
 */
export function decideReadiness (input: ReadinessInput): Readiness {
  if (input.version === 0) return { ready: false, reason: 'no configuration version is held yet' }
  const isFloorKnown = input.isHeadKnown || (input.readyAnswers >= START_READY_ANSWERS && !input.isAwaitingAnnouncedPeer) ||
    (input.peers > 0 && input.answers >= input.peers)
  if (!isFloorKnown && input.isAwaitingAnnouncedPeer && input.readyAnswers >= START_READY_ANSWERS) {
    return { ready: false, reason: 'version floor is unknown: a peer that the last run may have told of a version is silent' }
  }
  if (!isFloorKnown) {
    return { ready: false, reason: `version floor is unknown: ${input.readyAnswers} of ${START_READY_ANSWERS} ready peers answered and the platform did not` }
  }
  if (input.version < input.floor) {
    return { ready: false, reason: `holds version ${input.version}, below the floor ${input.floor}` }
  }
  if (!input.hasFacts) return { ready: false, reason: 'facts about moves are not loaded yet' }
  return { ready: true, reason: `holds version ${input.version}` }
}
