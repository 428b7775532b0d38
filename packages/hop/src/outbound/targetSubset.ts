import { rendezvousRank } from '@lentilwheel/core'
import type { HostRecord } from '../fleet/records.js'

export interface SubsetOwner {
  host: string
  dataCentre: string
}

/** Targets up to which a daemon uses all of a version. */
const ALL_TARGETS = 16
/** Targets elsewhere that a daemon uses besides those of its data centre. */
const FAR_TARGETS = 8

/**
 * The targets of a service that one daemon chooses from. A daemon that spreads few calls over many targets knows nothing
 * recent of any; so it keeps to those of its data centre and some others, which differ from daemon to daemon and change
 * little when targets come and go. Each version of a service has a subset of its own, as a request may need one of them.
 */
export function targetSubset (records: readonly HostRecord[], owner: SubsetOwner): HostRecord[] {
  const versions = new Map<string, HostRecord[]>()
  for (const record of records) {
    const version = record.target?.version ?? ''
    const list = versions.get(version)
    if (list) list.push(record)
    else versions.set(version, [record])
  }
  return [...versions.values()].flatMap((list) => list.length <= ALL_TARGETS ? list : subsetOf(list, owner))
}

function subsetOf (records: readonly HostRecord[], { host, dataCentre }: SubsetOwner): HostRecord[] {
  const near = records.filter((record) => record.dataCentre === dataCentre)
  const far = records.filter((record) => record.dataCentre !== dataCentre)
  const ranked = far.map((record) => ({ record, rank: rendezvousRank(host, record.host) })).sort((a, b) => b.rank - a.rank)
  const wanted = Math.max(FAR_TARGETS, ALL_TARGETS - near.length)
  return [...near, ...ranked.slice(0, wanted).map(({ record }) => record)]
}
