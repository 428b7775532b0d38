import { checkRebase, isUndoLost, type Change, type Head } from './head.js'
import { BaseVersionNotKept } from './errors.js'
import type { ConfigObject } from './objects.js'

/** Hashes of all objects at an older version, rebuilt by undoing the head's change records. */
export function objectsAt (head: Head, version: number): Record<string, string> {
  const complete = head.changes.findLastIndex(isUndoLost) + 1
  const oldest = (head.changes[complete]?.version ?? head.version + 1) - 1
  if (version > head.version || version < oldest) {
    throw new BaseVersionNotKept(`version ${version} cannot be a base: the head can go back from version ` +
      `${head.version} to version ${oldest}; give one of these, or apply without a base`)
  }
  const objects = { ...head.objects }
  for (const record of head.changes.toReversed()) {
    if (record.version <= version) break
    for (const [key, hash] of Object.entries(record.replaced)) {
      if (hash === '') delete objects[key]
      else objects[key] = hash
    }
  }
  return objects
}

/**
 * Three-way merge: the difference between an older version and the wanted objects, put onto the head.
 * Throws ChangeConflict when a change since then touched the same objects with another result.
 */
export function changeOnto (
  head: Head,
  baseVersion: number,
  wanted: ReadonlyMap<string, ConfigObject>,
  info: Pick<Change, 'id' | 'author' | 'acceptedAt'>
): Change {
  const base: Head = { ...head, objects: objectsAt(head, baseVersion) }
  const isWanted = (key: string): boolean => head.objects[key] === wanted.get(key)?.hash
  const put = [...wanted.values()].filter(({ key, hash }) => base.objects[key] !== hash && !isWanted(key))
  const remove = Object.keys(base.objects).filter((key) => !wanted.has(key) && !isWanted(key))
  const change = { ...info, put, remove }
  checkRebase(base, head, change)
  return change
}
