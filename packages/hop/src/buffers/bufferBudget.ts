/** Something that holds bytes for another process until they are complete, sent or no longer wanted. */
export interface BufferHolder {
  /** Drops what it holds and closes the connection on which that came or was to be sent. */
  evict (limitBytes: number): void
}

export interface Churn {
  readonly bytes: number
  onReached (): void
}

/**
 * Limits the bytes that all holders of the process hold together. When the limit is exceeded, the holder of the most bytes is
 * evicted, so that one that takes too much doesn't harm the others.
 */
export class BufferBudget {
  readonly #limitBytes: number
  readonly #minOthersBytes: number
  readonly #bytesByHolder = new Map<BufferHolder, number>()
  readonly #churn: Churn | undefined
  #addedBytes = 0
  #heldBytes = 0
  #reservedBytes = 0

  /**
   * `minOthersShare`: share of the limit that the other holders must hold together for the largest one to be evicted. A single large
   * message is then served while there is little else, even if it exceeds the limit for a moment. `churn`: what to do each time that so
   * many bytes have been added.
   */
  constructor (limitBytes: number, minOthersShare = 0, churn?: Churn) {
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
    this.#bytesByHolder.set(holder, (this.#bytesByHolder.get(holder) ?? 0) + bytes)
    this.#heldBytes += bytes
    this.#countAdded(bytes)
    this.#evictLargest()
  }

  /** Adds bytes that can't be given up, as those of a request that a target is at work on. Any holder may be evicted before this returns. */
  reserve (bytes: number): void {
    this.#reservedBytes += bytes
    this.#evictLargest()
  }

  /** Frees bytes that were added by `reserve`. */
  unreserve (bytes: number): void {
    this.#reservedBytes -= bytes
  }

  /** Frees some bytes of a holder; fewer if it has been evicted since. */
  shrink (holder: BufferHolder, bytes: number): void {
    const heldBytes = this.#bytesByHolder.get(holder)
    if (heldBytes === undefined) return
    if (bytes >= heldBytes) return this.release(holder)
    this.#bytesByHolder.set(holder, heldBytes - bytes)
    this.#heldBytes -= bytes
  }

  /** Frees all bytes of a holder, whose message is complete or was dropped. */
  release (holder: BufferHolder): void {
    this.#heldBytes -= this.#bytesByHolder.get(holder) ?? 0
    this.#bytesByHolder.delete(holder)
  }

  #countAdded (bytes: number): void {
    if (!this.#churn) return
    this.#addedBytes += bytes
    if (this.#addedBytes < this.#churn.bytes) return
    this.#addedBytes = 0
    this.#churn.onReached()
  }

  #evictLargest (): void {
    while (this.totalBytes > this.#limitBytes) {
      const largest = this.#largest()
      if (!largest) return
      const [holder, heldBytes] = largest
      if (this.#heldBytes - heldBytes < this.#minOthersBytes) return
      this.release(holder)
      holder.evict(this.#limitBytes)
    }
  }

  #largest (): [BufferHolder, number] | undefined {
    let largest: [BufferHolder, number] | undefined
    for (const entry of this.#bytesByHolder) if (!largest || entry[1] > largest[1]) largest = entry
    return largest
  }
}
