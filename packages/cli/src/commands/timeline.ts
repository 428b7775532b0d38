import { readPlatformView } from '../account/readPlatformView.js'
import type { EventsResponse } from '../account/schema.js'
import { daemonFromOptions, textOption, versionOption, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'
import { pluralise } from '../output/text.js'
import { timelineRows } from '../timeline/describeEvent.js'
import { filterEvents, mergeEvents, parseTimeOption, type TimelineFilter } from '../timeline/filterEvents.js'
import { eventsFromPlatform } from '../timeline/eventsFromPlatform.js'
import { renderPage } from '../timeline/renderPage.js'

export interface TimelineOptions extends CommonOptions {
  service?: unknown
  move?: unknown
  configVersion?: unknown
  since?: unknown
  until?: unknown
  html?: unknown
}

const PLATFORM_NOTE = 'Read from the platform, which keeps accepted versions, refusals and the last state of each ' +
  'move. For all events add --daemon <admin address>.'

/** Prints the events of the whole fleet in order, as text, CSV, JSON or one HTML page. */
export async function timeline (ctx: CommandContext, opts: TimelineOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  const html = textOption(opts.html, 'html')
  if (html !== undefined && reporter.format !== 'text') throw new UsageError('--html excludes --json and --csv')
  const now = ctx.timers.wallNow()
  const filter = filterOptions(opts, now)
  const read = await readEvents(ctx, opts)
  const allEvents = mergeEvents(read.events)
  const events = filterEvents(allEvents, filter)
  if (read.silent.length > 0) {
    reporter.notices([`Without the events of ${pluralise(read.silent.length, 'daemon')} that did not answer: ${read.silent.join(', ')}.`])
  }
  if (html !== undefined) {
    const page = { events, allEvents, source: read.source, filter: describeFilter(opts), silent: read.silent, createdAt: now }
    ctx.writeFile(html, renderPage(page))
    reporter.print(`${html}: ${pluralise(events.length, 'event')} written.`)
    return
  }
  reporter.json({ source: read.source, events, silent: read.silent })
  reporter.table('timeline', timelineRows(events))
  if (events.length === 0) reporter.print(allEvents.length === 0 ? 'There are no events.' : 'No event matches the filter.')
  if (read.source === 'platform') reporter.print(PLATFORM_NOTE, 'dim')
}

async function readEvents (
  ctx: CommandContext, opts: CommonOptions
): Promise<Omit<EventsResponse, 'protocol'> & { source: string }> {
  const daemon = daemonFromOptions(ctx, opts)
  if (daemon) {
    const { events, silent } = await daemon.events()
    return { source: `daemon ${daemon.address}`, events, silent }
  }
  const view = await withPlatform(ctx, opts, readPlatformView)
  return { source: 'platform', events: eventsFromPlatform(view), silent: [] }
}

function filterOptions (opts: TimelineOptions, now: number): TimelineFilter {
  const timeOption = (value: unknown, name: string): number | undefined => {
    const text = textOption(value, name)
    return text === undefined ? undefined : parseTimeOption(text, name, now)
  }
  const filter: TimelineFilter = {
    service: textOption(opts.service, 'service'),
    move: textOption(opts.move, 'move'),
    configVersion: versionOption(opts.configVersion, 'config-version'),
    sinceMs: timeOption(opts.since, 'since'),
    untilMs: timeOption(opts.until, 'until')
  }
  if (filter.sinceMs !== undefined && filter.untilMs !== undefined && filter.sinceMs > filter.untilMs) {
    throw new UsageError('--since is later than --until')
  }
  return filter
}

function describeFilter (opts: TimelineOptions): string {
  const labels = { service: 'service', move: 'move', configVersion: 'version', since: 'since', until: 'until' } as const
  return Object.entries(labels)
    .filter(([name]) => opts[name as keyof typeof labels] !== undefined)
    .map(([name, label]) => `${label} ${String(opts[name as keyof typeof labels])}`)
    .join(', ')
}
