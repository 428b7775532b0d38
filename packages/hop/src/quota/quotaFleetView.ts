import type { HostRecord } from '../fleet/hostRecord.js'

/** The daemons as one of them sees them, for choosing lenders. */
export interface QuotaFleetView {
  /** Live daemons that aren't stopping. */
  candidates: readonly string[]
  /** Daemons that this one can reach, itself included. */
  reachable: readonly string[]
  /** Daemons that are believed to run and can't be reached. */
  unreachable: readonly string[]
}

/**
 * Chooses among all reachable daemons if each of them is stopping. A daemon that said that it stops and can't be reached any more has
 * ended; others that can't be reached may still run.
 */
export function quotaFleetView (records: readonly HostRecord[], isUp: (host: string) => boolean): QuotaFleetView {
  const reachable = records.filter(({ host }) => isUp(host))
  const staying = reachable.filter(({ stopping }) => !stopping)
  const unreachable = records.filter(({ host, stopping }) => !stopping && !isUp(host))
  return { candidates: hostsOf(staying.length > 0 ? staying : reachable), reachable: hostsOf(reachable), unreachable: hostsOf(unreachable) }
}

function hostsOf (records: readonly HostRecord[]): string[] {
  return records.map(({ host }) => host)
}
