import { rendezvousScore } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/hostRecord.js'

/** The daemon that a subset is for. */
export interface SubsetOwner {
  host: string
  dataCentre: string
}

/** Number of targets of a version up to which a daemon uses all of them. */
const MAX_FULL_TARGETS = 16
/** Targets in other data centres that a daemon uses at least, in addition to all those of its own. */
const MIN_REMOTE_TARGETS = 8

/**
 * Selects the targets of a service that one daemon normally uses (subsetting). A daemon that spreads few calls over many
 * targets has no recent load of any, so it uses those of its data centre and some remote ones. Rendezvous hashing makes
 * the remote ones differ between daemons and change little when targets come and go. Each version of a service has its own
 * subset, because a request may be restricted to one version.
 */
export function targetSubset (records: readonly HostRecord[], owner: SubsetOwner): HostRecord[] {
  const versions = new Map<string, HostRecord[]>()
  for (const record of records) {
    const version = record.target?.version ?? ''
    const list = versions.get(version)
    if (list) list.push(record)
    else versions.set(version, [record])
  }
  return [...versions.values()].flatMap((list) => list.length <= MAX_FULL_TARGETS ? list : subsetOf(list, owner))
}

function subsetOf (records: readonly HostRecord[], { host, dataCentre }: SubsetOwner): HostRecord[] {
  const local = records.filter((record) => record.dataCentre === dataCentre)
  const remote = records.filter((record) => record.dataCentre !== dataCentre)
  const ranked = remote.map((record) => ({ record, rank: rendezvousScore(host, record.host) })).sort((a, b) => b.rank - a.rank)
  const remoteCount = Math.max(MIN_REMOTE_TARGETS, MAX_FULL_TARGETS - local.length)
  return [...local, ...ranked.slice(0, remoteCount).map(({ record }) => record)]
}
