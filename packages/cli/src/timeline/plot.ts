import type { Series } from './series.js'

/** Most lines that can be told apart in one panel; if there are more, only the newest are drawn. */
export const MAX_LINES = 8

/** A plot of step lines over time, with a vertical axis from 0 to `max`. */
export interface Panel {
  title: string
  max: number
  label: (value: number) => string
  series: readonly Series[]
}

export interface PanelOptions {
  width: number
  from: number
  to: number
}

/** Edges of the plot area, and the conversion of times and values to coordinates. */
interface PlotArea {
  left: number
  right: number
  x: (at: number) => number
  y: (value: number) => number
}

/** Geometry of a panel, in pixels. */
const TOP = 26
const BOTTOM = 176
const HEIGHT = 200
const LEFT = 44
const RIGHT = 12
/** About the width of a time label of eight characters. */
const MIN_TICK_SPACING_PX = 92
const MINUTE_MS = 60_000
const TICK_STEPS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 15_000, 30_000,
  MINUTE_MS, 2 * MINUTE_MS, 5 * MINUTE_MS, 10 * MINUTE_MS, 15 * MINUTE_MS, 30 * MINUTE_MS,
  60 * MINUTE_MS, 120 * MINUTE_MS, 360 * MINUTE_MS, 720 * MINUTE_MS, 1_440 * MINUTE_MS
]

/** Plots the share of traffic on the new version of each move. */
export function sharePanel (series: readonly Series[]): Panel {
  const label = (value: number): string => `${Math.round(value * 100)}%`
  return { title: 'Share of traffic on the new version', max: 1, label, series: series.slice(-MAX_LINES) }
}

/** Plots the number of daemons of each version. The axis ends at an even number, so that its middle is a whole number. */
export function activeVersionPanel (series: readonly Series[]): Panel {
  const shownSeries = series.slice(-MAX_LINES)
  const highest = shownSeries.flatMap((line) => line.points).reduce((max, point) => Math.max(max, point.value), 2)
  return { title: 'Daemons by version in force', max: Math.ceil(highest / 2) * 2, label: String, series: shownSeries }
}

/** Renders a panel as inline SVG. */
export function renderPanel (panel: Panel, opts: PanelOptions): string {
  const span = Math.max(1, opts.to - opts.from)
  const right = opts.width - RIGHT
  const area: PlotArea = {
    left: LEFT,
    right,
    x: (at) => LEFT + (at - opts.from) / span * (right - LEFT),
    y: (value) => BOTTOM - value / panel.max * (BOTTOM - TOP)
  }
  const title = `<text class="title" x="${LEFT}" y="${TOP - 10}">${panel.title}</text>`
  const lines = panel.series.length > 0 ? panel.series.map((series, i) => renderLine(series, i, area, opts.to)).join('') : emptyNote(area)
  return `<svg viewBox="0 0 ${opts.width} ${HEIGHT}" width="${opts.width}" height="${HEIGHT}" role="img" ` +
    `aria-label="${panel.title}">${title}${renderGrid(panel, area)}${renderTimeAxis(area, opts)}${lines}</svg>`
}

function renderGrid (panel: Panel, { left, right, y }: PlotArea): string {
  return [0, panel.max / 2, panel.max].map((value) =>
    `<line class="grid" x1="${left}" x2="${right}" y1="${y(value)}" y2="${y(value)}"/>` +
    `<text class="axis" x="${left - 6}" y="${y(value) + 4}" text-anchor="end">${panel.label(value)}</text>`).join('')
}

function renderTimeAxis (area: PlotArea, { from, to }: PanelOptions): string {
  const maxTicks = Math.max(2, Math.floor((area.right - area.left) / MIN_TICK_SPACING_PX))
  return timeTicks(from, to, maxTicks).map(({ at, label }) => {
    const x = coord(area.x(at))
    return `<line class="grid" x1="${x}" x2="${x}" y1="${TOP}" y2="${BOTTOM}"/>` +
      `<text class="axis" x="${x}" y="${BOTTOM + 16}" text-anchor="middle">${label}</text>`
  }).join('')
}

function emptyNote ({ left, right }: PlotArea): string {
  return `<text class="axis" x="${(left + right) / 2}" y="${(TOP + BOTTOM) / 2 - 8}" text-anchor="middle">no such events</text>`
}

function renderLine (series: Series, i: number, area: PlotArea, to: number): string {
  return `<path class="line l${i}" d="${stepPath(series, area, to)}"><title>${escapeHtml(series.name)}</title></path>`
}

/** A value holds until the next point, so the line is drawn in steps and continued to the right edge. */
function stepPath (series: Series, { x, y }: PlotArea, to: number): string {
  const steps = onePerPixel(series, x).map(({ at, value }, i) =>
    i === 0 ? `M${coord(x(at))} ${coord(y(0))}V${coord(y(value))}` : `H${coord(x(at))}V${coord(y(value))}`)
  return steps.join('') + `H${coord(x(to))}`
}

/** The last point of each pixel; otherwise 3,000 daemons that apply a version within a second would add 3,000 steps there. */
function onePerPixel (series: Series, x: PlotArea['x']): readonly Series['points'][number][] {
  const last = new Map(series.points.map((point) => [Math.round(x(point.at)), point]))
  return [...last.values()]
}

function coord (value: number): string {
  return String(Number(value.toFixed(1)))
}

/** Ticks of the time axis at round times, about `maxTicks` at most. */
export function timeTicks (from: number, to: number, maxTicks: number): { at: number, label: string }[] {
  const step = TICK_STEPS_MS.find((candidate) => (to - from) / candidate <= maxTicks) ?? Math.ceil((to - from) / maxTicks)
  const first = Math.ceil(from / step) * step
  const count = Math.floor((to - first) / step) + 1
  return Array.from({ length: Math.max(0, count) }, (_, i) => {
    const at = first + i * step
    return { at, label: tickLabel(at, step) }
  })
}

function tickLabel (at: number, step: number): string {
  const iso = new Date(at).toISOString()
  if (step < 1_000) return iso.slice(17, 23)
  if (step < MINUTE_MS) return iso.slice(11, 19)
  return step < 1_440 * MINUTE_MS ? iso.slice(11, 16) : iso.slice(5, 10)
}

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

export function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, (char) => ENTITIES[char]!)
}
