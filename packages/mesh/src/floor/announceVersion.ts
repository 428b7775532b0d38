import { ANNOUNCE_PEERS, CHILD_TIMEOUT_MS } from '../constants.js'
import type { MemberTable } from '../membership/memberTable.js'
import type { Messenger } from '../wire/messenger.js'
import { announcementOrder } from './announcementOrder.js'

/**
 * Announces a version to `ANNOUNCE_PEERS` peers and waits for their answers, so that the version floor survives if this
 * daemon dies right after it applied the version. Ordinary members come before relays, since all relays may die at once.
 * Each peer that doesn't answer is replaced by the next one until every alive peer was tried once. Returns the number of
 * peers that answered.
 */
export async function announceVersion (
  deps: { messenger: Messenger, table: MemberTable }, version: number
): Promise<number> {
  const { messenger, table } = deps
  const alive = announcementOrder(table).filter((member) => table.status(member) === 'alive')
  const candidates = alive.toSorted((a, b) => Math.sign(a.record.relay) - Math.sign(b.record.relay))
  let acknowledged = 0
  while (acknowledged < ANNOUNCE_PEERS && candidates.length > 0) {
    const batch = candidates.splice(0, ANNOUNCE_PEERS - acknowledged)
    const results = await Promise.all(batch.map(async ({ address }) => {
      return await messenger.request(address, { case: 'ping', value: {} }, CHILD_TIMEOUT_MS, version)
    }))
    acknowledged += results.filter((header) => header !== undefined).length
  }
  return acknowledged
}
