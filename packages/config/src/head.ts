import { z } from 'zod'
import { ChangeConflict } from './errors.js'
import { rootHash, type ConfigObject } from './objects.js'
import { MAX_HEAD_CHANGES, MAX_REPLACED_HASHES } from './constants.js'

/** History entry of an accepted change. The head keeps the newest ones, so that changes can be undone or merged. */
export const changeRecordSchema = z.object({
  id: z.string(),
  version: z.int(),
  /** Unix milliseconds. */
  acceptedAt: z.number(),
  author: z.string(),
  /**
   * Hash that each touched object had before the change, by key; empty if the object is new. Records lose these hashes,
   * oldest first, to limit the size of the head, so a record without hashes is a change that can't be undone.
   */
  replaced: z.record(z.string(), z.string())
})

/**
 * The only mutable value of the stored configuration. It names the newest accepted version, the hashes of the version's
 * objects by key and the bundles that hold the objects.
 */
export const headSchema = z.object({
  version: z.int().min(0),
  rootHash: z.string(),
  objects: z.record(z.string(), z.string()),
  bundles: z.array(z.string()),
  changes: z.array(changeRecordSchema)
})

export type ChangeRecord = z.output<typeof changeRecordSchema>
export type Head = z.output<typeof headSchema>

export const EMPTY_HEAD: Head = { version: 0, rootHash: rootHash([]), objects: {}, bundles: [], changes: [] }

/** Objects that a change adds, replaces or removes, relative to the version that it was made on. */
export interface Change {
  id: string
  author: string
  acceptedAt: number
  put: ConfigObject[]
  remove: string[]
}

/** Creates the change that turns the objects of the head into the wanted ones. */
export function createChange (
  head: Head,
  wanted: ReadonlyMap<string, ConfigObject>,
  info: Pick<Change, 'id' | 'author' | 'acceptedAt'>
): Change {
  const put = [...wanted.values()].filter((object) => head.objects[object.key] !== object.hash)
  const remove = Object.keys(head.objects).filter((key) => !wanted.has(key))
  return { ...info, put, remove }
}

/** Keys of all objects that the change adds, replaces or removes. */
export function touchedKeys (change: Change): string[] {
  return [...change.put.map((object) => object.key), ...change.remove]
}

/**
 * Checks that a change made on `base` can be applied to `head`. Throws ChangeConflict if one of its objects has changed
 * between the two, and names the latest change that touched them or whose touched objects are no longer known.
 */
export function checkRebase (base: Head, head: Head, change: Change): void {
  const touched = new Set(touchedKeys(change))
  const conflictingKeys = [...touched].filter((key) => base.objects[key] !== head.objects[key])
  if (conflictingKeys.length === 0) return
  const conflicting = head.changes.findLast((record) =>
    isUndoLost(record) || conflictingKeys.some((key) => Object.hasOwn(record.replaced, key)))
  throw new ChangeConflict(conflicting ?? { id: 'unknown', author: 'unknown', version: head.version }, conflictingKeys)
}

/** Returns the head after a change, with the version incremented; `bundles` are those that hold the new objects. */
export function applyChange (head: Head, change: Change, bundles: readonly string[]): Head {
  const objects = { ...head.objects }
  const replaced: Record<string, string> = {}
  for (const object of change.put) {
    replaced[object.key] = objects[object.key] ?? ''
    objects[object.key] = object.hash
  }
  for (const key of change.remove) {
    replaced[key] = objects[key] ?? ''
    delete objects[key]
  }
  const version = head.version + 1
  const record = { id: change.id, version, acceptedAt: change.acceptedAt, author: change.author, replaced }
  return {
    version,
    rootHash: rootHash(Object.entries(objects).map(([key, hash]) => ({ key, hash }))),
    objects,
    bundles: [...new Set([...head.bundles, ...bundles])],
    changes: limitReplacedHashes([...head.changes, record].slice(-MAX_HEAD_CHANGES))
  }
}

/** Keeps every record, but the replaced hashes only of the newest records, up to MAX_REPLACED_HASHES in total. */
function limitReplacedHashes (records: readonly ChangeRecord[]): ChangeRecord[] {
  let hashCount = 0
  return records.toReversed().map((record) => {
    hashCount += Object.keys(record.replaced).length
    return hashCount <= MAX_REPLACED_HASHES ? record : { ...record, replaced: {} }
  }).reverse()
}

/** Whether the record has lost its replaced hashes, so that its change can't be undone. */
export function isUndoLost (record: ChangeRecord): boolean {
  return Object.keys(record.replaced).length === 0
}
