import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import { RevisionConflict } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { ObjectStore, StoredObject } from '../store/objectStore.js'
import { retryUntilDone } from '../store/retryUntilDone.js'
import type { Quarantine } from './quarantine.js'
import { isBlock, type Block } from './quarantineNews.js'

export interface BlockStoreOptions {
  store: ObjectStore
  quarantine: Pick<Quarantine, 'merge'>
  timers: Pick<Timers, 'after' | 'every' | 'wallNow'>
  random: Random
  log: CallLog
  /** Whether this daemon is the one that removes objects whose block has ended. */
  isLeader (): boolean
}

/** Kind of the objects that hold blocked requests, named by their fingerprints. */
const BLOCK_KIND = 'lentilwheel-blocks'
/** Longest time for which a daemon that starts waits for the list of blocks. */
const MAX_START_WAIT_MS = 500
const CLEAN_INTERVAL_MS = 600_000
/** Age of the object of a block that no level of blocks reaches. */
const MAX_AGE_MS = 48 * 3_600_000

/** Keeps blocks in the store, so that they outlast a restart of all daemons at once. */
export class BlockStore {
  readonly #opts: BlockStoreOptions
  #isLoaded = false
  #isStopped = false

  constructor (opts: BlockStoreOptions) {
    this.#opts = opts
  }

  /** Whether the blocks have been read, or the store has had its time to answer. */
  get isLoaded (): boolean {
    return this.#isLoaded
  }

  /** Reads the blocks that earlier daemons have written. */
  start (): void {
    const { timers } = this.#opts
    timers.after(MAX_START_WAIT_MS, () => { this.#isLoaded = true })
    this.#retry('listBlocks', () => this.#load())
    timers.every(CLEAN_INTERVAL_MS, () => { if (this.#opts.isLeader()) this.#retry('cleanBlocks', () => this.#removeEnded()) }, { jitter: 0.3 })
  }

  stop (): void {
    this.#isStopped = true
  }

  save (block: Block): void {
    const spec = { ...block, ageMs: undefined, blockedAt: Math.round(this.#opts.timers.wallNow() - block.ageMs) }
    this.#retry('saveBlock', () => this.#write(block, spec))
  }

  async #load (): Promise<void> {
    const { objects } = await this.#opts.store.list(BLOCK_KIND, { mayBeOld: true })
    const blocks = objects.map((object) => this.#parse(object)).filter((block) => block !== undefined)
    this.#opts.log.decision('blocksRead', { blocks: blocks.length, objects: objects.length })
    this.#opts.quarantine.merge({ reports: [], blocks })
    this.#isLoaded = true
  }

  async #write (block: Block, spec: object): Promise<void> {
    const { store } = this.#opts
    try {
      await store.create(BLOCK_KIND, block.fingerprint, spec)
    } catch (err) {
      if (!(err instanceof RevisionConflict)) throw err
      const existing = await store.get(BLOCK_KIND, block.fingerprint)
      const known = existing && this.#parse(existing)
      if (existing && (!known || known.level < block.level || (known.level === block.level && block.isCleared))) {
        await store.replace(BLOCK_KIND, block.fingerprint, spec, existing.revision)
      }
    }
  }

  async #removeEnded (): Promise<void> {
    const { store } = this.#opts
    const { objects } = await store.list(BLOCK_KIND, { mayBeOld: true })
    const ended = objects.find((object) => (this.#parse(object)?.ageMs ?? Infinity) > MAX_AGE_MS)
    if (ended) await store.remove(BLOCK_KIND, ended.name, ended.revision)
  }

  /** The block that an object holds; undefined if another writer put something else there. */
  #parse ({ name, spec }: StoredObject): Block | undefined {
    const { blockedAt, ...rest } = (typeof spec === 'object' && spec !== null ? spec : {}) as { blockedAt?: unknown }
    const ageMs = typeof blockedAt === 'number' ? Math.max(0, this.#opts.timers.wallNow() - blockedAt) : undefined
    const block: unknown = { ...rest, ageMs }
    if (isBlock(block) && block.fingerprint === name) return block
    this.#opts.log.decision('badRecord', { from: 'store', kind: BLOCK_KIND, name })
    return undefined
  }

  #retry (what: string, step: () => Promise<void>): void {
    const { timers, random, log } = this.#opts
    retryUntilDone(step, {
      timers, random, isStopped: () => this.#isStopped, onFailure: (err) => log.decision('blockStoreFailed', { what, code: errorCode(err), reason: (err as Error).message })
    })
  }
}
