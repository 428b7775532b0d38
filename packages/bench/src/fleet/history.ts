import type { TimelineEvent } from '@lentilwheel/core'
import type { AcceptedChange } from './changes.js'
import type { Fleet } from './fleet.js'

/** What the daemons' events say about versions in force. */
export interface ForceHistory {
  /** Milliseconds from the accepted answer until in force, one for each change and daemon. */
  delaysMs: number[]
  /** Times that a daemon went to a version lower than one it had held. */
  reverts: number
  /** Times that a daemon held a version with content other than what was accepted. */
  partialApplies: number
  /** Changes that some daemon never reported in force and never skipped by a later one. */
  missing: number
}

/** Reads all daemons' events and compares them with the accepted changes. */
export async function readForceHistory (fleet: Fleet, changes: readonly AcceptedChange[]): Promise<ForceHistory> {
  const history: ForceHistory = { delaysMs: [], reverts: 0, partialApplies: 0, missing: 0 }
  const byVersion = new Map(changes.map((change) => [change.version, change]))
  for (let i = 0; i < fleet.daemons.length; i++) {
    const inForce = (await fleet.events(i)).filter((event) => event.type === 'versionInForce')
    checkOrder(inForce, byVersion, history)
    for (const change of changes) addDelay(inForce, change, history)
  }
  return history
}

function checkOrder (
  inForce: readonly TimelineEvent[], byVersion: ReadonlyMap<number, AcceptedChange>, history: ForceHistory
): void {
  let highest = 0
  for (const { fields } of inForce) {
    const version = fields.version ?? 0
    if (version < highest) history.reverts++
    highest = Math.max(highest, version)
    const change = byVersion.get(version)
    if (change && fields['rootHash'] !== change.rootHash) history.partialApplies++
  }
}

/** A daemon that skipped a version counts from the first version at or above it. */
function addDelay (inForce: readonly TimelineEvent[], change: AcceptedChange, history: ForceHistory): void {
  const reached = inForce.find((event) => (event.fields.version ?? 0) >= change.version)
  if (!reached) {
    history.missing++
    return
  }
  history.delaysMs.push(Math.max(0, reached.time.wallMs - change.acceptedAt))
}
