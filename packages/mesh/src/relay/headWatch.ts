import { backoffMs, errorCode } from '@lentilwheel/core'
import { ConfigInvalid, HashMismatch, type Head } from '@lentilwheel/config'
import { decodeHead, HEAD_KEY, isAway, PlatformBudgetExhausted, type StoredObject } from '@lentilwheel/platform'
import { SECOND_RELAY_DELAY_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import { takeHead } from '../floor/takeHead.js'

const RETRY_BASE_MS = 250
const RETRY_CAP_MS = 5_000
/** Least time between two watches, so that a platform that answers at once without news isn't flooded. */
const MIN_WATCH_MS = 50

/** Follows the head on the platform while this daemon is relay. */
export class HeadWatch {
  readonly #ctx: MeshContext
  readonly #isFirst: () => boolean
  readonly #onHead: () => void
  readonly #stop = new AbortController()
  #revision = 0
  #attempt = 0
  #isAway = false
  #olderSeen = ''

  constructor (ctx: MeshContext, opts: { isFirst: () => boolean, onHead: () => void }) {
    this.#ctx = ctx
    this.#isFirst = opts.isFirst
    this.#onHead = opts.onHead
  }

  stop (): void {
    this.#stop.abort()
  }

  async run (): Promise<void> {
    let isFirstRead = true
    while (!this.#stop.signal.aborted) {
      const startedAt = this.#ctx.opts.timers.now()
      try {
        const stored = isFirstRead ? await this.#get() : await this.#watch()
        this.#reached()
        isFirstRead = false
        if (stored) await this.#read(stored)
        const tookMs = this.#ctx.opts.timers.now() - startedAt
        if (tookMs < MIN_WATCH_MS) await this.#sleep(MIN_WATCH_MS - tookMs)
      } catch (err) {
        await this.#failed(err)
      }
    }
  }

  async #get (): Promise<StoredObject | undefined> {
    const stored = await this.#ctx.opts.platform.get(HEAD_KEY)
    if (!stored) this.#onHead()
    return stored
  }

  async #watch (): Promise<StoredObject | undefined> {
    return await this.#ctx.opts.platform.watch(HEAD_KEY, this.#revision, this.#stop.signal)
  }

  async #read (stored: StoredObject): Promise<void> {
    if (this.#stop.signal.aborted) return
    const head = decodeHead(stored.value)
    this.#ctx.floor.raise(head.version)
    await this.#take(head)
    this.#revision = stored.revision
    this.#onHead()
  }

  async #take (head: Head): Promise<void> {
    const { holder, opts } = this.#ctx
    if (this.#isOlder(head)) return this.#reportOlder(head)
    if (head.version === holder.snapshot.version) return
    if (!this.#isFirst()) await this.#sleep(SECOND_RELAY_DELAY_MS)
    if (head.version <= holder.snapshot.version) return
    try {
      await takeHead(this.#ctx, head, 'head')
    } catch (err) {
      if (!(err instanceof HashMismatch) && !(err instanceof ConfigInvalid)) throw err
      if (await this.#isSuperseded(head)) return
      const changeId = head.changes.at(-1)?.id ?? ''
      opts.log.warn('version of the head is refused', { version: head.version, code: errorCode(err) })
      this.#ctx.refused({ version: head.version, changeId, reason: err.message })
    }
  }

  /** Compaction may have removed a bundle of a head that another one replaced meanwhile. */
  async #isSuperseded (head: Head): Promise<boolean> {
    const stored = await this.#ctx.opts.platform.get(HEAD_KEY)
    return stored !== undefined && decodeHead(stored.value).version > head.version
  }

  /** A head of the same version with other content comes from a backup that was written to. */
  #isOlder (head: Head): boolean {
    const { version, rootHash } = this.#ctx.holder.snapshot
    return head.version < version || (head.version === version && head.rootHash !== rootHash)
  }

  #reportOlder (head: Head): void {
    const key = `${head.version} ${head.rootHash}`
    if (this.#olderSeen === key) return
    this.#olderSeen = key
    const { holder, opts } = this.#ctx
    const reason = `the platform's head names version ${head.version}, but version ${holder.snapshot.version} is in force; ` +
      'the head seems to be restored from a backup and changes nothing'
    opts.events.record('olderHeadSeen', { version: head.version, reason })
    opts.log.warn('older head ignored', { head: head.version, held: holder.snapshot.version })
    this.#ctx.refused({ version: head.version, changeId: head.changes.at(-1)?.id ?? '', reason })
  }

  #reached (): void {
    this.#attempt = 0
    if (!this.#isAway) return
    this.#isAway = false
    this.#ctx.opts.events.record('platformBack')
    this.#ctx.opts.log.info('platform is back')
  }

  async #failed (err: unknown): Promise<void> {
    if (this.#stop.signal.aborted) return
    const { events, log, random } = this.#ctx.opts
    if (!this.#isAway && (isAway(err) || err instanceof PlatformBudgetExhausted)) {
      this.#isAway = true
      events.record('platformLost', { reason: errorCode(err) })
      log.warn('platform cannot be read', { code: errorCode(err) })
    }
    await this.#sleep(backoffMs(this.#attempt++, { baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS }, random))
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => this.#ctx.opts.timers.after(ms, resolve))
  }
}
