import type { Cancel, Timers, VirtualTimers } from '@lentilwheel/core'
import { RevisionConflict, StoreUnavailable } from '../../errors.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../../store/epochTracker.js'
import type { EventBatch, Listing, ObjectStore, StoredObject } from '../../store/objectStore.js'

const STORE_MS = 5

/** Timers of one process: what they would call waits while it is paused, and is dropped once it has ended. */
export class ProcessTimers implements Timers {
  readonly #base: VirtualTimers
  readonly #run: (fn: () => void) => void

  constructor (base: VirtualTimers, run: (fn: () => void) => void) {
    this.#base = base
    this.#run = run
  }

  now (): number { return this.#base.now() }
  wallNow (): number { return this.#base.wallNow() }
  after (ms: number, fn: () => void): Cancel { return this.#base.after(ms, () => this.#run(fn)) }
  every (ms: number, fn: () => void): Cancel { return this.#base.every(ms, () => this.#run(fn)) }
}

/** The store, shared by all daemons. */
export class SharedStore {
  readonly #timers: VirtualTimers
  readonly #objects = new Map<string, StoredObject>()
  readonly #watchers = new Set<() => void>()
  #number = 0
  isAway = false

  constructor (timers: VirtualTimers) {
    this.#timers = timers
  }

  object (kind: string, name: string): StoredObject | undefined {
    return this.#objects.get(`${kind}/${name}`)
  }

  put (kind: string, name: string, spec: unknown, status: unknown = null): StoredObject {
    const object = { name, revision: { epoch: 1, number: ++this.#number }, spec, status }
    this.#objects.set(`${kind}/${name}`, object)
    for (const wake of this.#watchers) wake()
    return object
  }

  /** The store as one daemon reaches it. */
  client (timers: Timers): ObjectStore {
    const reach = async (): Promise<void> => {
      await new Promise<void>((resolve) => { timers.after(STORE_MS, resolve) })
      if (this.isAway) throw new StoreUnavailable('away')
    }
    const change = (kind: string, name: string, number: number, fields: Partial<StoredObject>): StoredObject => {
      const object = this.object(kind, name)
      if (object?.revision.number !== number) throw new RevisionConflict('changed')
      return this.put(kind, name, fields.spec ?? object.spec, fields.status ?? object.status)
    }
    return {
      epochs: new EpochTracker(new NoopCallLog()),
      list: async (kind) => {
        await reach()
        return this.#list(kind)
      },
      get: async (kind, name) => {
        await reach()
        return this.object(kind, name)
      },
      watch: async (kind, { number }, waitMs) => {
        await reach()
        await this.#changed(number, waitMs)
        await reach()
        return this.#since(kind, number)
      },
      create: async (kind, name, spec) => {
        await reach()
        if (this.object(kind, name)) throw new RevisionConflict('exists')
        return this.put(kind, name, spec)
      },
      replace: async (kind, name, spec, { number }) => {
        await reach()
        return change(kind, name, number, { spec })
      },
      setStatus: async (kind, name, status, { number }) => {
        await reach()
        return change(kind, name, number, { status })
      },
      remove: async () => {}
    }
  }

  #list (kind: string): Listing {
    const objects = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
    return { objects, revision: { epoch: 1, number: this.#number } }
  }

  #since (kind: string, number: number): EventBatch {
    const { objects, revision } = this.#list(kind)
    return { events: objects.filter((object) => object.revision.number > number).map((object) => ({ object, deleted: false })), revision }
  }

  async #changed (number: number, waitMs: number): Promise<void> {
    if (this.#number > number) return
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.#watchers.delete(wake)
        resolve()
      }
      this.#watchers.add(wake)
      this.#timers.after(waitMs, wake)
    })
  }
}
