import type { HopReply } from '../link/messages.js'

type Entry =
  | { state: 'open', listener: ((reply: HopReply) => void) | undefined }
  | { state: 'ended', reply: HopReply, at: number, bytes: number }
  | { state: 'revoked', at: number }

export type Settlement = 'ended' | 'attached' | 'revoked'

/** Time for which the reply of an ended call can be fetched again. */
const KEEP_REPLY_MS = 4_000
/** Time for which a revoked call is refused; longer than a call can be on its way. */
const KEEP_REVOKED_MS = 30_000
const MAX_KEPT_BYTES = 16 * 1024 * 1024

/** Calls that this daemon has taken, so that a sender whose connection broke can learn how its call ended. */
export class Ledger {
  readonly #entries = new Map<string, Entry>()
  #keptBytes = 0

  /** Takes a new call; false if it was revoked before it arrived, or came twice. */
  open (key: string, listener: (reply: HopReply) => void): boolean {
    if (this.#entries.has(key)) return false
    this.#entries.set(key, { state: 'open', listener })
    return true
  }

  /** Nobody waits for the reply any more, for now. */
  detach (key: string): void {
    const entry = this.#entries.get(key)
    if (entry?.state === 'open') entry.listener = undefined
  }

  isAwaited (key: string): boolean {
    const entry = this.#entries.get(key)
    return entry?.state === 'open' && entry.listener !== undefined
  }

  end (key: string, reply: HopReply, now: number): void {
    const entry = this.#entries.get(key)
    if (entry?.state !== 'open') return
    const bytes = reply.kind === 'response' ? reply.body.length : 0
    this.#entries.set(key, { state: 'ended', reply, at: now, bytes })
    this.#keptBytes += bytes
    entry.listener?.(reply)
  }

  /** Revokes a call that has not been heard of, or hands out its reply now or when it ends. */
  settle (key: string, listener: (reply: HopReply) => void, now: number): Settlement {
    const entry = this.#entries.get(key)
    if (!entry) {
      this.#entries.set(key, { state: 'revoked', at: now })
      listener({ kind: 'notRun', reason: 'revoked' })
      return 'revoked'
    }
    if (entry.state === 'open') {
      entry.listener = listener
      return 'attached'
    }
    listener(entry.state === 'ended' ? entry.reply : { kind: 'notRun', reason: 'revoked' })
    return entry.state
  }

  /** Forgets what no sender can ask for any more. */
  prune (now: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.state === 'open') continue
      const keepMs = entry.state === 'ended' ? KEEP_REPLY_MS : KEEP_REVOKED_MS
      if (now - entry.at < keepMs && !(entry.state === 'ended' && this.#keptBytes > MAX_KEPT_BYTES)) continue
      if (entry.state === 'ended') this.#keptBytes -= entry.bytes
      this.#entries.delete(key)
    }
  }
}
