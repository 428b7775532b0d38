import { z } from 'zod'
import { ChangeConflict } from './errors.js'
import { rootHash, type ConfigObject } from './objects.js'
import { MAX_HEAD_CHANGES, MAX_HEAD_REPLACED } from './constants.js'

/** An accepted change as the head remembers it. */
export const changeRecordSchema = z.object({
  id: z.string(),
  version: z.int(),
  acceptedAt: z.number(),
  author: z.string(),
  /**
   * Hash that each touched object had before; empty text when it is new. Records lose theirs, oldest first, when the
   * head would grow too large, so a record without any stands for a change that cannot be undone.
   */
  replaced: z.record(z.string(), z.string())
})

/** The one mutable object of the configuration: names the version in force and where its objects are. */
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

/** What a change does to the objects of the version it was made on. */
export interface Change {
  id: string
  author: string
  acceptedAt: number
  put: ConfigObject[]
  remove: string[]
}

/** Keys whose hash differs between the version in the head and the wanted objects. */
export function changeAgainst (
  head: Head,
  wanted: ReadonlyMap<string, ConfigObject>,
  info: Pick<Change, 'id' | 'author' | 'acceptedAt'>
): Change {
  const put = [...wanted.values()].filter((object) => head.objects[object.key] !== object.hash)
  const remove = Object.keys(head.objects).filter((key) => !wanted.has(key))
  return { ...info, put, remove }
}

export function touchedKeys (change: Change): string[] {
  return [...change.put.map((object) => object.key), ...change.remove]
}

/** Puts a change made on `base` onto `head`; throws ChangeConflict when a later change touched the same objects. */
export function checkRebase (base: Head, head: Head, change: Change): void {
  const touched = new Set(touchedKeys(change))
  const moved = [...touched].filter((key) => base.objects[key] !== head.objects[key])
  if (moved.length === 0) return
  const other = head.changes.findLast((record) =>
    isUndoLost(record) || moved.some((key) => Object.hasOwn(record.replaced, key)))
  throw new ChangeConflict(other ?? { id: 'unknown', author: 'unknown', version: head.version }, moved)
}

/** The head after a change, with a version one higher. */
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
    changes: boundRecords([...head.changes, record].slice(-MAX_HEAD_CHANGES))
  }
}

/** Keeps every change id, and what the newest changes replaced up to a bound. */
function boundRecords (records: readonly ChangeRecord[]): ChangeRecord[] {
  let kept = 0
  return records.toReversed().map((record) => {
    kept += Object.keys(record.replaced).length
    return kept <= MAX_HEAD_REPLACED ? record : { ...record, replaced: {} }
  }).reverse()
}

/** Whether the record no longer says what its change replaced. */
export function isUndoLost (record: ChangeRecord): boolean {
  return Object.keys(record.replaced).length === 0
}
