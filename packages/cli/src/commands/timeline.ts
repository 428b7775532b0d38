import { readPlatformView } from '../account/platformSource.js'
import type { EventsAnswer } from '../account/schema.js'
import { daemonOf, textOption, versionOption, withPlatform, type CommandContext, type CommonOptions } from '../context.js'
import { UsageError } from '../errors.js'
import { Reporter } from '../output/reporter.js'
import { counted } from '../output/text.js'
import { timelineRows } from '../timeline/describe.js'
import { filterEvents, mergeEvents, parseMoment, type TimelineFilter } from '../timeline/filter.js'
import { eventsFromPlatform } from '../timeline/fromPlatform.js'
import { renderPage } from '../timeline/page.js'

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

/** Events of the whole fleet in order, as text, CSV, JSON or one HTML page. */
export async function timeline (ctx: CommandContext, opts: TimelineOptions): Promise<void> {
  const reporter = new Reporter(ctx, opts)
  const html = textOption(opts.html, 'html')
  if (html !== undefined && reporter.form !== 'text') throw new UsageError('--html excludes --json and --csv')
  const now = ctx.timers.wallNow()
  const filter = filterOptions(opts, now)
  const read = await readEvents(ctx, opts)
  const all = mergeEvents(read.events)
  const events = filterEvents(all, filter)
  if (read.silent.length > 0) {
    reporter.notices([`Without the events of ${counted(read.silent.length, 'daemon')} that did not answer: ${read.silent.join(', ')}.`])
  }
  if (html !== undefined) {
    const page = { events, all, source: read.source, filter: filterWords(opts), silent: read.silent, madeAt: now }
    ctx.writeFile(html, renderPage(page))
    reporter.say(`${html}: ${counted(events.length, 'event')} written.`)
    return
  }
  reporter.json({ source: read.source, events, silent: read.silent })
  reporter.table('timeline', timelineRows(events))
  if (events.length === 0) reporter.say(all.length === 0 ? 'There are no events.' : 'No event matches the filter.')
  if (read.source === 'platform') reporter.say(PLATFORM_NOTE, 'dim')
}

async function readEvents (
  ctx: CommandContext, opts: CommonOptions
): Promise<Omit<EventsAnswer, 'protocol'> & { source: string }> {
  const daemon = daemonOf(ctx, opts)
  if (daemon) {
    const { events, silent } = await daemon.events()
    return { source: `daemon ${daemon.address}`, events, silent }
  }
  const view = await withPlatform(ctx, opts, readPlatformView)
  return { source: 'platform', events: eventsFromPlatform(view), silent: [] }
}

function filterOptions (opts: TimelineOptions, now: number): TimelineFilter {
  const moment = (value: unknown, name: string): number | undefined => {
    const text = textOption(value, name)
    return text === undefined ? undefined : parseMoment(text, name, now)
  }
  const filter: TimelineFilter = {
    service: textOption(opts.service, 'service'),
    move: textOption(opts.move, 'move'),
    configVersion: versionOption(opts.configVersion, 'config-version'),
    sinceMs: moment(opts.since, 'since'),
    untilMs: moment(opts.until, 'until')
  }
  if (filter.sinceMs !== undefined && filter.untilMs !== undefined && filter.sinceMs > filter.untilMs) {
    throw new UsageError('--since is later than --until')
  }
  return filter
}

function filterWords (opts: TimelineOptions): string {
  const words = { service: 'service', move: 'move', configVersion: 'version', since: 'since', until: 'until' } as const
  return Object.entries(words)
    .filter(([name]) => opts[name as keyof typeof words] !== undefined)
    .map(([name, word]) => `${word} ${String(opts[name as keyof typeof words])}`)
    .join(', ')
}
