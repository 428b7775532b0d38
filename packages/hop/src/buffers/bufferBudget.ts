/** Something that holds bytes for another process until they are complete, sent or no longer wanted. */
export interface BufferHolder {
  /** Drops what it holds and closes the connection on which that came or was to be sent. */
  evict (limitBytes: number): void
}

export interface Churn {
  readonly bytes: number
  onReached (): void
}

/** What a holder holds, and since when on average, in monotonic milliseconds. */
interface Holding {
  bytes: number
  since: number
}

/** What is held for less than this counts as held for this long: among holders that have just come the one of the most bytes is evicted. */
const MIN_AGE_MS = 100

/**
 * Limits the bytes that all holders of the process hold together. When the limit is exceeded, the holder of the most bytes for the longest
 * time is evicted: one that takes too much doesn't harm the others, nor do many that each take little and keep it.
 */
export class BufferBudget {
  readonly #limitBytes: number
  readonly #minOthersBytes: number
  readonly #holdings = new Map<BufferHolder, Holding>()
  readonly #now: () => number
  readonly #churn: Churn | undefined
  #addedBytes = 0
  #heldBytes = 0
  #reservedBytes = 0

  /**
   * `minOthersShare`: share of the limit that the other holders must hold together for one of them to be evicted. A single large
   * message is then served while there is little else, even if it exceeds the limit for a moment. `churn`: what to do each time that so
   * many bytes have been added. `now`: monotonic milliseconds; without it the age of what is held doesn't count.
   */
  constructor (limitBytes: number, minOthersShare = 0, churn?: Churn, now: () => number = () => 0) {
    this.#now = now
    this.#limitBytes = limitBytes
    this.#churn = churn
    this.#minOthersBytes = limitBytes * minOthersShare
  }

  get limitBytes (): number {
    return this.#limitBytes
  }

  /** Bytes that all holders hold now, and what is reserved. */
  get totalBytes (): number {
    return this.#heldBytes + this.#reservedBytes
  }

  /** Whether more bytes fit without anything being evicted. */
  hasRoom (bytes: number): boolean {
    return this.totalBytes + bytes <= this.#limitBytes || this.totalBytes < this.#minOthersBytes
  }

  /** Adds bytes to what a holder holds. Any holder, also this one, may be evicted before this returns. */
  grow (holder: BufferHolder, bytes: number): void {
    if (bytes === 0) return
    const now = this.#now()
    const { bytes: before, since } = this.#holdings.get(holder) ?? { bytes: 0, since: now }
    this.#holdings.set(holder, { bytes: before + bytes, since: (before * since + bytes * now) / (before + bytes) })
    this.#heldBytes += bytes
    this.#countAdded(bytes)
    this.#evictExcess()
  }

  /** Adds bytes that can't be given up, as those of a request that a target is at work on. Any holder may be evicted before this returns. */
  reserve (bytes: number): void {
    this.#reservedBytes += bytes
    this.#evictExcess()
  }

  /** Frees bytes that were added by `reserve`. */
  unreserve (bytes: number): void {
    this.#reservedBytes -= bytes
  }

  /** Frees some bytes of a holder; fewer if it has been evicted since. The oldest are taken to go first. */
  shrink (holder: BufferHolder, bytes: number): void {
    const held = this.#holdings.get(holder)
    if (held === undefined) return
    if (bytes >= held.bytes) return this.release(holder)
    const now = this.#now()
    const rest = held.bytes - bytes
    this.#holdings.set(holder, { bytes: rest, since: now - (now - held.since) * rest / held.bytes })
    this.#heldBytes -= bytes
  }

  /** Frees all bytes of a holder, whose message is complete or was dropped. */
  release (holder: BufferHolder): void {
    this.#heldBytes -= this.#holdings.get(holder)?.bytes ?? 0
    this.#holdings.delete(holder)
  }

  #countAdded (bytes: number): void {
    if (!this.#churn) return
    this.#addedBytes += bytes
    if (this.#addedBytes < this.#churn.bytes) return
    this.#addedBytes = 0
    this.#churn.onReached()
  }

  #evictExcess (): void {
    while (this.totalBytes > this.#limitBytes) {
      const first = this.#firstToEvict()
      if (!first) return
      const [holder, { bytes }] = first
      if (this.#heldBytes - bytes < this.#minOthersBytes) return
      this.release(holder)
      holder.evict(this.#limitBytes)
    }
  }

  /** The holder of the most bytes, each weighted with the time for which it has been held. */
  #firstToEvict (): [BufferHolder, Holding] | undefined {
    const now = this.#now()
    let first: [BufferHolder, Holding] | undefined
    let mostByteMs = -1
    for (const entry of this.#holdings) {
      const [, { bytes, since }] = entry
      const byteMs = bytes * Math.max(MIN_AGE_MS, now - since)
      if (byteMs <= mostByteMs) continue
      first = entry
      mostByteMs = byteMs
    }
    return first
  }
}
