import {
  createChange, mergeChange, parseConfigFile, toObjects, touchedKeys, type Change, type Head
} from '@lentilwheel/config'
import type { Timers } from '@lentilwheel/core'
import {
  acceptChange, loadObjects, PlatformBadAnswer, PlatformOutcomeUnknown, readHead, type PlatformClient, type StoredHead
} from '@lentilwheel/platform'
import { differencesOf, type Difference } from './differences.js'
import { keepOperatorControls } from './keepOperatorControls.js'
import { sleep } from '../sleep.js'

/** A change that is compared with the accepted configuration and not yet submitted. */
export interface PreparedChange {
  base: StoredHead
  change: Change
  differences: Difference[]
  /** Version as which an earlier run with the same change id was accepted. */
  alreadyAcceptedAs?: number
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

/** Checks a configuration file and computes the change that it makes to the accepted configuration. */
export async function prepareChange (client: PlatformClient, opts: PrepareOptions): Promise<PreparedChange> {
  const parsed = parseConfigFile(opts.bytes, opts.file)
  const base = await readHead(client)
  const info = { id: opts.changeId, author: opts.author, acceptedAt: opts.now }
  const earlierVersion = findAcceptedVersion(base.head, opts.changeId)
  if (earlierVersion !== undefined) {
    return { base, change: { ...info, put: [], remove: [] }, differences: [], alreadyAcceptedAs: earlierVersion }
  }
  const desired = toObjects(await keepOperatorControls(client, base.head, parsed))
  const change = opts.baseVersion === undefined
    ? createChange(base.head, desired, info)
    : mergeChange(base.head, opts.baseVersion, desired, info)
  const isEmpty = touchedKeys(change).length === 0
  const differences = isEmpty ? [] : differencesOf(change, await loadObjects(client, base.head))
  return { base, change, differences }
}

/** Version as which a change was accepted, according to the changes that the head lists. */
export function findAcceptedVersion (head: Head, changeId: string): number | undefined {
  return head.changes.find((record) => record.id === changeId)?.version
}

/** Number of reads of the head that resolve an unknown outcome, and the delay before each. */
const OUTCOME_READS = 5
const OUTCOME_READ_DELAY_MS = 1_000

/**
 * Submits a change and returns the version as which it was accepted. If the client can't tell whether the write took
 * effect, looks for the change id in the head a few times more. `retryHint` ends the message of an outcome that stays
 * unknown.
 */
export async function submitChange (
  client: PlatformClient, { base, change }: Pick<PreparedChange, 'base' | 'change'>, timers: Timers, retryHint: string
): Promise<number> {
  try {
    return (await acceptChange(client, base, change)).version
  } catch (err) {
    if (!mayHaveTakenEffect(err)) throw err
    const version = await resolveOutcome(client, change.id, timers)
    if (version !== undefined) return version
    throw new PlatformOutcomeUnknown(
      `it is unknown whether change ${change.id} was accepted: ${(err as Error).message}. ${retryHint}`)
  }
}

/** A bad answer counts too, since a gateway may forward a write and still respond with a page of its own. */
function mayHaveTakenEffect (err: unknown): boolean {
  return err instanceof PlatformOutcomeUnknown || err instanceof PlatformBadAnswer
}

/** A head without the change proves nothing, since the write may still be in flight; hence several reads. */
async function resolveOutcome (client: PlatformClient, changeId: string, timers: Timers): Promise<number | undefined> {
  for (let i = 0; i < OUTCOME_READS; i++) {
    await sleep(timers, OUTCOME_READ_DELAY_MS)
    const version = await readHead(client).then(({ head }) => findAcceptedVersion(head, changeId), () => undefined)
    if (version !== undefined) return version
  }
  return undefined
}
