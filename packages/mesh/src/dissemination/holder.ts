import {
  applyDelta, diffSnapshots, EMPTY_SNAPSHOT, fullDelta, type Delta, type Snapshot
} from '@lentilwheel/config'
import { MAX_HELD_DELTAS } from '../constants.js'

/** Why a version was not taken into force. */
export interface Refusal {
  version: number
  changeId: string
  reason: string
}

export type TakeResult = { kind: 'held' } | { kind: 'old' } | { kind: 'otherBase' } | { kind: 'refused', refusal: Refusal }

interface Step {
  from: number
  fromRoot: string
  touched: string[]
}

/** Holds the one snapshot in force and what is needed to bring others up to it. */
export class ConfigHolder {
  #snapshot: Snapshot = EMPTY_SNAPSHOT
  #steps: Step[] = []

  get snapshot (): Snapshot {
    return this.#snapshot
  }

  /** Takes a received delta into force, whole or not at all. */
  take (delta: Delta): TakeResult {
    if (delta.to <= this.#snapshot.version) return { kind: 'old' }
    const base = delta.from === 0 ? EMPTY_SNAPSHOT : this.#snapshot
    if (delta.from !== base.version) return { kind: 'otherBase' }
    try {
      this.hold(applyDelta(base, delta))
      return { kind: 'held' }
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err)
      return { kind: 'refused', refusal: { version: delta.to, changeId: delta.changeId, reason } }
    }
  }

  /** Holds a snapshot built elsewhere; version numbers only rise. */
  hold (snapshot: Snapshot): boolean {
    const held = this.#snapshot
    if (snapshot.version <= held.version) return false
    const { changed, removed } = diffSnapshots(held, snapshot)
    const touched = [...changed.map((object) => object.key), ...removed]
    this.#steps.push({ from: held.version, fromRoot: held.rootHash, touched })
    if (this.#steps.length > MAX_HELD_DELTAS) this.#steps.shift()
    this.#snapshot = snapshot
    return true
  }

  /** Difference for a daemon that holds the given version; everything when that version is unknown here. */
  deltaFrom (version: number, rootHash: string): Delta {
    const to = this.#snapshot
    const first = this.#steps.findIndex((step) => step.from === version && step.fromRoot === rootHash)
    if (version === 0 || first < 0) return fullDelta(to)
    const touched = new Set(this.#steps.slice(first).flatMap((step) => step.touched))
    const changed = [...touched].flatMap((key) => to.objects.get(key) ?? [])
    const removed = [...touched].filter((key) => !to.objects.has(key))
    const { changeId, acceptedAt } = to
    return { from: version, to: to.version, changeId, acceptedAt, changed, removed, rootHash: to.rootHash }
  }

  /** The last step, which members that were up to date need. */
  lastDelta (): Delta {
    const step = this.#steps.at(-1)
    return step ? this.deltaFrom(step.from, step.fromRoot) : fullDelta(this.#snapshot)
  }
}
