import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { HistoryGone } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from './objectStore.js'
import { storeBackoffMs, type StoreBackoff } from './storeBackoff.js'
import { formatRevision, type StoreRevision } from './storeRevision.js'

/** Place of a daemon among those that watch the same kind, counted from 0, and their number. */
export interface WatchTurn {
  position: number
  watchers: number
}

export interface StoreWatcherOptions {
  store: ObjectStore
  kind: string
  timers: Timers
  random: Random
  log: CallLog
  /** Pause after a list or a change before the next watch, so that changes in quick succession are read together. */
  batchDelayMs: number
  /** Place of this daemon among those that watch the kind; undefined if it should not watch at present. */
  turn (): WatchTurn | undefined
  /** Time between the ends of two watches of the kind, by whichever daemons. */
  turnIntervalMs: number
  /** Called with each outcome of a call to the store. */
  onReachable? (isReachable: boolean): void
  /** Called with all objects of the kind after each list, and the revision of the list. */
  onList (objects: readonly StoredObject[], revision: StoreRevision): void
  /** Called with each changed or deleted object that a watch brings. */
  onChange (object: StoredObject, deleted: boolean): void
}

const BACKOFF: StoreBackoff = { minMs: 150, maxMs: 1_500 }
/** The store ends a watch that waits longer than 30 s. */
const MAX_WATCH_MS = 25_000
/** How often a daemon that doesn't watch checks whether it should. */
const DISABLED_CHECK_INTERVAL_MS = 500
const MAX_LOGGED_OBJECTS = 10

/**
 * Keeps up with the objects of one kind in the store: lists them, watches for changes from the revision of the list, and
 * lists again when the store no longer has the history from there or has been restored from a copy. Retries with
 * exponential backoff while it fails. A watch never waits from a revision whose epoch may have ended unnoticed: after a
 * pause, in which the store may have been away and come back, the first one returns at once and so tells the epoch.
 *
 * A connection may go silent without an end, and only the end of a watch proves that it hasn't. So the daemons that watch a kind end their
 * watches one after the other: if the connections of all go silent together, one of them soon notices, and the others hear from it.
 */
export class StoreWatcher {
  readonly #opts: StoreWatcherOptions
  #revision: StoreRevision | undefined
  /** Whether the last response of the store came just now. */
  #isFresh = false
  /** Newest epoch known when the objects were last listed. */
  #listedEpoch = 0
  #failures = 0
  #abort = new AbortController()
  /** Ends the current sleep; undefined while there is none. */
  #wake: (() => void) | undefined
  #isStopped = false
  #isRelistDue = false
  #isWatching = false
  #isPaused = false

  constructor (opts: StoreWatcherOptions) {
    this.#opts = opts
    opts.store.epochs.onRise(() => { if (this.#isWatching) this.relist() })
  }

  /** Whether a watch request is open. */
  get isWatching (): boolean {
    return this.#isWatching
  }

  /** Whether it sleeps because this daemon should not watch. */
  get isPaused (): boolean {
    return this.#isPaused
  }

  /** Lists and watches until `stop` is called. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      try {
        await this.#runCycle()
        this.#onSuccess()
      } catch (err) {
        await this.#onFailure(err)
      }
    }
  }

  /** Lists at once; for callers that know of a change which the watch has not brought. */
  relist (): void {
    if (this.#isRelistDue) return
    this.#isRelistDue = true
    this.#abort.abort()
    this.#wake?.()
  }

  stop (): void {
    this.#isStopped = true
    this.#abort.abort()
    this.#wake?.()
  }

  async #runCycle (): Promise<void> {
    const { store, kind, batchDelayMs } = this.#opts
    if (this.#revision === undefined || this.#isRelistDue) {
      this.#isRelistDue = false
      const epochBefore = store.epochs.current
      const { revision, objects } = await store.list(kind)
      this.#opts.onReachable?.(true)
      this.#logList(revision, objects)
      this.#revision = revision
      this.#listedEpoch = Math.max(epochBefore, revision.epoch)
      this.#opts.onList(objects, revision)
      return await this.#sleep(batchDelayMs)
    }
    const turn = this.#opts.turn()
    if (!turn) return await this.#pause()
    if (this.#listedEpoch < store.epochs.current) throw new HistoryGone(`the store was restored from a copy after revision ${formatRevision(this.#revision)}`)
    this.#abort = new AbortController()
    this.#isWatching = true
    const batch = await store.watch(kind, this.#revision, this.#isFresh ? this.#untilTurn(turn) : 0, this.#abort.signal).finally(() => { this.#isWatching = false })
    this.#opts.onReachable?.(true)
    this.#isFresh = true
    this.#revision = batch.revision
    for (const { object, deleted } of batch.events) this.#opts.onChange(object, deleted)
    if (batch.events.length > 0) await this.#sleep(batchDelayMs)
  }

  /**
   * Time until this daemon's next turn to end its watch. Turns follow the time of day, so that daemons agree on them without a message; where clocks
   * differ, the intervals between turns do too.
   */
  #untilTurn ({ position, watchers }: WatchTurn): number {
    const { timers, turnIntervalMs } = this.#opts
    const cycleMs = Math.min(MAX_WATCH_MS, watchers * turnIntervalMs)
    const turnAt = position * cycleMs / watchers
    const untilMs = (turnAt - timers.wallNow() % cycleMs + cycleMs) % cycleMs
    return untilMs < turnIntervalMs / 2 ? untilMs + cycleMs : untilMs
  }

  async #pause (): Promise<void> {
    this.#isPaused = true
    await this.#sleep(DISABLED_CHECK_INTERVAL_MS)
    this.#isPaused = false
  }

  #logList (revision: StoreRevision, objects: readonly StoredObject[]): void {
    this.#opts.log.decision('storeListed', {
      kind: this.#opts.kind,
      revision: formatRevision(revision),
      before: this.#revision && formatRevision(this.#revision),
      objects: objects.slice(0, MAX_LOGGED_OBJECTS).map((object) => `${object.name}@${formatRevision(object.revision)}`)
    })
  }

  #onSuccess (): void {
    if (this.#failures > 0) this.#opts.log.decision('storeBack', { kind: this.#opts.kind, failures: this.#failures })
    this.#failures = 0
  }

  /** Backs off after a failure; an abort by `stop` or `relist` doesn't count as one. */
  async #onFailure (err: unknown): Promise<void> {
    if (this.#isStopped || this.#isRelistDue) return
    if (err instanceof HistoryGone) {
      this.#opts.log.decision('historyGone', { kind: this.#opts.kind, revision: this.#revision && formatRevision(this.#revision) })
      this.#revision = undefined
      return
    }
    this.#failures++
    this.#opts.onReachable?.(false)
    if (this.#failures === 1) {
      this.#opts.log.decision('storeLost', { kind: this.#opts.kind, code: errorCode(err), reason: (err as Error).message })
    }
    await this.#sleep(storeBackoffMs(this.#failures - 1, BACKOFF, this.#opts.random))
  }

  /** Waits, unless woken earlier. */
  async #sleep (ms: number): Promise<void> {
    this.#isFresh = false
    await new Promise<void>((resolve) => {
      const cancel = this.#opts.timers.after(ms, () => resolve())
      this.#wake = () => {
        cancel()
        resolve()
      }
    })
    this.#wake = undefined
  }
}
