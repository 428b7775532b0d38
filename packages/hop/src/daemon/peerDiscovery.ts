import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord } from '../fleet/hostRecord.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'
import { DAEMON_KIND, readDaemonObject, stoppedAtOf } from './daemonRegistration.js'
import type { Endpoint } from './resolvedHopConfig.js'

export interface PeerDiscoveryOptions {
  fleet: Fleet
  store: ObjectStore
  timers: Timers
  random: Random
  log: CallLog
  seeds: readonly Endpoint[]
}

/** Daemons learn of others from their peers, so only a few read the store again, at this interval. */
const RELIST_INTERVAL_MS = 30_000
const MAX_RELISTING_DAEMONS = 2
const SEED_RETRY_INTERVAL_MS = 1_000
/** Time for which the object of a daemon that stopped is kept, as the daemon may come back and need what it lists. */
const KEEP_STOPPED_MS = 10 * 60_000
/** A daemon that knows no peer after this time lists again, as the first list may have been stale. */
const ALONE_RELIST_MS = 1_500

/** Finds the other daemons: lists their objects in the store, and contacts seeds, so that peers are found also while the store is unavailable. */
export class PeerDiscovery {
  readonly #opts: PeerDiscoveryOptions
  #isStopped = false

  constructor (opts: PeerDiscoveryOptions) {
    this.#opts = opts
  }

  start (): void {
    this.#retry('list', () => this.#list(true))
    this.#contactSeeds()
    this.#opts.timers.after(ALONE_RELIST_MS, () => { if (this.#opts.fleet.records().length < 2) this.#retry('list', () => this.#list()) })
    this.#opts.timers.every(RELIST_INTERVAL_MS, () => {
      if (this.#opts.fleet.rank() < MAX_RELISTING_DAEMONS) this.#retry('list', () => this.#list())
    }, { jitter: 0.3 })
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Merges the listed daemons into the fleet; the leader also removes one that is gone. */
  async #list (mayBeOld = false): Promise<void> {
    const { fleet, store } = this.#opts
    const { objects } = await store.list(DAEMON_KIND, { mayBeOld })
    const running = objects.filter((object) => stoppedAtOf(object) === undefined)
    fleet.merge(running.map((object) => this.#readObject(object)).filter((record) => record !== undefined))
    if (fleet.rank() === 0) await this.#removeGoneDaemon(objects)
  }

  /** Removes the object of one daemon that is gone; only one per list, to keep the rate of writes low. */
  async #removeGoneDaemon (objects: readonly StoredObject[]): Promise<void> {
    const { fleet, store, timers, log } = this.#opts
    const gone = new Set(fleet.goneHosts())
    const isOld = (stoppedAt: number | undefined): boolean => stoppedAt !== undefined && timers.wallNow() - stoppedAt > KEEP_STOPPED_MS
    const object = objects.find((candidate) => gone.has(candidate.name) || isOld(stoppedAtOf(candidate)))
    if (!object) return
    await store.remove(DAEMON_KIND, object.name, object.revision)
    fleet.remove(object.name)
    log.decision('daemonRemoved', { peer: object.name })
  }

  /** Contacts the seeds at the retry interval until a peer is known, for a limited number of rounds. */
  async #contactSeeds (): Promise<void> {
    const { seeds, fleet, timers } = this.#opts
    for (let round = 0; round < MAX_SEED_ROUNDS && fleet.records().length < 2; round++) {
      for (const { address, port } of seeds) {
        if (address !== fleet.own.address && fleet.records().length < 2) await fleet.contactSeed(address, port)
      }
      await new Promise<void>((resolve) => { timers.after(SEED_RETRY_INTERVAL_MS, resolve) })
    }
  }

  /** Repeats a step until it succeeds; `what` names it in the log. */
  async #retry (what: string, step: () => Promise<void>): Promise<void> {
    const { timers, random } = this.#opts
    await retryUntilDone(step, { timers, random, isStopped: () => this.#isStopped, onFailure: (err) => this.#logFailure(what, err) })
  }

  /** The daemon that an object names; logs an object that another writer has spoilt. */
  #readObject (object: StoredObject): HostRecord | undefined {
    const { timers, log } = this.#opts
    const record = readDaemonObject(object, timers.wallNow())
    if (!record) log.decision('badRecord', { from: 'store', kind: DAEMON_KIND, name: object.name })
    return record
  }

  #logFailure (what: string, err: unknown): void {
    this.#opts.log.decision('directoryFailed', { what, code: errorCode(err), reason: (err as Error).message })
  }
}

/** With the retry interval, seeds are contacted for at least 10 minutes. */
const MAX_SEED_ROUNDS = 600
