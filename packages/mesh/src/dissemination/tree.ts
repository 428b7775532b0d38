import { shuffled, type Random } from '@lentilwheel/core'
import { FAN_OUT } from '../constants.js'
import type { Member, MemberTable } from '../membership/table.js'
import type { MeshAddress } from '../wire/address.js'

/** One child of a push: whom to try, in order; the first that answers takes the rest along. */
export type Part = MeshAddress[]

/**
 * Splits the members delegated to a daemon among its children. There are more children than the usual number when
 * only `maxPerPart` addresses fit into a message.
 */
export function splitParts (members: readonly MeshAddress[], maxPerPart = Infinity): Part[] {
  const count = Math.min(members.length, Math.max(FAN_OUT, Math.ceil(members.length / maxPerPart)))
  const parts: Part[] = []
  for (let i = 0; i < count; i++) {
    const from = Math.floor(i * members.length / count)
    const to = Math.floor((i + 1) * members.length / count)
    parts.push(members.slice(from, to))
  }
  return parts
}

/**
 * Order in which a push lists its receivers: grouped by region and data centre, so that few messages cross between
 * them; drawn at random within, so that inner places of the tree go round; doubtful members last, as leaves.
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
