import type { Member, MemberTable } from '../membership/table.js'
import { hash32 } from '../membership/records.js'

/**
 * Order in which this daemon tells peers of a version before it takes it into force, and in which its next run asks for
 * the floor. It depends on ids alone, so that a run that has forgotten everything asks those that the run before told.
 */
export function witnessOrder (table: MemberTable): Member[] {
  const rank = (member: Member): number => hash32(`${table.self.id}\n${member.record.id}`)
  return table.members().toSorted((a, b) => rank(a) - rank(b) || (a.record.id < b.record.id ? -1 : 1))
}
