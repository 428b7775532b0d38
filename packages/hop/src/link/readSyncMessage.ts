import { BadMessage } from '../errors.js'
import { readBriefReport, readHostRecord, readMoveFact, readMoveOrder } from '../fleet/records.js'
import { readQuarantineNews } from '../quarantine/quarantineNews.js'
import { validateFields } from './codec.js'
import { REQUIRED_SYNC_FIELDS, type SyncMessage } from './messages.js'

export interface SyncReader {
  /** Unix milliseconds. */
  wallNow: number
  /** Called for a record that is left out because it is invalid. */
  onBadRecord (field: keyof SyncMessage, from: string): void
}

/**
 * Reads a sync message of a peer. Records in it are kept and decide about links, targets and versions long afterwards, so each
 * one is checked; an invalid one is left out. A message that isn't of the expected form is rejected as a whole.
 */
export function readSyncMessage (value: unknown, { wallNow, onBadRecord }: SyncReader): SyncMessage {
  const message = validateFields<SyncMessage>(value, REQUIRED_SYNC_FIELDS)
  const { from, configVersion, storeEpoch, digest, quarantine, quarantineDigest } = message
  if (typeof from !== 'string' || !isCount(configVersion) || !isCount(storeEpoch)) throw new BadMessage('sync message has an invalid sender, version or epoch')
  const readAll = <T>(field: 'records' | 'facts' | 'orders' | 'reports', read: (entry: unknown) => T | undefined): T[] => {
    const entries: unknown = message[field]
    if (!Array.isArray(entries)) throw new BadMessage(`field ${field} of a sync message is not a list`)
    return entries.flatMap((entry) => {
      const record = read(entry)
      if (record === undefined) onBadRecord(field, from)
      return record === undefined ? [] : [record]
    })
  }
  return {
    from,
    configVersion,
    storeEpoch,
    records: readAll('records', (entry) => readHostRecord(entry, wallNow)),
    facts: readAll('facts', (entry) => readMoveFact(entry, wallNow)),
    orders: readAll('orders', readMoveOrder),
    reports: readAll('reports', readBriefReport),
    ...typeof digest === 'string' ? { digest } : {},
    ...quarantine ? { quarantine: readQuarantineNews(quarantine, () => onBadRecord('quarantine', from)) } : {},
    ...typeof quarantineDigest === 'string' ? { quarantineDigest } : {}
  }
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
