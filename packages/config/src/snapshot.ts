import { checkClosure } from './closure.js'
import { ConfigInvalid, DeltaBaseMismatch, HashMismatch } from './errors.js'
import { fromObjects, rootHash, verifyObject, type ConfigObject } from './objects.js'
import type { Config } from './schema.js'

/** One whole configuration version, immutable once built; a daemon swaps a pointer from one to the next. */
export interface Snapshot {
  readonly version: number
  readonly rootHash: string
  /** Change that made this version. */
  readonly changeId: string
  /** Unix milliseconds at which it was accepted. */
  readonly acceptedAt: number
  readonly objects: ReadonlyMap<string, ConfigObject>
  readonly config: Config
}

/** Difference between two versions, sent to a daemon that holds `from`. */
export interface Delta {
  from: number
  to: number
  changeId: string
  acceptedAt: number
  changed: ConfigObject[]
  removed: string[]
  /** Root hash of the whole configuration at `to`. */
  rootHash: string
}

export type SnapshotInfo = Pick<Snapshot, 'version' | 'rootHash' | 'changeId' | 'acceptedAt'>

export const EMPTY_SNAPSHOT: Snapshot = {
  version: 0,
  rootHash: rootHash([]),
  changeId: '',
  acceptedAt: 0,
  objects: new Map(),
  config: { services: {}, routes: {}, moves: {} }
}

/** Builds a version from its objects, or throws: wrong hashes and open references refuse the whole version. */
export function buildSnapshot (info: SnapshotInfo, objects: ReadonlyMap<string, ConfigObject>): Snapshot {
  const actual = rootHash(objects.values())
  if (actual !== info.rootHash) {
    throw new HashMismatch(`version ${info.version} has root hash ${actual} instead of ${info.rootHash}`)
  }
  const config = fromObjects(objects.values())
  const issues = checkClosure(config)
  if (issues.length > 0) throw new ConfigInvalid(`version ${info.version}`, issues)
  return { ...info, objects, config }
}

export function diffSnapshots (from: Snapshot, to: Snapshot): Delta {
  const changed = [...to.objects.values()].filter((object) => from.objects.get(object.key)?.hash !== object.hash)
  const removed = [...from.objects.keys()].filter((key) => !to.objects.has(key))
  const { version, changeId, acceptedAt, rootHash } = to
  return { from: from.version, to: version, changeId, acceptedAt, changed, removed, rootHash }
}

/** Applies a received delta to the snapshot held; the result is whole or the call throws. */
export function applyDelta (held: Snapshot, delta: Delta): Snapshot {
  if (delta.from !== held.version) {
    throw new DeltaBaseMismatch(`delta starts from version ${delta.from}, held is ${held.version}`)
  }
  const objects = new Map(held.objects)
  for (const key of delta.removed) objects.delete(key)
  for (const object of delta.changed) objects.set(object.key, verifyObject(object.key, object.text, object.hash))
  const { to: version, changeId, acceptedAt, rootHash } = delta
  return buildSnapshot({ version, changeId, acceptedAt, rootHash }, objects)
}

/** A whole configuration as a delta from nothing. */
export function fullDelta (snapshot: Snapshot): Delta {
  return diffSnapshots(EMPTY_SNAPSHOT, snapshot)
}
