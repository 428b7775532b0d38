import { backoffMs, errorCode } from '@lentilwheel/core'
import { ConfigInvalid, HashMismatch, type Head } from '@lentilwheel/config'
import { decodeHead, HEAD_KEY, isPlatformUnavailable, PlatformBudgetExhausted, type StoredObject } from '@lentilwheel/platform'
import { SECOND_RELAY_DELAY_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import { applyHead } from '../floor/applyHead.js'

const RETRY_BASE_MS = 250
const RETRY_CAP_MS = 5_000
/** Minimum interval between two watch requests, so that a platform that answers at once without a change isn't flooded. */
const MIN_WATCH_INTERVAL_MS = 50

/**
 * Watches the head on the platform while this daemon is relay and applies each version that it names. Reads and watches
 * are retried with backoff; a version that can't be loaded or validated is reported as refused.
 */
export class HeadWatcher {
  readonly #ctx: MeshContext
  readonly #isPrimary: () => boolean
  readonly #onHeadRead: () => void
  readonly #abortController = new AbortController()
  #revision = 0
  #attempt = 0
  #isPlatformLost = false
  /** Version and root hash of the older head reported last. */
  #reportedOlderHead = ''

  constructor (ctx: MeshContext, opts: { isPrimary: () => boolean, onHeadRead: () => void }) {
    this.#ctx = ctx
    this.#isPrimary = opts.isPrimary
    this.#onHeadRead = opts.onHeadRead
  }

  stop (): void {
    this.#abortController.abort()
  }

  async run (): Promise<void> {
    let isFirstRead = true
    while (!this.#abortController.signal.aborted) {
      const startedAt = this.#ctx.opts.timers.now()
      try {
        const stored = isFirstRead ? await this.#get() : await this.#watch()
        this.#onPlatformReached()
        isFirstRead = false
        if (stored) await this.#processHead(stored)
        const tookMs = this.#ctx.opts.timers.now() - startedAt
        if (tookMs < MIN_WATCH_INTERVAL_MS) await this.#sleep(MIN_WATCH_INTERVAL_MS - tookMs)
      } catch (err) {
        await this.#onFailure(err)
      }
    }
  }

  async #get (): Promise<StoredObject | undefined> {
    const stored = await this.#ctx.opts.platform.get(HEAD_KEY)
    if (!stored) this.#onHeadRead()
    return stored
  }

  async #watch (): Promise<StoredObject | undefined> {
    return await this.#ctx.opts.platform.watch(HEAD_KEY, this.#revision, this.#abortController.signal)
  }

  async #processHead (stored: StoredObject): Promise<void> {
    if (this.#abortController.signal.aborted) return
    const head = decodeHead(stored.value)
    this.#ctx.floor.raise(head.version)
    await this.#applyHead(head)
    this.#revision = stored.revision
    this.#onHeadRead()
  }

  async #applyHead (head: Head): Promise<void> {
    const { snapshots, opts } = this.#ctx
    if (this.#isOlder(head)) return this.#reportOlder(head)
    if (head.version === snapshots.snapshot.version) return
    if (!this.#isPrimary()) await this.#sleep(SECOND_RELAY_DELAY_MS)
    if (head.version <= snapshots.snapshot.version) return
    try {
      await applyHead(this.#ctx, head, 'head')
    } catch (err) {
      if (!(err instanceof HashMismatch) && !(err instanceof ConfigInvalid)) throw err
      if (await this.#isSuperseded(head)) return
      const changeId = head.changes.at(-1)?.id ?? ''
      opts.log.warn('version named by the head was refused', { version: head.version, code: errorCode(err) })
      this.#ctx.onVersionRefused({ version: head.version, changeId, reason: err.message })
    }
  }

  /** Whether the head was replaced by a newer one, in which case compaction may have removed a bundle of it. */
  async #isSuperseded (head: Head): Promise<boolean> {
    const stored = await this.#ctx.opts.platform.get(HEAD_KEY)
    return stored !== undefined && decodeHead(stored.value).version > head.version
  }

  /** A head with the same version but other content counts as older, too: a change was accepted on a restored backup. */
  #isOlder (head: Head): boolean {
    const { version, rootHash } = this.#ctx.snapshots.snapshot
    return head.version < version || (head.version === version && head.rootHash !== rootHash)
  }

  #reportOlder (head: Head): void {
    const key = `${head.version} ${head.rootHash}`
    if (this.#reportedOlderHead === key) return
    this.#reportedOlderHead = key
    const { snapshots, opts } = this.#ctx
    const reason = `the platform's head names version ${head.version}, but version ${snapshots.snapshot.version} is in force; ` +
      'the head seems to be restored from a backup and changes nothing'
    opts.events.record('olderHeadSeen', { version: head.version, reason })
    opts.log.warn('ignored an older head on the platform', { head: head.version, held: snapshots.snapshot.version })
    this.#ctx.onVersionRefused({ version: head.version, changeId: head.changes.at(-1)?.id ?? '', reason })
  }

  #onPlatformReached (): void {
    this.#attempt = 0
    if (!this.#isPlatformLost) return
    this.#isPlatformLost = false
    this.#ctx.opts.events.record('platformBack')
    this.#ctx.opts.log.info('platform is reachable again')
  }

  async #onFailure (err: unknown): Promise<void> {
    if (this.#abortController.signal.aborted) return
    const { events, log, random } = this.#ctx.opts
    if (!this.#isPlatformLost && (isPlatformUnavailable(err) || err instanceof PlatformBudgetExhausted)) {
      this.#isPlatformLost = true
      events.record('platformLost', { reason: errorCode(err) })
      log.warn('platform can\'t be read; retrying', { code: errorCode(err) })
    }
    await this.#sleep(backoffMs(this.#attempt++, { baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS }, random))
  }

  async #sleep (ms: number): Promise<void> {
    await new Promise<void>((resolve) => this.#ctx.opts.timers.after(ms, resolve))
  }
}
