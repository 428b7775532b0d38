import type { ReportedEvent } from '../account/schema.js'

/** A value that holds from its time until the next point. */
export interface Point {
  at: number
  value: number
}

export interface Series {
  name: string
  points: Point[]
}

/** Share of traffic on the new version, one series per move. */
export function shareSeries (events: readonly ReportedEvent[]): Series[] {
  const byMove = new Map<string, Point[]>()
  for (const event of events) {
    const move = event.fields['move']
    const value = shareAfter(event)
    if (typeof move !== 'string' || value === undefined) continue
    const points = byMove.get(move) ?? []
    byMove.set(move, points)
    if (points.at(-1)?.value !== value) points.push({ at: event.time.wallMs, value })
  }
  return [...byMove].map(([name, points]) => ({ name, points }))
}

function shareAfter (event: ReportedEvent): number | undefined {
  const { share, outcome } = event.fields
  if (typeof share === 'number') return Math.min(1, Math.max(0, share))
  if (event.type === 'moveStarted' || event.type === 'moveRollback') return 0
  if (event.type !== 'moveEnded') return undefined
  return outcome === 'done' ? 1 : outcome === 'takenBack' || outcome === 'late' ? 0 : undefined
}

/** Number of daemons that have each version active. A daemon has one version at a time and none while it is stopped. */
export function activeVersionSeries (events: readonly ReportedEvent[]): Series[] {
  const versionByDaemon = new Map<string, number>()
  const series = new Map<number, Series>()
  const add = (version: number, at: number, change: number): void => {
    const line = series.get(version) ?? { name: `version ${version}`, points: [] }
    series.set(version, line)
    line.points.push({ at, value: (line.points.at(-1)?.value ?? 0) + change })
  }
  for (const event of events) {
    const version = event.fields['version']
    const before = versionByDaemon.get(event.daemon)
    const at = event.time.wallMs
    const isApplied = event.type === 'versionInForce' && typeof version === 'number'
    const isReset = event.type === 'daemonStarted' || event.type === 'daemonStopping'
    if ((isApplied && before !== version) || isReset) {
      if (before !== undefined) add(before, at, -1)
      versionByDaemon.delete(event.daemon)
    }
    if (isApplied && before !== version) {
      versionByDaemon.set(event.daemon, version)
      add(version, at, 1)
    }
  }
  return [...series].sort(([a], [b]) => a - b).map(([, line]) => line)
}
