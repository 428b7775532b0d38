import { RevisionConflict, StoreUnavailable } from '../errors.js'
import { NoopCallLog } from '../observe/callLog.js'
import { EpochTracker } from '../store/epochTracker.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'

/** A store of one kind of objects, in memory. */
export class MemoryStore implements ObjectStore {
  readonly epochs = new EpochTracker(new NoopCallLog())
  readonly objects = new Map<string, StoredObject>()
  isAway = false
  #number = 0

  put (name: string, spec: unknown): StoredObject {
    const object = { name, revision: { epoch: 1, number: ++this.#number }, spec, status: null }
    this.objects.set(name, object)
    return object
  }

  async list (): Promise<{ objects: StoredObject[], revision: { epoch: number, number: number } }> {
    if (this.isAway) throw new StoreUnavailable('away')
    return { objects: [...this.objects.values()], revision: { epoch: 1, number: this.#number } }
  }

  async get (_kind: string, name: string): Promise<StoredObject | undefined> { return this.objects.get(name) }

  async create (_kind: string, name: string, spec: unknown): Promise<StoredObject> {
    if (this.isAway) throw new StoreUnavailable('away')
    if (this.objects.has(name)) throw new RevisionConflict('exists')
    return this.put(name, spec)
  }

  async replace (_kind: string, name: string, spec: unknown): Promise<StoredObject> { return this.put(name, spec) }
  async remove (_kind: string, name: string): Promise<void> { this.objects.delete(name) }
  async watch (): Promise<never> { throw new StoreUnavailable('not used') }
  async setStatus (): Promise<never> { throw new StoreUnavailable('not used') }
}
