import type { ReportedEvent } from '../account/schema.js'
import { refusalsOf, type FleetView } from '../account/fleetView.js'

/**
 * Events that can be derived from what the platform stores: accepted versions, refusals and the last state of each
 * move. All other events are only in the memory of the daemons.
 */
export function eventsFromPlatform (view: FleetView): ReportedEvent[] {
  const accepted = (view.accepted?.changes ?? []).map((change) => event('accepted', change.version, {
    wallMs: change.acceptedAt,
    type: 'versionAccepted',
    fields: { version: change.version, author: change.author, objects: Object.keys(change.replaced).length },
    cause: change.id
  }))
  const refused = refusalsOf(view).map((refusal, i) => event('refused', `${refusal.version}-${i}`, {
    wallMs: refusal.at,
    type: 'versionRefused',
    fields: { version: refusal.version, daemons: refusal.daemons.join(' '), reason: refusal.reason },
    cause: refusal.changeId
  }))
  const moves = view.moveRecords.map((record) => event('move', record.id, {
    wallMs: record.at,
    type: record.outcome ? 'moveEnded' : 'moveStage',
    fields: {
      move: record.id,
      service: record.service,
      share: record.share,
      ...(record.outcome ? { outcome: record.outcome } : { stage: record.stage }),
      ...(record.reason === undefined ? {} : { reason: record.reason })
    },
    cause: record.id
  }))
  return [...accepted, ...refused, ...moves]
}

function event (
  kind: string, id: string | number, { wallMs, ...rest }: Pick<ReportedEvent, 'type' | 'fields' | 'cause'> & { wallMs: number }
): ReportedEvent {
  return { id: `platform/${kind}/${id}`, daemon: 'platform', time: { wallMs, counter: 0 }, ...rest }
}
