import { BadMessage } from '../errors.js'
import { TARGET_STATES, type HostRecord, type Leaving, type TargetRecord } from '../fleet/records.js'
import { checked } from './codec.js'
import { SYNC_FIELDS, type SyncMessage } from './messages.js'

const MAX_PORT = 65_535

/**
 * Reads an exchange between two daemons. What a record says decides on links and on targets long after its message, so
 * one that can't be used is refused with the whole message.
 */
export function checkedSync (value: unknown): SyncMessage {
  const message = checked<SyncMessage>(value, SYNC_FIELDS)
  const { from, configVersion, records, facts, orders, reports } = message
  if (typeof from !== 'string' || !isNumber(configVersion)) throw new BadMessage('a peer sent an exchange without its name or version')
  if (![records, facts, orders, reports].every(Array.isArray)) throw new BadMessage('a peer sent an exchange without lists')
  for (const record of records) if (!isRecord(record)) throw new BadMessage(`${from} sent a record that cannot be used`)
  return message
}

function isRecord (value: unknown): value is HostRecord {
  if (typeof value !== 'object' || value === null) return false
  const { host, dataCentre, address, port, incarnation, sequence, target, leavings } = value as Partial<HostRecord>
  if (![host, dataCentre, address].every(isName) || !isNumber(incarnation) || !isNumber(sequence)) return false
  if (!Number.isInteger(port) || port! < 1 || port! > MAX_PORT) return false
  return (isAbsent(target) || isTarget(target)) && (isAbsent(leavings) || (Array.isArray(leavings) && leavings.every(isLeaving)))
}

function isTarget (value: unknown): value is TargetRecord {
  if (typeof value !== 'object') return false
  const { id, service, version, slots, state, coldMs } = value as Partial<TargetRecord>
  return [id, service].every(isName) && typeof version === 'string' && Number.isInteger(slots) && slots! > 0 && TARGET_STATES.includes(state!) && isNumber(coldMs)
}

function isLeaving (value: unknown): value is Leaving {
  if (typeof value !== 'object' || value === null) return false
  const { id, startedAt, state } = value as Partial<Leaving>
  return isName(id) && isNumber(startedAt) && (state === 'draining' || state === 'gone')
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value !== ''
}

function isNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isAbsent (value: unknown): value is null | undefined {
  return value === undefined || value === null
}
