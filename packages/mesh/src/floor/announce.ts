import { ANNOUNCE_PEERS, CHILD_TIMEOUT_MS } from '../constants.js'
import type { MemberTable } from '../membership/table.js'
import type { Messenger } from '../wire/messenger.js'
import { witnessOrder } from './witnesses.js'

/**
 * Tells two peers of a version and waits for their answers, so that the floor outlives this daemon when it dies right
 * after it took the version into force. Peers that are no relays come first, since all relays may die at once. Peers
 * that don't answer are replaced until all were asked once.
 */
export async function announceVersion (
  parts: { messenger: Messenger, table: MemberTable }, version: number
): Promise<number> {
  const { messenger, table } = parts
  const alive = witnessOrder(table).filter((member) => table.status(member) === 'alive')
  const reachable = alive.toSorted((a, b) => Math.sign(a.record.relay) - Math.sign(b.record.relay))
  let answers = 0
  while (answers < ANNOUNCE_PEERS && reachable.length > 0) {
    const asked = reachable.splice(0, ANNOUNCE_PEERS - answers)
    const results = await Promise.all(asked.map(async ({ address }) => {
      return await messenger.request(address, { case: 'ping', value: {} }, CHILD_TIMEOUT_MS, version)
    }))
    answers += results.filter((header) => header !== undefined).length
  }
  return answers
}
