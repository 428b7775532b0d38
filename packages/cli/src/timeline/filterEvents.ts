import { parseDuration } from '@lentilwheel/config'
import { compareEvents, type TimelineEvent } from '@lentilwheel/core'
import type { ReportedEvent } from '../account/schema.js'
import { UsageError } from '../errors.js'

export interface TimelineFilter {
  service?: string
  move?: string
  configVersion?: number
  sinceMs?: number
  untilMs?: number
}

/** Sorts events by their hybrid clocks and drops duplicates, since several daemons may report the same event. */
export function mergeEvents (events: readonly ReportedEvent[]): ReportedEvent[] {
  const unique = new Map(events.map((event) => [event.id, event]))
  return [...unique.values()].sort((a, b) => compareEvents(a as TimelineEvent, b as TimelineEvent))
}

/** Events that match each part of the filter or were caused by a matching event, within the time span of the filter. */
export function filterEvents (events: readonly ReportedEvent[], filter: TimelineFilter): ReportedEvent[] {
  const { sinceMs = -Infinity, untilMs = Infinity } = filter
  const services = servicesByMove(events)
  const matchingIds = [
    filter.service !== undefined && withCausedEvents(events, (event) => serviceOf(event, services) === filter.service),
    filter.move !== undefined && withCausedEvents(events, (event) =>
      event.fields['move'] === filter.move || event.cause === filter.move),
    filter.configVersion !== undefined && withCausedEvents(events, (event) =>
      event.fields['version'] === filter.configVersion)
  ].filter((ids) => ids !== false)
  return events.filter((event) =>
    event.time.wallMs >= sinceMs && event.time.wallMs <= untilMs && matchingIds.every((ids) => ids.has(event.id)))
}

function servicesByMove (events: readonly ReportedEvent[]): Map<unknown, unknown> {
  return new Map(events
    .filter((event) => event.fields['move'] !== undefined && event.fields['service'] !== undefined)
    .map((event) => [event.fields['move'], event.fields['service']]))
}

function serviceOf (event: ReportedEvent, services: ReadonlyMap<unknown, unknown>): unknown {
  return event.fields['service'] ?? services.get(event.fields['move'])
}

/** Ids of the matching events and of all events that these caused, directly or through others. */
function withCausedEvents (
  events: readonly ReportedEvent[], matches: (event: ReportedEvent) => boolean
): Set<string> {
  const byCause = new Map<string, ReportedEvent[]>()
  for (const event of events) {
    if (event.cause === undefined) continue
    const effects = byCause.get(event.cause)
    if (effects) effects.push(event)
    else byCause.set(event.cause, [event])
  }
  const ids = new Set<string>()
  const pending = events.filter(matches)
  for (let event = pending.pop(); event; event = pending.pop()) {
    if (ids.has(event.id)) continue
    ids.add(event.id)
    pending.push(...byCause.get(event.id) ?? [])
  }
  return ids
}

/** Parses an option that gives a time: ISO 8601, or a duration before now such as 10m. */
export function parseTimeOption (text: string, option: string, now: number): number {
  const agoMs = parseDuration(text)
  if (agoMs !== undefined) return now - agoMs
  const at = Date.parse(text)
  if (Number.isNaN(at)) {
    throw new UsageError(`--${option}: "${text}" is neither a time such as 2026-12-04T18:00:00Z nor a duration such as 10m`)
  }
  return at
}
