import { RELAYS_PER_DATA_CENTRE } from '../constants.js'
import { hash32 } from '../membership/memberRecord.js'
import type { MemberTable } from '../membership/memberTable.js'
import type { Record as MemberRecord } from '../gen/mesh_pb.js'

/** Records of the members of a data centre that this daemon sees as alive, itself included. */
export function liveRecords (table: MemberTable, dataCentre: string): MemberRecord[] {
  const others = table.members().filter((member) => table.status(member) === 'alive').map((member) => member.record)
  return [table.self, ...others].filter((record) => record.dataCentre === dataCentre && !record.gone)
}

/** Relays of a data centre that this daemon sees as alive, ordered by slot; the first one is the primary relay. */
export function liveRelays (table: MemberTable, dataCentre: string): MemberRecord[] {
  return liveRecords(table, dataCentre)
    .filter((record) => record.relay > 0)
    .sort((a, b) => a.relay - b.relay || (a.id < b.id ? -1 : 1))
}

/**
 * Elects the relays of this daemon's data centre: returns the slot that this daemon should fill, or undefined. Incumbents
 * keep their slots, also when a former relay comes back. Of two relays in one slot, the one that acquired its lease stays
 * until the platform shows the lease lost, else the one with the lower id. Free slots are filled by hash rank, so that
 * daemons with the same view of the membership elect the same relays without exchanging messages.
 */
export function relaySlot (table: MemberTable, isLeaseClaimed: boolean): number | undefined {
  const { self } = table
  const relays = liveRelays(table, self.dataCentre)
  if (self.relay > 0) {
    const hasRival = relays.some((record) => record.relay === self.relay && record.id < self.id)
    return hasRival && !isLeaseClaimed ? undefined : self.relay - 1
  }
  const taken = new Set(relays.map((record) => record.relay - 1))
  const free = RELAYS_PER_DATA_CENTRE - taken.size
  if (free <= 0) return undefined
  const candidates = liveRecords(table, self.dataCentre)
    .filter((record) => record.relay === 0)
    .sort((a, b) => candidateRank(a) - candidateRank(b) || (a.id < b.id ? -1 : 1))
  const index = candidates.findIndex((record) => record.id === self.id)
  if (index >= free) return undefined
  const slots = Array.from({ length: RELAYS_PER_DATA_CENTRE }, (_, slot) => slot).filter((slot) => !taken.has(slot))
  return slots[index]
}

/**
 * Relays of the data centre that this daemon probes in every period. Only the other relays and the members next in rank to
 * replace them do so, so that dead relays are noticed within two periods whatever the size of the fleet.
 */
export function relaysToProbe (table: MemberTable): MemberRecord[] {
  const { self } = table
  const others = liveRelays(table, self.dataCentre).filter((record) => record.id !== self.id)
  if (others.length === 0 || self.relay > 0) return others
  const own = candidateRank(self)
  const before = liveRecords(table, self.dataCentre).filter((record) => record.relay === 0 && candidateRank(record) < own)
  return before.length < RELAYS_PER_DATA_CENTRE ? others : []
}

/** Rank of a member in the election; lower ranks become relay first. */
function candidateRank (record: MemberRecord): number {
  return hash32(`${record.dataCentre}\n${record.id}`)
}

/** Recipients of the notices and statuses of a data centre, in order: its relays, or the next in rank if it has none. */
export function relayRecipients (table: MemberTable, dataCentre: string): MemberRecord[] {
  const relays = liveRelays(table, dataCentre)
  if (relays.length > 0) return relays
  return liveRecords(table, dataCentre).sort((a, b) => candidateRank(a) - candidateRank(b)).slice(0, RELAYS_PER_DATA_CENTRE)
}

/** Id of the coordinator of a move: the winner of rendezvous hashing among the live relays, or all live members if there are none. */
export function coordinatorOf (table: MemberTable, move: string): string {
  const live = [table.self, ...table.members().filter((member) => table.status(member) === 'alive').map((member) => member.record)]
  const relays = live.filter((record) => record.relay > 0)
  let best = ''
  let bestHash = -1
  for (const { id } of relays.length > 0 ? relays : live) {
    const hash = hash32(`${move}\n${id}`)
    if (hash < bestHash || (hash === bestHash && id > best)) continue
    best = id
    bestHash = hash
  }
  return best
}
