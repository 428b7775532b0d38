import type { Timers } from '@lentilwheel/core'
import { BadMessage } from '../errors.js'
import { readBriefReport, readEvacuation, readHostRecord, readMoveFact, readMoveOrder, readTrustedVersion } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import { readQuarantineNews } from '../quarantine/quarantineNews.js'
import { validateFields } from './codec.js'
import { REQUIRED_SYNC_FIELDS, type SyncMessage } from './messages.js'

export interface SyncReader {
  timers: Pick<Timers, 'wallNow'>
  /** Gets a line for each record that is left out because it is invalid. */
  log: CallLog
}

/**
 * Reads a sync message of a peer. Records in it are kept and decide about links, targets and versions long afterwards, so each
 * one is checked; an invalid one is left out. A message that isn't of the expected form is rejected as a whole.
 */
export function readSyncMessage (value: unknown, { timers, log }: SyncReader): SyncMessage {
  const message = validateFields<SyncMessage>(value, REQUIRED_SYNC_FIELDS)
  const { from, configVersion, storeEpoch, isStoreLost, trustedVersions, evacuations, digest, quarantine, quarantineDigest } = message
  if (typeof from !== 'string' || !isCount(configVersion) || !isCount(storeEpoch)) throw new BadMessage('sync message has an invalid sender, version or epoch')
  const wallNow = timers.wallNow()
  const onBadRecord = (field: keyof SyncMessage): void => log.decision('badRecord', { from, field })
  const readAll = <T>(field: 'records' | 'facts' | 'orders' | 'reports' | 'trustedVersions' | 'evacuations', read: (entry: unknown) => T | undefined): T[] => {
    const entries: unknown = message[field]
    if (!Array.isArray(entries)) throw new BadMessage(`field ${field} of a sync message is not a list`)
    return entries.flatMap((entry) => {
      const record = read(entry)
      if (record === undefined) onBadRecord(field)
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
    ...trustedVersions ? { trustedVersions: readAll('trustedVersions', readTrustedVersion) } : {},
    ...evacuations ? { evacuations: readAll('evacuations', readEvacuation) } : {},
    ...isStoreLost === true ? { isStoreLost } : {},
    ...typeof digest === 'string' ? { digest } : {},
    ...quarantine ? { quarantine: readQuarantineNews(quarantine, () => onBadRecord('quarantine')) } : {},
    ...typeof quarantineDigest === 'string' ? { quarantineDigest } : {}
  }
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
