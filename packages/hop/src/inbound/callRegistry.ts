import type { HopReply } from '../link/messages.js'

type Entry =
  | { state: 'open', listener: ((reply: HopReply) => void) | undefined }
  | { state: 'ended', reply: HopReply, at: number, bytes: number }
  | { state: 'revoked', at: number }

/** Number of a call of one host; both parts increase. */
interface CallNumber {
  /** Start of the daemon that made the call. */
  incarnation: number
  count: number
}

/**
 * What settling a call did. `ended`: its reply was sent again. `attached`: the reply will be sent when the call ends.
 * `revoked`: the call had not arrived, and is rejected if it still does. `forgotten`: it may have run, as calls that its sender made later
 * have ended and been forgotten.
 */
export type Settlement = 'ended' | 'attached' | 'revoked' | 'forgotten'

/** Time for which the reply of an ended call can be fetched again. */
const REPLY_RETENTION_MS = 4_000
/** Time for which a revoked call is rejected; longer than a call can be in transit. */
const REVOKED_RETENTION_MS = 30_000
/** Default limit on the size of all retained bodies. */
const MAX_RETAINED_BYTES = 16 * 1024 * 1024

/**
 * Registry of the calls that this daemon has accepted and of their replies. A sender that lost its connection settles
 * its call here: it gets the reply, or the assurance that the call will never run.
 */
export class CallRegistry {
  readonly #entries = new Map<string, Entry>()
  /** The latest forgotten call of each host: it and earlier ones may have run. */
  readonly #lastForgotten = new Map<string, CallNumber>()
  readonly #maxRetainedBytes: number
  #retainedBytes = 0

  /** `maxRetainedBytes`: size of all retained bodies above which replies are forgotten early, beginning with the calls that arrived first. */
  constructor (maxRetainedBytes = MAX_RETAINED_BYTES) {
    this.#maxRetainedBytes = Math.min(MAX_RETAINED_BYTES, maxRetainedBytes)
  }

  /** Adds a call; false if it was revoked before it arrived, or if it arrived twice. */
  register (key: string, listener: (reply: HopReply) => void): boolean {
    if (this.#entries.has(key)) return false
    this.#entries.set(key, { state: 'open', listener })
    return true
  }

  /** Removes the listener of a call whose connection broke; the sender may attach a new one with `settle`. */
  detach (key: string): void {
    const entry = this.#entries.get(key)
    if (entry?.state === 'open') entry.listener = undefined
  }

  /** Whether a call is open and its reply has a listener. */
  hasListener (key: string): boolean {
    const entry = this.#entries.get(key)
    return entry?.state === 'open' && entry.listener !== undefined
  }

  /** Stores the reply of a call and passes it to the listener. */
  complete (key: string, reply: HopReply, now: number): void {
    const entry = this.#entries.get(key)
    if (entry?.state !== 'open') return
    const bytes = reply.kind === 'response' ? reply.body.length : 0
    this.#entries.set(key, { state: 'ended', reply, at: now, bytes })
    this.#retainedBytes += bytes
    if (this.#retainedBytes > this.#maxRetainedBytes) this.#forgetOldest()
    entry.listener?.(reply)
  }

  /** Revokes a call that has surely not arrived; otherwise passes on its reply, now or when it ends, or that it may have run. */
  settle (key: string, listener: (reply: HopReply) => void, now: number): Settlement {
    const entry = this.#entries.get(key)
    if (!entry && this.#mayBeForgotten(key)) {
      listener({ kind: 'failed', reason: 'lost' })
      return 'forgotten'
    }
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

  /** Forgets calls after their retention time. */
  prune (now: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.state === 'open') continue
      const retentionMs = entry.state === 'ended' ? REPLY_RETENTION_MS : REVOKED_RETENTION_MS
      if (now - entry.at < retentionMs) continue
      if (entry.state === 'ended') this.#forget(key, entry.bytes)
      else this.#entries.delete(key)
    }
  }

  /** Forgets replies before their time until the bodies of the others are within the limit. */
  #forgetOldest (): void {
    for (const [key, entry] of this.#entries) {
      if (this.#retainedBytes <= this.#maxRetainedBytes) return
      if (entry.state === 'ended' && entry.bytes > 0) this.#forget(key, entry.bytes)
    }
  }

  #forget (key: string, bytes: number): void {
    this.#retainedBytes -= bytes
    this.#recordForgotten(key)
    this.#entries.delete(key)
  }

  #recordForgotten (key: string): void {
    if (this.#mayBeForgotten(key)) return
    const { host, ...number } = parseKey(key)
    this.#lastForgotten.set(host, number)
  }

  #mayBeForgotten (key: string): boolean {
    const { host, incarnation, count } = parseKey(key)
    const last = this.#lastForgotten.get(host)
    if (!last) return false
    return incarnation === last.incarnation ? count <= last.count : incarnation < last.incarnation
  }
}

/** Takes apart a key: the host whose daemon made the call, and the number that the daemon gave it. */
function parseKey (key: string): CallNumber & { host: string } {
  const [count, incarnation, ...host] = key.split('/').reverse()
  return { host: host.reverse().join('/'), incarnation: Number(incarnation), count: Number(count) }
}
