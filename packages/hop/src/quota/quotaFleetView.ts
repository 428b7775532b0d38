import type { HostRecord } from '../fleet/hostRecord.js'

/** The daemons as one of them sees them, for choosing lenders. */
export interface QuotaFleetView {
  /** Live daemons that aren't stopping; all live ones if each of them is. */
  candidates: readonly string[]
  /** Daemons that this one can reach, itself included. */
  reachable: readonly string[]
  /** Daemons that can't be reached and may nevertheless run. */
  unreachable: readonly string[]
}

/** What is known about the links to other daemons. */
export interface LinkStates {
  isUp (host: string): boolean
  /** Whether the host runs, but no daemon on it. */
  isRefused (host: string): boolean
}

/**
 * A daemon that can't be reached has ended if it said before that it stops, or if its host refuses connections. The latter
 * counts only where at least half of the daemons can be reached: a daemon that is cut off may see refusals that aren't true.
 */
export function quotaFleetView (records: readonly HostRecord[], links: LinkStates): QuotaFleetView {
  const reachable = records.filter(({ host }) => links.isUp(host))
  const staying = reachable.filter(({ stopping }) => !stopping)
  const lost = records.filter(({ host, stopping }) => !stopping && !links.isUp(host))
  const isMajority = reachable.length >= lost.length
  const unreachable = isMajority ? lost.filter(({ host }) => !links.isRefused(host)) : lost
  return { candidates: hostsOf(staying.length > 0 ? staying : reachable), reachable: hostsOf(reachable), unreachable: hostsOf(unreachable) }
}

function hostsOf (records: readonly HostRecord[]): string[] {
  return records.map(({ host }) => host)
}
