import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { RevisionConflict } from '../errors.js'
import type { Fleet } from '../fleet/fleet.js'
import { departuresNotIn, type Departure, type HostRecord } from '../fleet/hostRecord.js'
import { readHostRecord } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'

export interface DaemonRegistrationOptions {
  fleet: Pick<Fleet, 'own' | 'live'>
  store: ObjectStore
  timers: Timers
  random: Random
  log: CallLog
  /** Departures from this host that the object has to list. */
  departures (): readonly Departure[]
  /** Called with the departures that the object of an earlier start lists. */
  onEarlierDepartures (departures: readonly Departure[]): void
  /** Called when the earlier departures have been read, or the store has had its time to answer. */
  onLoaded (): void
}

/** Kind of the objects by which daemons find each other; each daemon has one, with its address and the departures from its host. */
export const DAEMON_KIND = 'lentilwheel-daemons'
/** Longest time for which a daemon that starts waits for the departures in its object. */
const MAX_START_WAIT_MS = 500
/** Longest time for which a target waits for the confirmation of its departure; it takes none after a second. */
const MAX_CONFIRM_WAIT_MS = 800
/** Conflicts after which the daemon waits before it tries again. */
const MAX_CONFLICTS = 2
/** After a restore of the store, daemons check their objects within this time for each live daemon, spread at random. */
const CHECK_SPREAD_MS_PER_DAEMON = 5
const MIN_CHECK_SPREAD_MS = 1_000

/**
 * Keeps this daemon's object in the store as it should be. The object tells others the daemon's address, and the daemon itself after
 * a restart which targets on its host have left: all daemons may be restarted together, so a departure that is
 * confirmed has to be in the store first.
 */
export class DaemonRegistration {
  readonly #opts: DaemonRegistrationOptions
  /** The object as last written or read; undefined while that is unknown. */
  #object: StoredObject | undefined
  /** JSON of the spec that was written last. */
  #writtenSpec = ''
  /** Departures that the object lists. */
  #kept: readonly Departure[] = []
  readonly #waiting = new Set<() => void>()
  /** Whether an object may be there already; false only until the first attempt to create it. */
  #mayExist = false
  #isLoaded = false
  #isWriting = false
  #isWriteDue = false
  /** Unix milliseconds at which the daemon said that its host goes away; undefined before. */
  #stoppedAt: number | undefined

