import { checkRebase, isUndoLost, type Change, type Head } from './head.js'
import { BaseVersionNotKept } from './errors.js'
import type { ConfigObject } from './objects.js'

/**
 * Hashes of all objects at an older version by key, rebuilt by undoing the changes that the head records. Throws
 * BaseVersionNotKept for a version outside of the recorded history.
 */
export function objectHashesAt (head: Head, version: number): Record<string, string> {
  const firstUndoable = head.changes.findLastIndex(isUndoLost) + 1
  const oldestVersion = (head.changes[firstUndoable]?.version ?? head.version + 1) - 1
  if (version > head.version || version < oldestVersion) {
    throw new BaseVersionNotKept(`version ${version} cannot be a base: the head can go back from version ` +
      `${head.version} to version ${oldestVersion}; give one of these, or apply without a base`)
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
 * Three-way merge: creates the change that applies the difference between an older version and the wanted objects to
 * the head. Objects that the head already has in the wanted form are left out. Throws ChangeConflict if a change since
 * then gave one of the objects another content.
 */
export function mergeChange (
  head: Head,
  baseVersion: number,
  wanted: ReadonlyMap<string, ConfigObject>,
  info: Pick<Change, 'id' | 'author' | 'acceptedAt'>
): Change {
  const base: Head = { ...head, objects: objectHashesAt(head, baseVersion) }
  const isUpToDate = (key: string): boolean => head.objects[key] === wanted.get(key)?.hash
  const put = [...wanted.values()].filter(({ key, hash }) => base.objects[key] !== hash && !isUpToDate(key))
  const remove = Object.keys(base.objects).filter((key) => !wanted.has(key) && !isUpToDate(key))
  const change = { ...info, put, remove }
  checkRebase(base, head, change)
  return change
}
