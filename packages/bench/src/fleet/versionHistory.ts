import type { TimelineEvent } from '@lentilwheel/core'
import type { AcceptedChange } from './changes.js'
import type { DaemonFleet } from './daemonFleet.js'

/** When and in which order the daemons applied the versions, according to their events. */
export interface VersionHistory {
  /** Milliseconds from the acceptance of a change until a daemon applied it, one for each change and daemon. */
  delaysMs: number[]
  /** Times that a daemon applied a version lower than one that it had applied before. */
  reverts: number
  /** Times that a daemon applied a version with another root hash than the accepted one. */
  partialApplies: number
  /** Pairs of a change and a daemon that applied neither this change nor a later one. */
  missing: number
}

/** Reads the `versionInForce` events of all daemons and compares them with the accepted changes. */
export async function readVersionHistory (fleet: DaemonFleet, changes: readonly AcceptedChange[]): Promise<VersionHistory> {
  const history: VersionHistory = { delaysMs: [], reverts: 0, partialApplies: 0, missing: 0 }
  const byVersion = new Map(changes.map((change) => [change.version, change]))
  for (let i = 0; i < fleet.daemons.length; i++) {
    const appliedEvents = (await fleet.events(i)).filter((event) => event.type === 'versionInForce')
    countViolations(appliedEvents, byVersion, history)
    for (const change of changes) addApplyDelay(appliedEvents, change, history)
  }
  return history
}

function countViolations (
  appliedEvents: readonly TimelineEvent[], byVersion: ReadonlyMap<number, AcceptedChange>, history: VersionHistory
): void {
  let highest = 0
  for (const { fields } of appliedEvents) {
    const version = fields.version ?? 0
    if (version < highest) history.reverts++
    highest = Math.max(highest, version)
    const change = byVersion.get(version)
    if (change && fields['rootHash'] !== change.rootHash) history.partialApplies++
  }
}

/** A daemon that skipped the change's version has applied the change with the first higher version. */
function addApplyDelay (appliedEvents: readonly TimelineEvent[], change: AcceptedChange, history: VersionHistory): void {
  const firstApplied = appliedEvents.find((event) => (event.fields.version ?? 0) >= change.version)
  if (!firstApplied) {
    history.missing++
    return
  }
  history.delaysMs.push(Math.max(0, firstApplied.time.wallMs - change.acceptedAt))
}
