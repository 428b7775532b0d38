import type { Series } from './series.js'

/** Most lines of one panel that can be told apart; the newest are drawn. */
export const MAX_LINES = 8

export interface PlotOptions {
  width: number
  from: number
  to: number
  shares: readonly Series[]
  inForce: readonly Series[]
}

interface Panel {
  title: string
  top: number
  max: number
  label: (value: number) => string
  series: readonly Series[]
}

interface Frame {
  left: number
  right: number
  x: (at: number) => number
}

const PANEL_HEIGHT = 150
const PANEL_GAP = 46
const TOP = 26
const LEFT = 44
const RIGHT = 12
/** A time label of eight characters needs about this much room. */
const TICK_ROOM_PX = 92
const MINUTE_MS = 60_000
const TICK_STEPS_MS = [
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 15_000, 30_000,
  MINUTE_MS, 2 * MINUTE_MS, 5 * MINUTE_MS, 10 * MINUTE_MS, 15 * MINUTE_MS, 30 * MINUTE_MS,
  60 * MINUTE_MS, 120 * MINUTE_MS, 360 * MINUTE_MS, 720 * MINUTE_MS, 1_440 * MINUTE_MS
]

/** Two panels over one time axis: shares of moves, and daemons by the version they hold. */
export function renderPlot (opts: PlotOptions): string {
  const span = Math.max(1, opts.to - opts.from)
  const right = opts.width - RIGHT
  const frame: Frame = { left: LEFT, right, x: (at) => LEFT + (at - opts.from) / span * (right - LEFT) }
  const inForce = opts.inForce.slice(-MAX_LINES)
  const panels: Panel[] = [
    { title: 'Share of traffic on the new version', top: TOP, max: 1, label: (value) => `${Math.round(value * 100)}%`, series: opts.shares.slice(-MAX_LINES) },
    { title: 'Daemons by version in force', top: TOP + PANEL_HEIGHT + PANEL_GAP, max: highest(inForce), label: String, series: inForce }
  ]
  const height = TOP + 2 * PANEL_HEIGHT + PANEL_GAP + 24
  const body = panels.map((panel) => renderPanel(panel, frame, opts)).join('')
  return `<svg viewBox="0 0 ${opts.width} ${height}" width="${opts.width}" height="${height}" role="img" ` +
    `aria-label="Shares of moves and versions in force over time">${body}</svg>`
}

/** A round upper bound with a whole middle, so that the axis labels are whole numbers of daemons. */
function highest (series: readonly Series[]): number {
  const max = Math.max(2, ...series.flatMap((own) => own.points.map((point) => point.value)))
  return Math.ceil(max / 2) * 2
}

function renderPanel (panel: Panel, frame: Frame, opts: PlotOptions): string {
  const bottom = panel.top + PANEL_HEIGHT
  const y = (value: number): number => bottom - value / panel.max * PANEL_HEIGHT
  const grid = [0, panel.max / 2, panel.max].map((value) =>
    `<line class="grid" x1="${frame.left}" x2="${frame.right}" y1="${y(value)}" y2="${y(value)}"/>` +
    `<text class="axis" x="${frame.left - 6}" y="${y(value) + 4}" text-anchor="end">${panel.label(value)}</text>`)
  const ticks = timeTicks(opts.from, opts.to, Math.max(2, Math.floor((frame.right - frame.left) / TICK_ROOM_PX)))
  const axis = ticks.map(({ at, label }) =>
    `<line class="grid" x1="${fixed(frame.x(at))}" x2="${fixed(frame.x(at))}" y1="${panel.top}" y2="${bottom}"/>` +
    `<text class="axis" x="${fixed(frame.x(at))}" y="${bottom + 16}" text-anchor="middle">${label}</text>`)
  const empty = panel.series.length > 0
    ? ''
    : `<text class="axis" x="${(frame.left + frame.right) / 2}" y="${panel.top + PANEL_HEIGHT / 2 - 8}" text-anchor="middle">no such events</text>`
  const lines = panel.series.map((series, i) =>
    `<path class="line l${i}" d="${stepPath(series, frame, y, opts.to)}"><title>${escapeHtml(series.name)}</title></path>`)
  const title = `<text class="title" x="${frame.left}" y="${panel.top - 10}">${panel.title}</text>`
  return title + grid.join('') + axis.join('') + empty + lines.join('')
}

/** Values hold until the next point, so the line goes in steps and runs to the right edge. */
function stepPath (series: Series, frame: Frame, y: (value: number) => number, to: number): string {
  const steps = series.points.map(({ at, value }, i) =>
    i === 0 ? `M${fixed(frame.x(at))} ${fixed(y(0))}V${fixed(y(value))}` : `H${fixed(frame.x(at))}V${fixed(y(value))}`)
  return steps.join('') + `H${fixed(frame.x(to))}`
}

function fixed (value: number): string {
  return String(Number(value.toFixed(1)))
}

export function timeTicks (from: number, to: number, most: number): { at: number, label: string }[] {
  const step = TICK_STEPS_MS.find((candidate) => (to - from) / candidate <= most) ?? Math.ceil((to - from) / most)
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
