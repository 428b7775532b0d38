import type { ReportedEvent } from '../account/schema.js'
import { counted, formatExactTime, formatTime, plainText } from '../output/text.js'
import { describeEvent } from './describe.js'
import { PAGE_SCRIPT, PAGE_STYLE } from './pageAssets.js'
import { escapeHtml, inForcePanel, MAX_LINES, renderPanel, sharePanel, type Panel } from './plot.js'
import { inForceSeries, shareSeries, type Series } from './series.js'

export interface PageOptions {
  /** Events that the page lists. */
  events: readonly ReportedEvent[]
  /** All events known, from which the plot counts; a filter must not make a count wrong. */
  all: readonly ReportedEvent[]
  source: string
  /** What the filter kept, in words; empty without a filter. */
  filter: string
  silent: readonly string[]
  madeAt: number
}

/** Events of the list; more make the page slow to open and to search. */
const MAX_LISTED = 10_000

/** Widths of the two plots; the style sheet shows the one that fits the window. */
const WIDE_PX = 1_160
const NARROW_PX = 360

/** One page that needs no other file and no network. */
export function renderPage (opts: PageOptions): string {
  const listed = opts.events.slice(-MAX_LISTED)
  const times = opts.events.map((event) => event.time.wallMs)
  const from = times[0] ?? opts.madeAt
  const to = times.at(-1) ?? opts.madeAt
  const moves = new Set(opts.events.map((event) => event.fields['move']))
  const shares = withinSpan(shareSeries(opts.all).filter((series) => moves.has(series.name)), from, to)
  const inForce = withinSpan(inForceSeries(opts.all), from, to)
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
${silentNote(opts.silent)}${figure(sharePanel(shares), shares, { from, to })}
${figure(inForcePanel(inForce), inForce, { from, to })}
<h2>Events</h2>
${cutNote(opts.events.length - listed.length)}${filterForm(listed)}
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
  return `${counted(opts.events.length, 'event')}${span}, read from ${opts.source}${filter}. Times are UTC.`
}

function silentNote (silent: readonly string[]): string {
  if (silent.length === 0) return ''
  return `<p class="note">${escapeHtml(`Without the events of ${counted(silent.length, 'daemon')} that did not ` +
    `answer: ${silent.join(', ')}.`)}</p>\n`
}

function cutNote (older: number): string {
  return older === 0
    ? ''
    : `<p class="note">The list has the newest ${MAX_LISTED} events and leaves out ${older} older ` +
    'ones; narrow the span with --since and --until. The plots count all.</p>\n'
}

/** Series with points inside the span; the last value before it becomes the value at its start. */
function withinSpan (series: readonly Series[], from: number, to: number): Series[] {
  return series.flatMap(({ name, points }) => {
    const before = points.findLast((point) => point.at <= from)
    const inside = points.filter((point) => point.at > from && point.at <= to)
    const kept = before ? [{ at: from, value: before.value }, ...inside] : inside
    return kept.some((point) => point.value > 0) ? [{ name, points: kept }] : []
  })
}

/** The panel in both widths, with its legend. */
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
<output id="shown">${counted(events.length, 'event')}</output></form>`
}

function eventItem (event: ReportedEvent): string {
  const cause = event.cause === undefined ? '' : ` <span class="cause">cause ${shown(event.cause)}</span>`
  return `<li data-type="${escapeHtml(event.type)}"><time>${formatExactTime(event.time.wallMs)}</time> ` +
    `<span class="daemon">${shown(event.daemon)}</span> <b>${shown(event.type)}</b> ` +
    `<span class="what">${shown(describeEvent(event))}${cause}</span></li>`
}

function shown (text: string): string {
  return escapeHtml(plainText(text))
}
