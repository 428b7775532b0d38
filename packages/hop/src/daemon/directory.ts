import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { RevisionConflict } from '../errors.js'
import type { Fleet } from '../fleet/fleet.js'
import type { HostRecord } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import type { Endpoint } from './settings.js'

export interface DirectoryOptions {
  fleet: Fleet
  store: ObjectStore
  timers: Timers
  random: Random
  log: CallLog
  seeds: readonly Endpoint[]
}

/** Kind of the objects by which daemons find each other: one each, with its address. */
const KIND = 'lentilwheel-daemons'
const MIN_RETRY_MS = 200
const MAX_RETRY_MS = 2_000
/** Peers tell each other of the rest, so the store is read again only now and then, and by a few. */
const RELIST_MS = 30_000
const RELISTING_DAEMONS = 2
const SEED_RETRY_MS = 1_000
/** A daemon that knows nobody after this time reads the store again, as the first answer may have been too old. */
const ALONE_MS = 1_500

/** How daemons find each other: through their objects in the store, and through seeds while it is away. */
export class Directory {
  readonly #opts: DirectoryOptions
  #held: StoredObject | undefined
  #withdrawn = false

  constructor (opts: DirectoryOptions) {
    this.#opts = opts
  }

  start (): void {
    this.#retrying('register', () => this.#register())
    this.#retrying('list', () => this.#list(true))
    this.#meetSeeds()
    this.#opts.timers.after(ALONE_MS, () => { if (this.#opts.fleet.records().length < 2) this.#retrying('list', () => this.#list()) })
    this.#opts.timers.every(RELIST_MS, () => {
      if (this.#opts.fleet.rank() < RELISTING_DAEMONS) this.#retrying('list', () => this.#list())
    }, { jitter: 0.3 })
  }

  /** The host goes away for good: its object goes with it. */
  withdraw (): void {
    this.#withdrawn = true
    const { store, fleet } = this.#opts
    if (!this.#held) return
    store.remove(KIND, fleet.own.host, this.#held.revision).catch((err) => this.#log('withdraw', err))
  }

  async #register (): Promise<void> {
    const { store, fleet } = this.#opts
    const { host, dataCentre, address, port, incarnation } = fleet.own
    const spec = { host, dataCentre, address, port, incarnation }
    try {
      this.#held = await store.create(KIND, host, spec)
    } catch (err) {
      if (!(err instanceof RevisionConflict)) throw err
      const held = await store.get(KIND, host)
      if (held) this.#held = await store.replace(KIND, host, spec, held.revision)
    }
  }

  async #list (mayBeOld = false): Promise<void> {
    const { fleet, store } = this.#opts
    const listing = await store.list(KIND, { mayBeOld })
    fleet.merge(listing.objects.flatMap(({ spec }) => readRecord(spec) ?? []))
    if (fleet.rank() === 0) await this.#removeOne(listing.objects)
  }

  /** Removes the object of one daemon that is gone; one at a time keeps the rate low. */
  async #removeOne (objects: readonly StoredObject[]): Promise<void> {
    const { fleet, store, timers, log } = this.#opts
    const gone = new Set(fleet.gone(timers.now()))
    const object = objects.find(({ name }) => gone.has(name))
    if (!object) return
    await store.remove(KIND, object.name, object.revision)
    fleet.remove(object.name)
    log.decision('daemonRemoved', { peer: object.name })
  }

  async #meetSeeds (): Promise<void> {
    const { seeds, fleet, timers } = this.#opts
    for (let round = 0; round < MAX_SEED_ROUNDS && fleet.records().length < 2; round++) {
      for (const { address, port } of seeds) {
        if (address !== fleet.own.address && fleet.records().length < 2) await fleet.meet(address, port)
      }
      await new Promise<void>((resolve) => { timers.after(SEED_RETRY_MS, resolve) })
    }
  }

  async #retrying (what: string, step: () => Promise<void>): Promise<void> {
    const { timers, random } = this.#opts
    for (let failures = 0; !this.#withdrawn; failures++) {
      try {
        return await step()
      } catch (err) {
        this.#log(what, err)
        const pause = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** Math.min(failures, 6)) * (0.5 + random.next())
        await new Promise<void>((resolve) => { timers.after(pause, resolve) })
      }
    }
  }

  #log (what: string, err: unknown): void {
    this.#opts.log.decision('directoryFailed', { what, code: errorCode(err), reason: (err as Error).message })
  }
}

const MAX_SEED_ROUNDS = 600

/** Reads a daemon's object; undefined when another writer left something else there. */
function readRecord (spec: unknown): HostRecord[] | undefined {
  if (typeof spec !== 'object' || spec === null) return undefined
  const { host, dataCentre, address, port, incarnation } = spec as Record<string, unknown>
  if (typeof host !== 'string' || typeof dataCentre !== 'string' || typeof address !== 'string') return undefined
  if (typeof port !== 'number' || typeof incarnation !== 'number') return undefined
  return [{ host, dataCentre, address, port, incarnation, sequence: 0, stopping: false }]
}
