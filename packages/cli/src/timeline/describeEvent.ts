import type { ReportedEvent } from '../account/schema.js'
import type { Row } from '../reports/reportFields.js'

/** Describes an event in one line by its fields: version, move, service, target and share first, the reason last. */
export function describeEvent (event: ReportedEvent): string {
  const { service, version, move, target, share, reason, ...rest } = event.fields
  const parts = [
    version === undefined ? undefined : `version ${version}`,
    move === undefined ? undefined : `move ${move}`,
    service === undefined ? undefined : `service ${service}`,
    target === undefined ? undefined : `target ${target}`,
    typeof share === 'number' ? `share ${Number((share * 100).toFixed(1))}%` : undefined,
    ...Object.entries(rest).map(([name, value]) => `${name} ${String(value)}`)
  ].filter((part) => part !== undefined)
  return parts.join(', ') + (reason === undefined ? '' : `${parts.length > 0 ? ': ' : ''}${reason}`)
}

/** Rows of the timeline report. */
export function timelineRows (events: readonly ReportedEvent[]): Row<'timeline'>[] {
  return events.map((event) => ({
    at: event.time.wallMs,
    daemon: event.daemon,
    type: event.type,
    what: describeEvent(event),
    service: cellOf(event.fields['service']),
    move: cellOf(event.fields['move']),
    version: cellOf(event.fields['version']),
    cause: event.cause,
    id: event.id
  }))
}

function cellOf (value: string | number | boolean | undefined): string | number | undefined {
  return typeof value === 'boolean' ? String(value) : value
}
