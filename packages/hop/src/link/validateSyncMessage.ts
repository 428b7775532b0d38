import { BadMessage } from '../errors.js'
import { isDeparture, TARGET_STATES, type HostRecord, type TargetRecord } from '../fleet/hostRecord.js'
import { MOVE_STATES, type MoveOrder } from '../rollout/moveOrder.js'
import { readQuarantineNews } from '../quarantine/quarantineNews.js'
import { isStoreRevision } from '../store/storeRevision.js'
import { validateFields } from './codec.js'
import { REQUIRED_SYNC_FIELDS, type SyncMessage } from './messages.js'

const MAX_PORT = 65_535

/**
 * Checks a sync message of a peer. The host records and orders in it are kept and decide about links, targets and versions
 * long afterwards, so a single invalid one rejects the whole message.
 */
export function validateSyncMessage (value: unknown): SyncMessage {
  const message = validateFields<SyncMessage>(value, REQUIRED_SYNC_FIELDS)
  const { from, configVersion, storeEpoch, records, facts, orders, reports } = message
  if (typeof from !== 'string' || !isFiniteNumber(configVersion) || !isFiniteNumber(storeEpoch)) throw new BadMessage('sync message has an invalid sender, version or epoch')
  if (![records, facts, orders, reports].every(Array.isArray)) throw new BadMessage('sync message has a field that is not a list')
  for (const record of records) if (!isHostRecord(record)) throw new BadMessage(`sync message from ${from} contains an invalid host record`)
  for (const order of orders) if (!isMoveOrder(order)) throw new BadMessage(`sync message from ${from} contains an invalid order of a move`)
  return message.quarantine ? { ...message, quarantine: readQuarantineNews(message.quarantine) } : message
}

function isHostRecord (value: unknown): value is HostRecord {
  if (typeof value !== 'object' || value === null) return false
  const { host, dataCentre, address, port, incarnation, sequence, target, leavings } = value as Partial<HostRecord>
  if (![host, dataCentre, address].every(isNonEmptyString) || !isFiniteNumber(incarnation) || !isFiniteNumber(sequence)) return false
  if (!Number.isInteger(port) || port! < 1 || port! > MAX_PORT) return false
  return (isMissing(target) || isTargetRecord(target)) && (isMissing(leavings) || (Array.isArray(leavings) && leavings.every(isDeparture)))
}

function isTargetRecord (value: unknown): value is TargetRecord {
  if (typeof value !== 'object') return false
  const { id, startedAt, service, version, slots, state, coldMs } = value as Partial<TargetRecord>
  return [id, service].every(isNonEmptyString) && typeof version === 'string' && Number.isInteger(slots) && slots! > 0 && TARGET_STATES.includes(state!) && isFiniteNumber(coldMs) && isFiniteNumber(startedAt)
}

function isMoveOrder (value: unknown): value is MoveOrder {
  if (typeof value !== 'object' || value === null) return false
  const { id, service, to, durationMs, state, revision } = value as Partial<MoveOrder>
  return [id, service, to].every(isNonEmptyString) && isFiniteNumber(durationMs) && MOVE_STATES.includes(state!) && isStoreRevision(revision)
}

function isNonEmptyString (value: unknown): value is string {
  return typeof value === 'string' && value !== ''
}

function isFiniteNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isMissing (value: unknown): value is null | undefined {
  return value === undefined || value === null
}
