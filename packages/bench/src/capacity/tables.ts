import { fitLine, predict, sizeAtLimit, type Point } from './fit.js'

/** Number of daemons that the design is made for. */
export const DESIGN_FLEET_SIZE = 3_000

/** A figure of a bench result, and its limit at the design size. */
export interface Quantity {
  title: string
  unit: string
  read: (result: Record<string, unknown>) => number | undefined
  limit?: number
}

/** The number at a path in a bench result; undefined if there is none. */
function numberAt (result: Record<string, unknown>, ...path: string[]): number | undefined {
  let value: unknown = result
  for (const key of path) value = (value as Record<string, unknown> | undefined)?.[key]
  return typeof value === 'number' ? value : undefined
}

/** Largest value of a field over the rows of a recovery result. */
function maxOverRows (result: Record<string, unknown>, field: string): number | undefined {
  const rows = result['rows'] as Record<string, number>[] | undefined
  return rows && Math.max(...rows.map((row) => row[field] ?? 0))
}

export const CONVERGENCE_QUANTITIES: readonly Quantity[] = [
  { title: 'change in force, p99', unit: 'ms', read: (r) => numberAt(r, 'p99Ms'), limit: 17_000 },
  { title: 'change in force, max', unit: 'ms', read: (r) => numberAt(r, 'maxMs'), limit: 17_000 },
  { title: 'idle control bytes per daemon, p50', unit: 'B/s', read: (r) => numberAt(r, 'controlBytesPerDaemonPerSec', 'p50'), limit: 24_000 },
  { title: 'idle control bytes per daemon, max', unit: 'B/s', read: (r) => numberAt(r, 'controlBytesPerDaemonPerSec', 'max'), limit: 24_000 },
  { title: 'bytes per change per daemon', unit: 'B', read: (r) => numberAt(r, 'bytesPerChangePerDaemon') },
  { title: 'idle processor time per daemon, p50', unit: '% of a core', read: (r) => numberAt(r, 'cpuPercentPerDaemon', 'p50'), limit: 2.4 },
  { title: 'idle processor time per daemon, max', unit: '% of a core', read: (r) => numberAt(r, 'cpuPercentPerDaemon', 'max'), limit: 2.4 },
  { title: 'memory per daemon, p50', unit: 'MB', read: (r) => numberAt(r, 'rssMb', 'p50'), limit: 256 },
  { title: 'memory per daemon, max', unit: 'MB', read: (r) => numberAt(r, 'rssMb', 'max'), limit: 256 },
  { title: 'platform reads, idle', unit: '1/s', read: (r) => numberAt(r, 'platformReadsPerSec'), limit: 2_000 },
  { title: 'platform writes, idle', unit: '1/s', read: (r) => numberAt(r, 'platformWritesPerSec'), limit: 300 },
  { title: 'leaving target known everywhere, max', unit: 'ms', read: (r) => numberAt(r, 'targetLeaveKnownMs', 'max'), limit: 3_000 }
]

export const RECOVERY_QUANTITIES: readonly Quantity[] = [
  { title: 'in force again, slowest fault', unit: 'ms', read: (r) => maxOverRows(r, 'inForceAgainMs'), limit: 17_000 },
  { title: 'platform reads, peak', unit: '1/s', read: (r) => maxOverRows(r, 'peakPlatformReadsPerSec'), limit: 2_000 },
  { title: 'platform writes, peak', unit: '1/s', read: (r) => maxOverRows(r, 'peakPlatformWritesPerSec'), limit: 300 },
  { title: 'control bytes per daemon, peak second', unit: 'B', read: (r) => maxOverRows(r, 'peakBytesPerDaemonPerSec') }
]

/** A bench result and the size of its fleet. */
export interface BenchRun {
  daemons: number
  result: Record<string, unknown>
}

/** Generates a Markdown table: measured values by fleet size, the fitted line and its prediction at the design size. */
export function capacityTable (quantities: readonly Quantity[], runs: readonly BenchRun[]): string {
  const sizes = runs.map((run) => run.daemons)
  const header = ['quantity', ...sizes.map((n) => `N=${n}`), 'per daemon more', 'fit error', `at N=${DESIGN_FLEET_SIZE}`, 'limit', 'limit reached at N']
  const rows = quantities.map((quantity) => tableRow(quantity, runs))
  return [header, header.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n')
}

function tableRow (quantity: Quantity, runs: readonly BenchRun[]): string[] {
  const points = runs.flatMap((run): Point[] => {
    const y = quantity.read(run.result)
    return y === undefined ? [] : [{ x: run.daemons, y }]
  })
  const title = `${quantity.title} (${quantity.unit})`
  if (points.length < 2) return [title, ...runs.map(() => '–'), '–', '–', '–', '–', '–']
  const fit = fitLine(points)
  const largest = Math.max(...points.map(({ x }) => x))
  const limitSize = quantity.limit === undefined ? Infinity : sizeAtLimit(fit, quantity.limit)
  return [
    title,
    ...runs.map((run) => formatNumber(quantity.read(run.result))),
    formatNumber(fit.slope),
    formatNumber(fit.maxResidual),
    formatNumber(predict(fit, DESIGN_FLEET_SIZE, largest)),
    formatNumber(quantity.limit),
    limitSize === Infinity ? 'never' : formatNumber(Math.floor(limitSize))
  ]
}

function formatNumber (value: number | undefined): string {
  if (value === undefined) return '–'
  if (Math.abs(value) >= 100) return Math.round(value).toLocaleString('en')
  return String(Number(value.toPrecision(3)))
}
