import { shuffled, type Random } from '@lentilwheel/core'
import type { Member, MemberTable } from './memberTable.js'

/** Chooses the member to probe next: every member once per round, in random order that is drawn anew for each round. */
export class ProbeOrder {
  readonly #random: Random
  #pending: string[] = []

  constructor (random: Random) {
    this.#random = random
  }

  next (table: MemberTable): Member | undefined {
    for (let redraws = 0; redraws < 2; redraws++) {
      for (let id = this.#pending.pop(); id !== undefined; id = this.#pending.pop()) {
        const member = table.get(id)
        if (member) return member
      }
      this.#pending = shuffled(table.members().map((member) => member.record.id), this.#random)
    }
    return undefined
  }
}

/** Picks one member that this daemon could not reach, to ping it more often than its turn in the round comes. */
export function pickUnreachable (table: MemberTable, random: Random): Member | undefined {
  const unreachable = table.members().filter((member) => member.unreachableSince !== undefined)
  return unreachable.length > 0 ? random.pick(unreachable) : undefined
}

/** Picks up to `count` distinct members at random among the alive ones that `accept` admits. */
export function pickReachable (
  table: MemberTable, random: Random, count: number, accept: (member: Member) => boolean = () => true
): Member[] {
  const reachable = table.members().filter((member) => table.status(member) === 'alive' && accept(member))
  return shuffled(reachable, random).slice(0, count)
}
