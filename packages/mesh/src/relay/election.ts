import { RELAYS_PER_DATA_CENTRE } from '../constants.js'
import { hash32 } from '../membership/records.js'
import type { MemberTable } from '../membership/table.js'
import type { Record as MemberRecord } from '../gen/mesh_pb.js'

/** Members of a data centre that look alive, this daemon included. */
export function liveRecords (table: MemberTable, dataCentre: string): MemberRecord[] {
  const others = table.members().filter((member) => table.status(member) === 'alive').map((member) => member.record)
  return [table.self, ...others].filter((record) => record.dataCentre === dataCentre && !record.gone)
}

/** Relays of a data centre that look alive, the first one first. */
export function liveRelays (table: MemberTable, dataCentre: string): MemberRecord[] {
  return liveRecords(table, dataCentre)
    .filter((record) => record.relay > 0)
    .sort((a, b) => a.relay - b.relay || (a.id < b.id ? -1 : 1))
}

/**
 * Slot that this daemon should have as relay of its data centre, or undefined. Present relays keep their slot, whoever
 * else comes back as a relay; of two in one slot, the one that took its lease keeps it until the store says otherwise,
 * else the first one. Free slots go by rank, so that views that agree choose the same daemons without a message.
 */
export function relaySlot (table: MemberTable, claimsLease: boolean): number | undefined {
  const { self } = table
  const relays = liveRelays(table, self.dataCentre)
  if (self.relay > 0) {
    const hasRival = relays.some((record) => record.relay === self.relay && record.id < self.id)
    return hasRival && !claimsLease ? undefined : self.relay - 1
  }
  const taken = new Set(relays.map((record) => record.relay - 1))
  const free = RELAYS_PER_DATA_CENTRE - taken.size
  if (free <= 0) return undefined
  const candidates = liveRecords(table, self.dataCentre)
    .filter((record) => record.relay === 0)
    .sort((a, b) => rank(a) - rank(b) || (a.id < b.id ? -1 : 1))
  const index = candidates.findIndex((record) => record.id === self.id)
  if (index >= free) return undefined
  const slots = Array.from({ length: RELAYS_PER_DATA_CENTRE }, (_, slot) => slot).filter((slot) => !taken.has(slot))
  return slots[index]
}

/**
 * Relays that this daemon probes in every period. Those who would replace them and their fellow relays do, so that
 * dead relays are noticed within two periods whatever the size of the fleet.
 */
export function watchedRelays (table: MemberTable): MemberRecord[] {
  const { self } = table
  const others = liveRelays(table, self.dataCentre).filter((record) => record.id !== self.id)
  if (others.length === 0 || self.relay > 0) return others
  const own = rank(self)
  const before = liveRecords(table, self.dataCentre).filter((record) => record.relay === 0 && rank(record) < own)
  return before.length < RELAYS_PER_DATA_CENTRE ? others : []
}

function rank (record: MemberRecord): number {
  return hash32(`${record.dataCentre}\n${record.id}`)
}

/** Whom notices and statuses of a data centre go to, in order: its relays, else who will be relay next. */
export function relayAddressees (table: MemberTable, dataCentre: string): MemberRecord[] {
  const relays = liveRelays(table, dataCentre)
  if (relays.length > 0) return relays
  return liveRecords(table, dataCentre).sort((a, b) => rank(a) - rank(b)).slice(0, RELAYS_PER_DATA_CENTRE)
}

/** Coordinator of a move: first by rendezvous hash among the live relays, else among all live members. */
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
