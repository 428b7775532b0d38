import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { RevisionConflict } from '../errors.js'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord } from '../fleet/hostRecord.js'
import { readHostRecord } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'
import type { Endpoint } from './resolvedHopConfig.js'

export interface PeerDiscoveryOptions {
  fleet: Fleet
  store: ObjectStore
  timers: Timers
  random: Random
  log: CallLog
  seeds: readonly Endpoint[]
}

/** Kind of the objects by which daemons find each other; each daemon has one, with its address. */
const DAEMON_KIND = 'lentilwheel-daemons'
/** Daemons learn of others from their peers, so only a few read the store again, at this interval. */
const RELIST_INTERVAL_MS = 30_000
const MAX_RELISTING_DAEMONS = 2
const SEED_RETRY_INTERVAL_MS = 1_000
/** After a restore of the store, daemons check their objects within this time for each live daemon, spread at random. */
const CHECK_SPREAD_MS_PER_DAEMON = 5
const MIN_CHECK_SPREAD_MS = 1_000
/** A daemon that knows no peer after this time lists again, as the first list may have been stale. */
const ALONE_RELIST_MS = 1_500

/**
 * Finds the other daemons: registers this one as an object in the store, lists the others' objects, and contacts seeds, so
 * that peers are found also while the store is unavailable.
 */
export class PeerDiscovery {
  readonly #opts: PeerDiscoveryOptions
  /** This daemon's object, as last written. */
  #ownObject: StoredObject | undefined
  #isDeregistered = false

  constructor (opts: PeerDiscoveryOptions) {
    this.#opts = opts
    opts.store.epochs.onRise(() => this.#registerAgain())
  }

  start (): void {
    this.#retry('register', () => this.#register())
    this.#retry('list', () => this.#list(true))
    this.#contactSeeds()
    this.#opts.timers.after(ALONE_RELIST_MS, () => { if (this.#opts.fleet.records().length < 2) this.#retry('list', () => this.#list()) })
    this.#opts.timers.every(RELIST_INTERVAL_MS, () => {
      if (this.#opts.fleet.rank() < MAX_RELISTING_DAEMONS) this.#retry('list', () => this.#list())
    }, { jitter: 0.3 })
  }

  /** Removes this daemon's object from the store, when the host goes away for good. */
  deregister (): void {
    this.#isDeregistered = true
    this.#removeOwn().catch((err) => this.#logFailure('withdraw', err))
  }

  async #removeOwn (): Promise<void> {
    const { store, fleet: { own } } = this.#opts
    let object = this.#ownObject
    if (object && object.revision.epoch < store.epochs.current) object = await store.get(DAEMON_KIND, own.host)
    if (object) await store.remove(DAEMON_KIND, own.host, object.revision)
  }

  /** Creates this daemon's object, or replaces the one left by an earlier start. */
  async #register (): Promise<void> {
    const { store, fleet } = this.#opts
    try {
      this.#ownObject = await store.create(DAEMON_KIND, fleet.own.host, this.#ownSpec())
    } catch (err) {
      if (!(err instanceof RevisionConflict)) throw err
      await this.#replaceEarlier()
    }
  }

  /** Replaces the object under this daemon's name unless it is its own already; tells whether there is one. */
  async #replaceEarlier (): Promise<boolean> {
    const { store, fleet: { own } } = this.#opts
    const existing = await store.get(DAEMON_KIND, own.host)
    if (!existing) return false
    const isOwn = this.#readObject(existing)?.incarnation === own.incarnation
    this.#ownObject = isOwn ? existing : await store.replace(DAEMON_KIND, own.host, this.#ownSpec(), existing.revision)
    return true
  }

  #ownSpec (): object {
    const { host, dataCentre, address, port, incarnation } = this.#opts.fleet.own
    return { host, dataCentre, address, port, incarnation }
  }

  /** Writes this daemon's object again if a restored store has lost it; many daemons do so, so each waits for a random time. */
  #registerAgain (): void {
    const { fleet, timers, random } = this.#opts
    const spreadMs = Math.max(MIN_CHECK_SPREAD_MS, fleet.live().length * CHECK_SPREAD_MS_PER_DAEMON)
    timers.after(random.next() * spreadMs, () => this.#retry('registerAgain', async () => {
      if (!await this.#replaceEarlier()) await this.#register()
    }))
  }

  /** Merges the listed daemons into the fleet; the leader also removes one that is gone. */
  async #list (mayBeOld = false): Promise<void> {
    const { fleet, store } = this.#opts
    const listing = await store.list(DAEMON_KIND, { mayBeOld })
    fleet.merge(listing.objects.map((object) => this.#readObject(object)).filter((record) => record !== undefined))
    if (fleet.rank() === 0) await this.#removeGoneDaemon(listing.objects)
  }

  /** Removes the object of one daemon that is gone; only one per list, to keep the rate of writes low. */
  async #removeGoneDaemon (objects: readonly StoredObject[]): Promise<void> {
    const { fleet, store, timers, log } = this.#opts
    const gone = new Set(fleet.goneHosts(timers.now()))
    const object = objects.find(({ name }) => gone.has(name))
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
    await retryUntilDone(step, { timers, random, isStopped: () => this.#isDeregistered, onFailure: (err) => this.#logFailure(what, err) })
  }

  /** The daemon that an object names; undefined if another writer put something else there, or the name of another host. */
  #readObject ({ name, spec }: StoredObject): HostRecord | undefined {
    const { timers, log } = this.#opts
    const fields = typeof spec === 'object' && spec !== null ? spec : {}
    const record = readHostRecord({ ...fields, target: undefined, leavings: undefined, sequence: 0, stopping: false }, timers.wallNow())
    if (record?.host === name) return record
    log.decision('badRecord', { from: 'store', kind: DAEMON_KIND, name })
    return undefined
  }

  #logFailure (what: string, err: unknown): void {
    this.#opts.log.decision('directoryFailed', { what, code: errorCode(err), reason: (err as Error).message })
  }
}

/** With the retry interval, seeds are contacted for at least 10 minutes. */
const MAX_SEED_ROUNDS = 600
