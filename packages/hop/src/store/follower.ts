import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { HistoryGone } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from './objectStore.js'

export interface FollowerOptions {
  store: ObjectStore
  kind: string
  timers: Timers
  random: Random
  log: CallLog
  /** Longest wait of one watch, in milliseconds. */
  waitMs: number
  /** Pause after a list or a change before the next watch, so that changes in quick succession are read together. */
  gatherMs: number
  /** Whether this daemon follows the kind at present; always if absent. */
  isWanted? (): boolean
  /** Every object of the kind, after a list. */
  onList (objects: readonly StoredObject[]): void
  onChange (object: StoredObject, deleted: boolean): void
}

const MIN_BACKOFF_MS = 150
const MAX_BACKOFF_MS = 1_500
/** Period at which a daemon that doesn't follow a kind looks whether it should. */
const UNWANTED_MS = 500

/** Follows the objects of one kind: lists them, watches from there, and lists again when the history is gone. */
export class Follower {
  readonly #opts: FollowerOptions
  #revision: number | undefined
  #failures = 0
  #abort = new AbortController()
  #wake: (() => void) | undefined
  #stopped = false
  #isBehind = false
  #isWatching = false

  constructor (opts: FollowerOptions) {
    this.#opts = opts
  }

  /** Whether a watch is waiting for news at present. */
  get isWatching (): boolean {
    return this.#isWatching
  }

  async run (): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#step()
        this.#succeeded()
      } catch (err) {
        await this.#failed(err)
      }
    }
  }

  /** There is news that the watch has not brought: reads the kind at once. */
  poke (): void {
    if (this.#isBehind) return
    this.#isBehind = true
    this.#abort.abort()
    this.#wake?.()
  }

  stop (): void {
    this.#stopped = true
    this.#abort.abort()
    this.#wake?.()
  }

  async #step (): Promise<void> {
    const { store, kind, waitMs, gatherMs, isWanted } = this.#opts
    if (this.#revision === undefined || this.#isBehind) {
      this.#isBehind = false
      const listing = await store.list(kind)
      this.#revision = listing.revision
      this.#opts.onList(listing.objects)
      return await this.#sleep(gatherMs)
    }
    if (isWanted && !isWanted()) return await this.#sleep(UNWANTED_MS)
    this.#abort = new AbortController()
    this.#isWatching = true
    const batch = await store.watch(kind, this.#revision, waitMs, this.#abort.signal).finally(() => { this.#isWatching = false })
    this.#revision = Math.max(this.#revision, batch.revision)
    for (const { object, deleted } of batch.events) this.#opts.onChange(object, deleted)
    if (batch.events.length > 0) await this.#sleep(gatherMs)
  }

  #succeeded (): void {
    if (this.#failures > 0) this.#opts.log.decision('storeBack', { kind: this.#opts.kind, failures: this.#failures })
    this.#failures = 0
  }

  async #failed (err: unknown): Promise<void> {
    if (this.#stopped || this.#isBehind) return
    if (err instanceof HistoryGone) {
      this.#opts.log.decision('historyGone', { kind: this.#opts.kind, revision: this.#revision })
      this.#revision = undefined
      return
    }
    this.#failures++
    if (this.#failures === 1) {
      this.#opts.log.decision('storeLost', { kind: this.#opts.kind, code: errorCode(err), reason: (err as Error).message })
    }
    const backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** (this.#failures - 1))
    await this.#sleep(backoff * (0.5 + this.#opts.random.next()))
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const stop = this.#opts.timers.after(ms, () => resolve())
      this.#wake = () => {
        stop()
        resolve()
      }
    })
    this.#wake = undefined
  }
}
