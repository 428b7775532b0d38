import { shuffled, type Random } from '@lentilwheel/core'
import type { Member, MemberTable } from './table.js'

/** Chooses whom to probe: every member once per round, in an order drawn anew for each round. */
export class ProbeOrder {
  readonly #random: Random
  #round: string[] = []

  constructor (random: Random) {
    this.#random = random
  }

  next (table: MemberTable): Member | undefined {
    for (let redraws = 0; redraws < 2; redraws++) {
      for (let id = this.#round.pop(); id !== undefined; id = this.#round.pop()) {
        const member = table.get(id)
        if (member) return member
      }
      this.#round = shuffled(table.members().map((member) => member.record.id), this.#random)
    }
    return undefined
  }
}

/** Members that this daemon could not reach are asked again more often than their turn, one each period. */
export function pickUnreachable (table: MemberTable, random: Random): Member | undefined {
  const unreachable = table.members().filter((member) => member.unreachableSince !== undefined)
  return unreachable.length > 0 ? random.pick(unreachable) : undefined
}

/** Distinct reachable members, drawn at random. */
export function pickReachable (
  table: MemberTable, random: Random, count: number, accept: (member: Member) => boolean = () => true
): Member[] {
  const reachable = table.members().filter((member) => table.status(member) === 'alive' && accept(member))
  return shuffled(reachable, random).slice(0, count)
}
