import { FakePlatformStore } from '@lentilwheel/testkit'
import { PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable } from '../errors.js'
import type { PlatformClient, StoredObject } from '../platformClient.js'

/** Failure of a write: it takes effect but its response is lost, the request itself is lost, or the platform is down. */
export type WriteFault = 'answerLost' | 'requestLost' | 'unreachable'

/** In-memory platform client whose writes can be made to fail one by one. */
export class MemoryPlatformClient implements PlatformClient {
  readonly store: FakePlatformStore
  /** Fault of the next write to a key with this prefix. */
  readonly faultByPrefix = new Map<string, WriteFault>()
  /** Runs before each write, for example to make another operator's change in between. */
  beforePut: (key: string) => Promise<void> = async () => {}
  isReadFailing = false
  putCount = 0

  constructor (store = new FakePlatformStore()) {
    this.store = store
  }

  async get (key: string): Promise<StoredObject | undefined> {
    if (this.isReadFailing) throw new PlatformUnreachable('down')
    const object = this.store.get(key)
    return object && { key, ...object }
  }

  async put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number> {
    this.putCount++
    await this.beforePut(key)
    const fault = this.#takeFault(key)
    if (fault === 'unreachable') throw new PlatformUnreachable('down')
    if (fault === 'requestLost') throw new PlatformOutcomeUnknown('lost')
    const revision = this.store.put(key, value, opts.ifRevision)
    if (fault === 'answerLost') throw new PlatformOutcomeUnknown('lost')
    if (revision === undefined) throw new PlatformConflict(key)
    return revision
  }

  async remove (key: string, opts: { ifRevision: number }): Promise<void> {
    if (!this.store.remove(key, opts.ifRevision)) throw new PlatformConflict(key)
  }

  async list (prefix: string): Promise<StoredObject[]> {
    return this.store.list(prefix).map(([key, object]) => ({ key, ...object }))
  }

  async watch (): Promise<undefined> {
    return undefined
  }

  #takeFault (key: string): WriteFault | undefined {
    const prefix = [...this.faultByPrefix.keys()].find((start) => key.startsWith(start))
    const fault = prefix === undefined ? undefined : this.faultByPrefix.get(prefix)
    if (prefix !== undefined) this.faultByPrefix.delete(prefix)
    return fault
  }
}
