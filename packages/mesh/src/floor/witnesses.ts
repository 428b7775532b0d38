import type { Member, MemberTable } from '../membership/table.js'
import { hash32 } from '../membership/records.js'

/**
 * Order in which this daemon tells peers of a version before it takes it into force, and in which its next run asks for
 * the floor. It depends on ids alone, so that a run that has forgotten everything asks those that the run before told.
 */
export function witnessOrder (table: MemberTable): Member[] {
  return table.members()
    .map((member) => ({ member, rank: hash32(`${table.self.id}\n${member.record.id}`) }))
    .sort((a, b) => a.rank - b.rank || (a.member.record.id < b.member.record.id ? -1 : 1))
    .map(({ member }) => member)
}
