import type { EndpointView } from '@lentilwheel/core'
import type { TargetCount } from '../admin/app.js'

/** Counts targets by service, version and data centre, without those in state `gone`. */
export function countTargets (endpoints: readonly EndpointView[]): TargetCount[] {
  const counts = new Map<string, TargetCount>()
  for (const { service, version, dataCentre, state } of endpoints) {
    if (state === 'gone') continue
    const key = JSON.stringify([service, version, dataCentre])
    const count = counts.get(key) ?? { service, version, dataCentre, ready: 0, total: 0 }
    count.total++
    if (state === 'ready') count.ready++
    counts.set(key, count)
  }
  return [...counts.entries()].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, count]) => count)
}
