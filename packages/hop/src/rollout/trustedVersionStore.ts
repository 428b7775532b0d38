import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { RevisionConflict } from '../errors.js'
import { readTrustedVersion } from '../fleet/records.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'
import { isLater } from '../store/storeRevision.js'
import type { TrustedVersion } from './trustedVersion.js'
import type { VersionRules } from './versionRules.js'

export interface TrustedVersionStoreOptions {
  store: ObjectStore
  rules: Pick<VersionRules, 'trust' | 'trustedVersions' | 'presumedVersions'>
  timers: Pick<Timers, 'after' | 'now'>
  random: Random
  log: CallLog
}

/** Kind of the objects that hold the trusted versions, each named by its service. */
const VERSION_KIND = 'lentilwheel-versions'
/** Longest time for which a daemon that starts waits for the list; meanwhile peers tell what they know. */
const MAX_START_WAIT_MS = 500
/** Time after a failed write before the next one. */
const WRITE_RETRY_MS = 2_000

/**
 * Keeps the trusted versions in the store, so that they outlast all daemons: the ready targets don't tell which of their versions
 * an order has named.
 */
export class TrustedVersionStore {
  readonly #opts: TrustedVersionStoreOptions
  /** Versions that the store is known to hold, by service. */
  readonly #stored = new Map<string, string>()
  #isLoaded = false
  #isRead = false
  #isStopped = false
  #isWriting = false
  #writeAt = 0
  #waiting: (() => void)[] = []

  constructor (opts: TrustedVersionStoreOptions) {
    this.#opts = opts
    // A restored store may have lost objects or their last changes.
    opts.store.epochs.onRise(() => this.#stored.clear())
  }

  /** Reads what earlier daemons have written. */
  start (): void {
    const { timers, random, log } = this.#opts
    timers.after(MAX_START_WAIT_MS, () => this.#setLoaded())
    retryUntilDone(() => this.#read(), {
      timers, random, isStopped: () => this.#isStopped, onFailure: (err) => log.decision('versionsNotRead', { code: errorCode(err), reason: (err as Error).message })
    })
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Calls `fn` once the versions have been read, or the store has had its time to answer. */
  whenLoaded (fn: () => void): void {
    if (this.#isLoaded) fn()
    else this.#waiting.push(fn)
  }

  /** Writes one version that the store lacks, if there is any; called periodically by the daemon that coordinates moves. */
  reconcile (): void {
    const { rules, timers } = this.#opts
    if (!this.#isRead || this.#isWriting || timers.now() < this.#writeAt) return
    const missing = [...rules.trustedVersions(), ...rules.presumedVersions()].find(({ service, version }) => this.#stored.get(service) !== version)
    if (!missing) return
    this.#isWriting = true
    this.#write(missing).catch((err) => this.#onFailure(missing, err)).finally(() => { this.#isWriting = false })
  }

  async #read (): Promise<void> {
    const { store, log } = this.#opts
    const { objects } = await store.list(VERSION_KIND, { mayBeOld: true })
    for (const object of objects) this.#takeOver(object)
    log.decision('versionsRead', { versions: objects.length })
    this.#isRead = true
    this.#setLoaded()
  }

  #setLoaded (): void {
    this.#isLoaded = true
    for (const fn of this.#waiting.splice(0)) fn()
  }

  /** Creates the object, or replaces it unless it tells of a later order; a presumed version counts only once it is there. */
  async #write (wanted: TrustedVersion): Promise<void> {
    const { store, log } = this.#opts
    try {
      this.#takeOver(await store.create(VERSION_KIND, wanted.service, { ...wanted }))
    } catch (err) {
      if (!(err instanceof RevisionConflict)) throw err
      const existing = await store.get(VERSION_KIND, wanted.service)
      const held = existing && this.#takeOver(existing)
      if (!existing || (held && !isLater(wanted.since, held.since))) return
      this.#takeOver(await store.replace(VERSION_KIND, wanted.service, { ...wanted }, existing.revision))
    }
    log.decision('versionKept', { ...wanted })
  }

  /** Takes over what an object holds; undefined if another writer put something else there. */
  #takeOver ({ name, spec }: StoredObject): TrustedVersion | undefined {
    const { rules, log } = this.#opts
    const held = readTrustedVersion(spec)
    if (held?.service !== name) {
      log.decision('badRecord', { from: 'store', kind: VERSION_KIND, name })
      return undefined
    }
    this.#stored.set(name, held.version)
    rules.trust(held)
    return held
  }

  #onFailure ({ service, version }: TrustedVersion, err: unknown): void {
    const { timers, log } = this.#opts
    this.#writeAt = timers.now() + WRITE_RETRY_MS
    log.decision('versionNotKept', { service, version, code: errorCode(err), reason: (err as Error).message })
  }
}
