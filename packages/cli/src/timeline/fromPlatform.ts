import type { ReportedEvent } from '../account/schema.js'
import { refusalsOf, type FleetView } from '../account/view.js'

/**
 * The part of the timeline that the platform keeps: accepted versions, refusals and the last state of each move.
 * Daemons keep the rest in memory only.
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
    fields: { version: refusal.version, daemons: refusal.daemons, reason: refusal.reason },
    cause: refusal.changeId
  }))
  const moves = view.records.map((record) => event('move', record.id, {
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
