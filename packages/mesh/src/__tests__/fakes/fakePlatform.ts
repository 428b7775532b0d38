import type { VirtualTimers } from '@lentilwheel/core'
import {
  PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable, type PlatformClient, type StoredObject
} from '@lentilwheel/platform'
import { FakePlatformStore } from '@lentilwheel/testkit'
import type { FakeHost } from './fakeHost.js'

/** Time after which a watch without a change ends. */
const WATCH_MS = 30_000

/** Platform in memory, with outages, delays, lost answers and faulty watches. */
export class FakePlatform {
  readonly store = new FakePlatformStore()
  isDown = false
  /** True for hosts that can't reach the platform. */
  isBlocked: (host: FakeHost) => boolean = () => false
  delayMs = 2
  /** Number of next writes that take effect but whose answers are lost. */
  lostWriteAnswers = 0
  /** Fault of each watch: it ends at once without a change, or returns at once what the watcher has seen already. */
  watchFault: 'none' | 'ends' | 'repeats' = 'none'
  readonly counts = { reads: 0, writes: 0 }
  readonly #timers: VirtualTimers

  constructor (timers: VirtualTimers) {
    this.#timers = timers
  }

  client (host: FakeHost): PlatformClient {
    const call = async <T>(isWrite: boolean, act: () => T): Promise<T> => await this.#call(host, isWrite, act)
    return {
      get: async (key) => await call(false, () => this.#get(key)),
      put: async (key, value, { ifRevision }) => await call(true, () => this.#put(key, value, ifRevision)),
      remove: async (key, { ifRevision }) => await call(true, () => {
        if (!this.store.remove(key, ifRevision)) throw new PlatformConflict(key)
      }),
      list: async (prefix) => await call(false, () => {
        return this.store.list(prefix).map(([key, object]) => ({ key, ...object }))
      }),
      watch: async (key, after, signal) => {
        const current = await call(false, () => this.#get(key))
        if (this.watchFault === 'ends') return undefined
        if (current && (current.revision !== after || this.watchFault === 'repeats')) return current
        return await this.#wait(host, key, signal)
      }
    }
  }

  #get (key: string): StoredObject | undefined {
    const object = this.store.get(key)
    return object && { key, ...object }
  }

  #put (key: string, value: Uint8Array, ifRevision: number): number {
    const revision = this.store.put(key, value, ifRevision)
    if (revision === undefined) throw new PlatformConflict(key)
    if (this.lostWriteAnswers <= 0) return revision
    this.lostWriteAnswers--
    throw new PlatformOutcomeUnknown(`answer for ${key} was lost`)
  }

  async #call<T> (host: FakeHost, isWrite: boolean, act: () => T): Promise<T> {
    if (isWrite) this.counts.writes++
    else this.counts.reads++
    return await new Promise((resolve, reject) => {
      this.#timers.after(this.delayMs, () => {
        let settle: () => void
        try {
          if (this.isDown || this.isBlocked(host)) throw new PlatformUnreachable('down')
          const value = act()
          settle = () => resolve(value)
        } catch (err) {
          settle = () => reject(err)
        }
        host.run(settle)
      })
    })
  }

  async #wait (host: FakeHost, key: string, signal: AbortSignal): Promise<StoredObject | undefined> {
    return await new Promise((resolve, reject) => {
      const finish = (settle: () => void): void => {
        stop()
        cancel()
        signal.removeEventListener('abort', abort)
        host.run(settle)
      }
      const stop = this.store.listen((changed) => {
        if (changed === key && !this.isDown && !this.isBlocked(host)) finish(() => resolve(this.#get(key)))
      })
      const cancel = this.#timers.after(WATCH_MS, () => finish(() => resolve(undefined)))
      const abort = (): void => finish(() => reject(new PlatformUnreachable('aborted')))
      signal.addEventListener('abort', abort)
    })
  }
}
