import { checkReferences } from './checkReferences.js'
import { ConfigInvalid, DeltaBaseMismatch, HashMismatch } from './errors.js'
import { fromObjects, rootHash, verifyObject, type ConfigObject } from './objects.js'
import type { Config } from './schema.js'

/** A complete, immutable version of the configuration. A daemon applies a new version by replacing its reference to this. */
export interface Snapshot {
  readonly version: number
  readonly rootHash: string
  /** Id of the change that created this version. */
  readonly changeId: string
  /** Time of acceptance in Unix milliseconds. */
  readonly acceptedAt: number
  readonly objects: ReadonlyMap<string, ConfigObject>
  readonly config: Config
}

/** Difference between two versions, sent to a daemon that has version `from`. */
export interface Delta {
  from: number
  to: number
  changeId: string
  acceptedAt: number
  changed: ConfigObject[]
  /** Keys of removed objects. */
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

/** Builds a version from its objects; throws if the root hash is wrong or a reference is missing. */
export function buildSnapshot (info: SnapshotInfo, objects: ReadonlyMap<string, ConfigObject>): Snapshot {
  const actual = rootHash(objects.values())
  if (actual !== info.rootHash) {
    throw new HashMismatch(`version ${info.version} has root hash ${actual} instead of ${info.rootHash}`)
  }
  const config = fromObjects(objects.values())
  const issues = checkReferences(config)
  if (issues.length > 0) throw new ConfigInvalid(`version ${info.version}`, issues)
  return { ...info, objects, config }
}

/** Computes the delta that turns one version into another. */
export function diffSnapshots (from: Snapshot, to: Snapshot): Delta {
  const changed = [...to.objects.values()].filter((object) => from.objects.get(object.key)?.hash !== object.hash)
  const removed = [...from.objects.keys()].filter((key) => !to.objects.has(key))
  const { version, changeId, acceptedAt, rootHash } = to
  return { from: from.version, to: version, changeId, acceptedAt, changed, removed, rootHash }
}

/**
 * Applies a received delta to the current snapshot. Hashes and references of the result are checked, so that a damaged
 * delta throws and is never applied in part.
 */
export function applyDelta (current: Snapshot, delta: Delta): Snapshot {
  if (delta.from !== current.version) {
    throw new DeltaBaseMismatch(`delta starts from version ${delta.from}, but the current version is ${current.version}`)
  }
  const objects = new Map(current.objects)
  for (const key of delta.removed) objects.delete(key)
  for (const object of delta.changed) objects.set(object.key, verifyObject(object.key, object.text, object.hash))
  const { to: version, changeId, acceptedAt, rootHash } = delta
  return buildSnapshot({ version, changeId, acceptedAt, rootHash }, objects)
}

/** A whole configuration as a delta from the empty version 0. */
export function fullDelta (snapshot: Snapshot): Delta {
  return diffSnapshots(EMPTY_SNAPSHOT, snapshot)
}
