import type { Member, MemberTable } from '../membership/memberTable.js'
import { hash32 } from '../membership/memberRecord.js'

/**
 * Order in which this daemon announces a version to its peers before applying it, and in which its next run asks them for
 * the version floor. It depends on ids alone, so that a restarted daemon without any state asks the peers to which its
 * previous run announced the version.
 */
export function announcementOrder (table: MemberTable): Member[] {
  return table.members()
    .map((member) => ({ member, rank: hash32(`${table.self.id}\n${member.record.id}`) }))
    .sort((a, b) => a.rank - b.rank || (a.member.record.id < b.member.record.id ? -1 : 1))
    .map(({ member }) => member)
}
