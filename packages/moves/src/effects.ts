import type { EventFields, EventType, EvidenceReport, MoveFact } from '@lentilwheel/core'

/** What a tick of the move engine asks the daemon to do: publish a fact, send evidence to the coordinator, or record an event. */
export type MoveEffect =
  | { kind: 'publishFact', fact: MoveFact }
  | { kind: 'sendEvidence', report: EvidenceReport }
  | { kind: 'event', type: EventType, fields: EventFields, cause?: string }
