import type { ReportedEvent } from '../account/schema.js'
import { formatExactTime, formatTime, pluralise, stripControlChars } from '../output/text.js'
import { describeEvent } from './describeEvent.js'
import { PAGE_SCRIPT, PAGE_STYLE } from './pageAssets.js'
import { activeVersionPanel, escapeHtml, MAX_LINES, renderPanel, sharePanel, type Panel } from './plot.js'
import { activeVersionSeries, shareSeries, type Series } from './series.js'

export interface PageOptions {
  /** Events that match the filter; the page lists these. */
  events: readonly ReportedEvent[]
  /** All known events; the plots count these, so that a filter does not make the counts wrong. */
  allEvents: readonly ReportedEvent[]
  source: string
  /** Description of the filter; empty without one. */
  filter: string
  silent: readonly string[]
  createdAt: number
}

/** Most events that the page lists; more make it slow to open and to search. */
const MAX_LISTED = 10_000

/** Widths of the two variants of a plot; the style sheet shows the one that fits the window. */
const WIDE_PX = 1_160
const NARROW_PX = 360

/** Renders the timeline as one HTML page that needs no other file and no network. */
export function renderPage (opts: PageOptions): string {
  const listed = opts.events.slice(-MAX_LISTED)
  const times = opts.events.map((event) => event.time.wallMs)
  const from = times[0] ?? opts.createdAt
  const to = times.at(-1) ?? opts.createdAt
  const moves = new Set(opts.events.map((event) => event.fields['move']))
  const shares = clipToSpan(shareSeries(opts.allEvents).filter((series) => moves.has(series.name)), from, to)
  const activeVersions = clipToSpan(activeVersionSeries(opts.allEvents), from, to)
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>lentilwheel timeline</title>
<style>${PAGE_STYLE}</style>
</head>
<body>
<h1>Timeline</h1>
<p>${escapeHtml(summaryOf(opts, from, to))}</p>
${unresponsiveNote(opts.silent)}${figure(sharePanel(shares), shares, { from, to })}
${figure(activeVersionPanel(activeVersions), activeVersions, { from, to })}
<h2>Events</h2>
${omittedNote(opts.events.length - listed.length)}${filterForm(listed)}
<ol id="events">
${listed.map(eventItem).join('\n')}
</ol>
<script>${PAGE_SCRIPT}</script>
</body>
</html>
`
}

function summaryOf (opts: PageOptions, from: number, to: number): string {
  const span = opts.events.length === 0 ? '' : ` from ${formatTime(from)} to ${formatTime(to)}`
  const filter = opts.filter === '' ? '' : `, only ${opts.filter}`
  return `${pluralise(opts.events.length, 'event')}${span}, read from ${opts.source}${filter}. Times are UTC.`
}

function unresponsiveNote (silent: readonly string[]): string {
  if (silent.length === 0) return ''
  return `<p class="note">${escapeHtml(`Without the events of ${pluralise(silent.length, 'daemon')} that did not ` +
    `answer: ${silent.join(', ')}.`)}</p>\n`
}

function omittedNote (older: number): string {
  return older === 0
    ? ''
    : `<p class="note">The list has the newest ${MAX_LISTED} events and leaves out ${older} older ` +
    'ones; narrow the span with --since and --until. The plots count all.</p>\n'
}

/** Limits series to a span of time; the last value before it becomes the value at its start. */
function clipToSpan (series: readonly Series[], from: number, to: number): Series[] {
  return series.flatMap(({ name, points }) => {
    const before = points.findLast((point) => point.at <= from)
    const inside = points.filter((point) => point.at > from && point.at <= to)
    const kept = before ? [{ at: from, value: before.value }, ...inside] : inside
    return kept.some((point) => point.value > 0) ? [{ name, points: kept }] : []
  })
}

/** A panel in both widths, with its legend. */
function figure (panel: Panel, series: readonly Series[], span: { from: number, to: number }): string {
  const plots = [['wide', WIDE_PX], ['narrow', NARROW_PX]] as const
  const parts = plots.map(([name, width]) => `<div class="${name}">${renderPanel(panel, { ...span, width })}</div>`)
  return `<figure>${parts.join('')}${legend(series)}</figure>`
}

function legend (series: readonly Series[]): string {
  if (series.length === 0) return ''
  const shown = series.slice(-MAX_LINES).map(({ name }, i) => `<span class="key l${i}">${escapeHtml(name)}</span>`)
  const hidden = series.length - shown.length
  const rest = hidden > 0 ? ` <span>${hidden} older not drawn</span>` : ''
  return `<figcaption>${shown.join(' ')}${rest}</figcaption>`
}

function filterForm (events: readonly ReportedEvent[]): string {
  const types = [...new Set(events.map((event) => event.type))].sort()
  const options = types.map((type) => `<option>${escapeHtml(type)}</option>`).join('')
  return `<form id="filter"><label>Search <input id="text" type="search" placeholder="daemon, move, reason"></label>
<label>Event <select id="type"><option value="">all</option>${options}</select></label>
<output id="shown">${pluralise(events.length, 'event')}</output></form>`
}

function eventItem (event: ReportedEvent): string {
  const cause = event.cause === undefined ? '' : ` <span class="cause">cause ${escapeText(event.cause)}</span>`
  return `<li data-type="${escapeHtml(event.type)}"><time>${formatExactTime(event.time.wallMs)}</time> ` +
    `<span class="daemon">${escapeText(event.daemon)}</span> <b>${escapeText(event.type)}</b> ` +
    `<span class="what">${escapeText(describeEvent(event))}${cause}</span></li>`
}

function escapeText (text: string): string {
  return escapeHtml(stripControlChars(text))
}
