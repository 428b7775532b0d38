import type { CallLog } from '../observe/callLog.js'

/** Who named an epoch. */
export type EpochSource = 'store' | 'peer'

/**
 * Newest epoch of the store that this daemon knows of. The epoch rises each time the store is restored from a copy; what
 * was written after the copy was made is lost, and revisions after it are given out again.
 */
export class EpochTracker {
  readonly #log: CallLog
  readonly #listeners: ((from: EpochSource) => void)[] = []
  #current: number | undefined

  constructor (log: CallLog) {
    this.#log = log
  }

  /** 0 until an epoch is known. */
  get current (): number {
    return this.#current ?? 0
  }

  /** Calls the listener whenever a newer epoch than the known one is observed. */
  onRise (listener: (from: EpochSource) => void): void {
    this.#listeners.push(listener)
  }

  /** Takes in an epoch that the store or a peer has named. The first one is not a rise. */
  observe (epoch: number, from: EpochSource): void {
    const before = this.#current
    if (before !== undefined && epoch <= before) return
    this.#current = epoch
    this.#log.decision('storeEpoch', { epoch, before, from })
    if (before === undefined) return
    for (const listener of this.#listeners) listener(from)
  }
}
