import {
  changeAgainst, changeOnto, parseConfigFile, toObjects, touchedKeys, type Change, type Head
} from '@lentilwheel/config'
import type { Timers } from '@lentilwheel/core'
import {
  acceptChange, loadObjects, PlatformBadAnswer, PlatformOutcomeUnknown, readHead, type PlatformClient, type StoredHead
} from '@lentilwheel/platform'
import { differencesOf, type Difference } from './difference.js'
import { keepHeldControls } from './heldControls.js'
import { sleep } from '../utils.js'

/** A change that has been compared with the version in force but not yet sent. */
export interface PreparedChange {
  base: StoredHead
  change: Change
  differences: Difference[]
  /** Version by which an earlier run had this change id accepted. */
  acceptedBefore?: number
}

export interface PrepareOptions {
  bytes: Uint8Array
  file: string
  author: string
  changeId: string
  now: number
  /** Version that the file was written against, for a three-way merge. */
  baseVersion?: number
}

/** Checks a configuration file and finds what it changes. */
export async function prepareChange (client: PlatformClient, opts: PrepareOptions): Promise<PreparedChange> {
  const parsed = parseConfigFile(opts.bytes, opts.file)
  const base = await readHead(client)
  const info = { id: opts.changeId, author: opts.author, acceptedAt: opts.now }
  const earlier = acceptedVersion(base.head, opts.changeId)
  if (earlier !== undefined) {
    return { base, change: { ...info, put: [], remove: [] }, differences: [], acceptedBefore: earlier }
  }
  const wanted = toObjects(await keepHeldControls(client, base.head, parsed))
  const change = opts.baseVersion === undefined
    ? changeAgainst(base.head, wanted, info)
    : changeOnto(base.head, opts.baseVersion, wanted, info)
  const isEmpty = touchedKeys(change).length === 0
  const differences = isEmpty ? [] : differencesOf(change, await loadObjects(client, base.head))
  return { base, change, differences }
}

export function acceptedVersion (head: Head, changeId: string): number | undefined {
  return head.changes.find((record) => record.id === changeId)?.version
}

/** Reads of the head that settle an unknown outcome, and the time between them. */
const SETTLE_READS = 5
const SETTLE_PAUSE_MS = 1_000

/**
 * Has a change accepted; when the answer is lost for good, reads the head for the change id a few times more.
 * `howToRepeat` ends the message of an outcome that stays unknown.
 */
export async function acceptOrSettle (
  client: PlatformClient, { base, change }: Pick<PreparedChange, 'base' | 'change'>, timers: Timers, howToRepeat: string
): Promise<number> {
  try {
    return (await acceptChange(client, base, change)).version
  } catch (err) {
    if (!mayHaveTakenEffect(err)) throw err
    const version = await settle(client, change.id, timers)
    if (version !== undefined) return version
    throw new PlatformOutcomeUnknown(
      `it is unknown whether change ${change.id} was accepted: ${(err as Error).message}. ${howToRepeat}`)
  }
}

/** A gateway may pass a write on and answer it with a page of its own. */
function mayHaveTakenEffect (err: unknown): boolean {
  return err instanceof PlatformOutcomeUnknown || err instanceof PlatformBadAnswer
}

/** A head that is readable and lacks the change proves nothing: the write may still be on its way. */
async function settle (client: PlatformClient, changeId: string, timers: Timers): Promise<number | undefined> {
  for (let i = 0; i < SETTLE_READS; i++) {
    await sleep(timers, SETTLE_PAUSE_MS)
    const version = await readHead(client).then(({ head }) => acceptedVersion(head, changeId), () => undefined)
    if (version !== undefined) return version
  }
  return undefined
}
