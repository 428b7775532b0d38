/** Something that buffers a message until it is complete. */
export interface BufferHolder {
  /** Drops the message and closes the connection on which it came. */
  evict (limitBytes: number): void
}

/**
 * Limits the bytes that all incomplete messages of the process hold together. When the limit is exceeded, the holder of
 * the most bytes is evicted, so that a message without end doesn't harm other calls.
 */
export class BufferBudget {
  readonly #limitBytes: number
  readonly #bytesByHolder = new Map<BufferHolder, number>()
  #totalBytes = 0

  constructor (limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  /** Bytes that all holders hold now. */
  get totalBytes (): number {
    return this.#totalBytes
  }

  /** Adds bytes to what a holder holds. Any holder, also this one, may be evicted before this returns. */
  grow (holder: BufferHolder, bytes: number): void {
    this.#bytesByHolder.set(holder, (this.#bytesByHolder.get(holder) ?? 0) + bytes)
    this.#totalBytes += bytes
    while (this.#totalBytes > this.#limitBytes) {
      const largest = this.#largest()
      this.release(largest)
      largest.evict(this.#limitBytes)
    }
  }

  /** Frees all bytes of a holder, whose message is complete or was dropped. */
  release (holder: BufferHolder): void {
    this.#totalBytes -= this.#bytesByHolder.get(holder) ?? 0
    this.#bytesByHolder.delete(holder)
  }

  #largest (): BufferHolder {
    let largest: BufferHolder | undefined
    for (const [holder, bytes] of this.#bytesByHolder) {
      if (!largest || bytes > this.#bytesByHolder.get(largest)!) largest = holder
    }
    return largest!
  }
}