  constructor (opts: DaemonRegistrationOptions) {
    this.#opts = opts
    opts.store.epochs.onRise(() => this.#onRestored())
  }

  /** Whether the departures before the start of this daemon are known, as far as the store can tell them. */
  get isLoaded (): boolean {
    return this.#isLoaded
  }

  start (): void {
    this.#opts.timers.after(MAX_START_WAIT_MS, () => this.#setLoaded())
    this.#write()
  }

  /** Writes a departure to the store; resolves to whether it is there by the time that its target waits for. */
  async keep (departure: Departure): Promise<boolean> {
    if (this.#isKept(departure)) return true
    this.#write()
    return await new Promise((resolve) => {
      const finish = (isKept: boolean): void => {
        stopTimeout()
        this.#waiting.delete(check)
        resolve(isKept)
      }
      const check = (): void => { if (this.#isKept(departure)) finish(true) }
      const stopTimeout = this.#opts.timers.after(MAX_CONFIRM_WAIT_MS, () => finish(false))
      this.#waiting.add(check)
    })
  }

  /** Writes departures that nobody waits for. */
  update (): void {
    if (this.#opts.departures().some((departure) => !this.#isKept(departure))) this.#write()
  }

  /** Says in the store that the host goes away for good. The object is removed unless it lists departures, as the daemon may come back nevertheless. */
  deregister (): void {
    this.#stoppedAt = Math.floor(this.#opts.timers.wallNow())
    this.#write()
  }

  #isKept (departure: Departure): boolean {
    return departuresNotIn(this.#kept, [departure]).length === 0
  }

  /** Brings the object up to date, now or after the write that is under way; repeats it until it succeeds. */
  #write (): void {
    this.#isWriteDue = true
    if (this.#isWriting) return
    this.#isWriting = true
    const { timers, random, log } = this.#opts
    retryUntilDone(async () => await this.#writeWhileDue(), {
      timers,
      random,
      isStopped: () => false,
      onFailure: (err) => log.decision('directoryFailed', { what: 'register', code: errorCode(err), reason: (err as Error).message })
    }).finally(() => {
      this.#isWriting = false
      if (this.#isWriteDue) this.#write()
    })
  }

  /**
   * After a failure the object may not be what this daemon takes it for, or may be gone, so it is read again; after a conflict at once, unless that doesn't
   * help.
   */
  async #writeWhileDue (): Promise<void> {
    for (let conflicts = 0; this.#isWriteDue;) {
      this.#isWriteDue = false
      try {
        await this.#writeOnce()
      } catch (err) {
        this.#isWriteDue = true
        this.#object = undefined
        if (!(err instanceof RevisionConflict) || ++conflicts > MAX_CONFLICTS) throw err
      }
    }
  }

  async #writeOnce (): Promise<void> {
    const { store, fleet: { own } } = this.#opts
    if (this.#stoppedAt !== undefined && this.#opts.departures().length === 0) {
      if (this.#object) await store.remove(DAEMON_KIND, own.host, this.#object.revision)
      return this.#forget()
    }
    this.#object ??= await this.#createOrRead()
    const { spec, departures } = this.#desired()
    const json = JSON.stringify(spec)
    if (json !== this.#writtenSpec) this.#object = await store.replace(DAEMON_KIND, own.host, spec, this.#object.revision)
    this.#onWritten(json, departures)
  }

  /** Creates the object, or takes over the one of an earlier start or of an attempt whose response was lost. */
  async #createOrRead (): Promise<StoredObject> {
    const { store, fleet: { own } } = this.#opts
    const existing = this.#mayExist ? await this.#readEarlier() : undefined
    if (existing) return existing
    this.#mayExist = true
    const { spec, departures } = this.#desired()
    const object = await store.create(DAEMON_KIND, own.host, spec)
    this.#onWritten(JSON.stringify(spec), departures)
    return object
  }

  async #readEarlier (): Promise<StoredObject | undefined> {
    const { store, timers, fleet: { own }, onEarlierDepartures } = this.#opts
    const existing = await store.get(DAEMON_KIND, own.host)
    if (!existing) return undefined
    this.#writtenSpec = JSON.stringify(existing.spec)
    const record = readDaemonObject(existing, timers.wallNow())
    if (record?.leavings) onEarlierDepartures(record.leavings)
    this.#setLoaded()
    return existing
  }

  /** The spec that the object should have, and the departures in it. */
  #desired (): { spec: object, departures: readonly Departure[] } {
    const { host, dataCentre, address, port, incarnation } = this.#opts.fleet.own
    const departures = this.#opts.departures()
    const spec = {
      host,
      dataCentre,
      address,
      port,
      incarnation,
      ...departures.length === 0 ? {} : { leavings: departures },
      ...this.#stoppedAt === undefined ? {} : { stoppedAt: this.#stoppedAt }
    }
    return { spec, departures }
  }

  #onWritten (json: string, departures: readonly Departure[]): void {
    this.#writtenSpec = json
    this.#kept = departures
    this.#setLoaded()
    for (const check of [...this.#waiting]) check()
  }

  #setLoaded (): void {
    if (this.#isLoaded) return
    this.#isLoaded = true
    this.#opts.onLoaded()
  }

  /** A restored store may have lost the object or its last change; many daemons check that, so each waits for a random time. */
  #onRestored (): void {
    const { fleet, timers, random } = this.#opts
    this.#forget()
    const spreadMs = Math.max(MIN_CHECK_SPREAD_MS, fleet.live().length * CHECK_SPREAD_MS_PER_DAEMON)
    timers.after(random.next() * spreadMs, () => {
      // A write from before the restore may have ended meanwhile.
      this.#forget()
      this.#write()
    })
  }

  #forget (): void {
    this.#object = undefined
    this.#writtenSpec = ''
    this.#kept = []
  }
}

/** The daemon that an object names; undefined if another writer put something else there, or the name of another host. */
export function readDaemonObject ({ name, spec }: StoredObject, wallNow: number): HostRecord | undefined {
  const fields = typeof spec === 'object' && spec !== null ? spec : {}
  const record = readHostRecord({ ...fields, target: undefined, sequence: 0, stopping: false }, wallNow)
  return record?.host === name ? record : undefined
}

/** When the daemon of an object said that its host goes away, in Unix milliseconds; undefined if it didn't. */
export function stoppedAtOf ({ spec }: StoredObject): number | undefined {
  const { stoppedAt } = (typeof spec === 'object' && spec !== null ? spec : {}) as { stoppedAt?: unknown }
  return typeof stoppedAt === 'number' ? stoppedAt : undefined
}
