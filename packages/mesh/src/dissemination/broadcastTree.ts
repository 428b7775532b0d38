import { shuffled, type Random } from '@lentilwheel/core'
import { FAN_OUT } from '../constants.js'
import type { Member, MemberTable } from '../membership/memberTable.js'
import type { MeshAddress } from '../wire/address.js'

/** Members of one subtree of a push, tried in order: the first that answers passes the push on to the rest. */
export type Subtree = MeshAddress[]

/**
 * Splits the members delegated to a daemon into subtrees of about equal size: `FAN_OUT` of them, or more if a message
 * holds only `maxPerSubtree` addresses.
 */
export function splitIntoSubtrees (members: readonly MeshAddress[], maxPerSubtree = Infinity): Subtree[] {
  const count = Math.min(members.length, Math.max(FAN_OUT, Math.ceil(members.length / maxPerSubtree)))
  const subtrees: Subtree[] = []
  for (let i = 0; i < count; i++) {
    const from = Math.floor(i * members.length / count)
    const to = Math.floor((i + 1) * members.length / count)
    subtrees.push(members.slice(from, to))
  }
  return subtrees
}

/**
 * Order in which a push lists its receivers: grouped by region and data centre, so that few messages cross between them;
 * at random within a group, so that the inner nodes of the tree vary; suspect and unreachable members last, as leaves.
 */
export function pushOrder (table: MemberTable, members: readonly Member[], random: Random): MeshAddress[] {
  const groups = new Map<string, MeshAddress[]>()
  for (const member of shuffled(members, random)) {
    const { region, dataCentre } = member.record
    const key = table.status(member) === 'alive' ? `0 ${region} ${dataCentre}` : '1'
    const group = groups.get(key)
    if (group) group.push(member.address)
    else groups.set(key, [member.address])
  }
  return [...groups].sort(([a], [b]) => (a < b ? -1 : 1)).flatMap(([, group]) => group)
}
