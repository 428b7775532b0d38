import {
  applyDelta, diffSnapshots, EMPTY_SNAPSHOT, fullDelta, type Delta, type Snapshot
} from '@lentilwheel/config'
import { MAX_DELTA_HISTORY } from '../constants.js'

/** A version that this daemon could not apply, and why. */
export interface VersionRefusal {
  version: number
  changeId: string
  reason: string
}

/** What became of a received delta; `held`: it was applied; `otherBase`: it starts from a version that is not held here. */
export type ApplyResult = { kind: 'held' } | { kind: 'old' } | { kind: 'otherBase' } | { kind: 'refused', refusal: VersionRefusal }

/** One replacement of the snapshot: the version it replaced and the keys that changed. */
interface AppliedChange {
  from: number
  fromRootHash: string
  changedKeys: string[]
}

/**
 * Holds the active snapshot of the configuration, and the history of the last `MAX_DELTA_HISTORY` changes from which deltas
 * for other daemons are built.
 */
export class SnapshotStore {
  #snapshot: Snapshot = EMPTY_SNAPSHOT
  #history: AppliedChange[] = []

  get snapshot (): Snapshot {
    return this.#snapshot
  }

  /** Applies a received delta, whole or not at all. */
  apply (delta: Delta): ApplyResult {
    if (delta.to <= this.#snapshot.version) return { kind: 'old' }
    const base = delta.from === 0 ? EMPTY_SNAPSHOT : this.#snapshot
    if (delta.from !== base.version) return { kind: 'otherBase' }
    try {
      this.replace(applyDelta(base, delta))
      return { kind: 'held' }
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err)
      return { kind: 'refused', refusal: { version: delta.to, changeId: delta.changeId, reason } }
    }
  }

  /** Replaces the active snapshot if the given one has a higher version. */
  replace (snapshot: Snapshot): boolean {
    const held = this.#snapshot
    if (snapshot.version <= held.version) return false
    const { changed, removed } = diffSnapshots(held, snapshot)
    const changedKeys = [...changed.map((object) => object.key), ...removed]
    this.#history.push({ from: held.version, fromRootHash: held.rootHash, changedKeys })
    if (this.#history.length > MAX_DELTA_HISTORY) this.#history.shift()
    this.#snapshot = snapshot
    return true
  }

  /** Delta for a daemon that holds the given version; a full one when that version is not in the history. */
  deltaSince (version: number, rootHash: string): Delta {
    const to = this.#snapshot
    const first = this.#history.findIndex((change) => change.from === version && change.fromRootHash === rootHash)
    if (version === 0 || first < 0) return fullDelta(to)
    const changedKeys = new Set(this.#history.slice(first).flatMap((change) => change.changedKeys))
    const changed = [...changedKeys].flatMap((key) => to.objects.get(key) ?? [])
    const removed = [...changedKeys].filter((key) => !to.objects.has(key))
    const { changeId, acceptedAt } = to
    return { from: version, to: to.version, changeId, acceptedAt, changed, removed, rootHash: to.rootHash }
  }

  /** Delta of the last change, for members that held the version before it. */
  lastDelta (): Delta {
    const change = this.#history.at(-1)
    return change ? this.deltaSince(change.from, change.fromRootHash) : fullDelta(this.#snapshot)
  }
}
