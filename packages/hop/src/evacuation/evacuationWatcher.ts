import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import type { StoreCodec } from '../daemon/storeCodec.js'
import type { Fleet } from '../fleet/fleet.js'
import { readEvacuation } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import { REWRITE_MS } from '../rollout/supersededOrders.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'
import { StoreWatcher } from '../store/storeWatcher.js'
import type { EvacuationRecord } from './evacuationRecord.js'
import type { Evacuations } from './evacuations.js'

export interface EvacuationWatcherOptions {
  /** Whether the deployment has evacuations; without them the store isn't called. */
  isEnabled: boolean
  evacuations: Evacuations
  fleet: Pick<Fleet, 'turnInDataCentres' | 'setStoreLost'>
  store: ObjectStore
  codec: Pick<StoreCodec, 'evacuations' | 'decodeEvacuation'>
  timers: Timers
  random: Random
  log: CallLog
}

/** Daemons of each data centre that watch the orders; one that can't reach the store is replaced, and the others hear from them. */
const WATCHERS_PER_DATA_CENTRE = 1
/** How often a daemon checks whether it should watch; its links are up by the first check. */
const WATCHER_CHECK_INTERVAL_MS = 500
/** Time between two proofs that the watches bring new orders; short against the time in which an order has to be in force. */
const TURN_INTERVAL_MS = 1_000
/** Pause after a change, so that changes in quick succession are read together. */
const BATCH_DELAY_MS = 100
/** Longest time for which a daemon that starts waits for the store's list; meanwhile peers tell what they know. */
const MAX_START_WAIT_MS = 500

/** Reads the orders to evacuate data centres from the store: once at the start of each daemon, and in a few daemons whenever they change. */
export class EvacuationWatcher {
  readonly #opts: EvacuationWatcherOptions
  #watcher: StoreWatcher | undefined
  #isLoaded: boolean
  #isStopped = false
  #waiting: (() => void)[] = []

  constructor (opts: EvacuationWatcherOptions) {
    this.#opts = opts
    this.#isLoaded = !opts.isEnabled
    // Changes that are held count once the hold is over.
    opts.store.epochs.onRise(() => opts.timers.after(REWRITE_MS, () => this.#watcher?.relist()))
  }

  /** Whether the orders before the start of this daemon are known, or the store and peers have had their time to tell them. */
  get isLoaded (): boolean {
    return this.#isLoaded
  }

  start (): void {
    const { isEnabled, fleet, timers, random, log } = this.#opts
    if (!isEnabled) return
    timers.after(MAX_START_WAIT_MS, () => this.#setLoaded())
    retryUntilDone(() => this.#readAtStart(), {
      timers, random, isStopped: () => this.#isLoaded, onFailure: (err) => log.decision('evacuationsNotRead', { code: errorCode(err), reason: (err as Error).message })
    })
    timers.every(WATCHER_CHECK_INTERVAL_MS, () => {
      if (!this.#watcher && !this.#isStopped && fleet.turnInDataCentres(WATCHERS_PER_DATA_CENTRE)) this.#startWatcher()
    })
  }

  stop (): void {
    this.#isStopped = true
    this.#watcher?.stop()
  }

  /** Calls `fn` once the orders are loaded, at once if they are; in the order of the calls. */
  whenLoaded (fn: () => void): void {
    if (this.#isLoaded) fn()
    else this.#waiting.push(fn)
  }

  /** A stale list costs the store less. It may lack new orders and show removed ones, so nothing follows from what is missing in it. */
  async #readAtStart (): Promise<void> {
    const { store, codec, evacuations } = this.#opts
    const { objects } = await store.list(codec.evacuations.kind, { mayBeOld: true })
    evacuations.merge(this.#readOrders(objects), 'store')
    this.#setLoaded()
  }

  #setLoaded (): void {
    this.#isLoaded = true
    for (const fn of this.#waiting.splice(0)) fn()
  }

  #startWatcher (): void {
    const { fleet, evacuations, store, codec, timers, random, log } = this.#opts
    this.#watcher = new StoreWatcher({
      store,
      kind: codec.evacuations.kind,
      timers,
      random,
      log,
      turnIntervalMs: TURN_INTERVAL_MS,
      batchDelayMs: BATCH_DELAY_MS,
      turn: () => fleet.turnInDataCentres(WATCHERS_PER_DATA_CENTRE),
      onReachable: (isReachable) => fleet.setStoreLost(!isReachable),
      onList: (objects, revision) => evacuations.onList(this.#readOrders(objects), new Set(objects.map(({ name }) => name)), revision),
      onChange: (object, deleted) => this.#onChange(object, deleted)
    })
    this.#watcher.run()
  }

  #onChange (object: StoredObject, deleted: boolean): void {
    const { evacuations } = this.#opts
    const records = deleted ? [readEvacuation({ dataCentre: object.name, isOrdered: false, revision: object.revision })] : this.#readOrders([object])
    evacuations.merge(records.filter((record) => record !== undefined), 'store')
  }

  #readOrders (objects: readonly StoredObject[]): EvacuationRecord[] {
    return objects.flatMap((object) => this.#readOrder(object) ?? [])
  }

  /** The order that an object holds; undefined if another writer put something else there. */
  #readOrder (object: StoredObject): EvacuationRecord | undefined {
    const { codec, log } = this.#opts
    const dataCentre = codec.decodeEvacuation(object)
    const record = dataCentre === undefined ? undefined : readEvacuation({ dataCentre, isOrdered: true, revision: object.revision })
    if (!record) log.decision('badRecord', { from: 'store', kind: codec.evacuations.kind, name: object.name })
    return record
  }
}
