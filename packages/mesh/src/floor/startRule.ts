import { START_ANSWERS } from '../constants.js'
import type { Readiness } from '../types.js'

/** What a starting daemon knows when it asks whether it may serve. */
export interface StartView {
  version: number
  /** Highest version known to be held by anyone. */
  floor: number
  /** The platform's head was read, here or by the relay whose push arrived. */
  headKnown: boolean
  /** Peers that answered since the start and are ready themselves. */
  readyAnswers: number
  /** Peers that answered since the start. */
  answers: number
  /** Peers known and not unreachable. */
  peers: number
  /** A peer that the run before may have told of a version has yet to answer. */
  awaitsWitness: boolean
  /** Facts came from the platform or from a ready peer. */
  factsLoaded: boolean
}

/**
 * Whether a starting daemon may serve. It must be at or above the floor, and the floor must come from the platform's
 * head, from three ready peers and the peers that its run before told, or from all known peers. Answers of peers that are starting themselves count only
 * when nobody else is left to ask, since they may not know the floor yet.
 */
export function startRule (view: StartView): Readiness {
  if (view.version === 0) return { ready: false, reason: 'no configuration version is held yet' }
  const isFloorKnown = view.headKnown || (view.readyAnswers >= START_ANSWERS && !view.awaitsWitness) ||
    (view.peers > 0 && view.answers >= view.peers)
  if (!isFloorKnown && view.awaitsWitness && view.readyAnswers >= START_ANSWERS) {
    return { ready: false, reason: 'version floor is unknown: a peer that the last run may have told of a version is silent' }
  }
  if (!isFloorKnown) {
    return { ready: false, reason: `version floor is unknown: ${view.readyAnswers} of ${START_ANSWERS} ready peers answered and the platform did not` }
  }
  if (view.version < view.floor) {
    return { ready: false, reason: `holds version ${view.version}, below the floor ${view.floor}` }
  }
  if (!view.factsLoaded) return { ready: false, reason: 'facts about moves are not loaded yet' }
  return { ready: true, reason: `holds version ${view.version}` }
}
