import { PlatformStore } from '@lentilwheel/testkit'
import { PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable } from '../errors.js'
import type { PlatformClient, StoredObject } from '../client.js'

/** What happens to the next write: it takes effect and its answer is lost, or it gets lost itself. */
export type WriteFault = 'answerLost' | 'requestLost' | 'unreachable'

/** Platform in memory whose writes can be made to fail one by one. */
export class MemoryClient implements PlatformClient {
  readonly store: PlatformStore
  /** Fault by key prefix; used once. */
  readonly faults = new Map<string, WriteFault>()
  /** Runs before each write, such as another operator's change. */
  beforePut: (key: string) => Promise<void> = async () => {}
  readsFail = false
  puts = 0

  constructor (store = new PlatformStore()) {
    this.store = store
  }

  async get (key: string): Promise<StoredObject | undefined> {
    if (this.readsFail) throw new PlatformUnreachable('down')
    const object = this.store.get(key)
    return object && { key, ...object }
  }

  async put (key: string, value: Uint8Array, opts: { ifRevision: number }): Promise<number> {
    this.puts++
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
    const prefix = [...this.faults.keys()].find((start) => key.startsWith(start))
    const fault = prefix === undefined ? undefined : this.faults.get(prefix)
    if (prefix !== undefined) this.faults.delete(prefix)
    return fault
  }
}
