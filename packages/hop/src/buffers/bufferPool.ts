/** Something that keeps bytes until a message is whole. */
export interface BufferHolder {
  /** Drops the message and closes the connection on which it came. */
  giveUp (limitBytes: number): void
}

/**
 * Bounds the bytes that all unfinished messages of a process hold together. When they pass the bound, the holder with
 * most of them gives up, so that a message without end costs other calls nothing.
 */
export class BufferPool {
  readonly #limitBytes: number
  readonly #held = new Map<BufferHolder, number>()
  #total = 0

  constructor (limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  /** Bytes held at present. */
  get total (): number {
    return this.#total
  }

  /** Counts bytes that a holder keeps from now on; the holder may have to give up before this returns. */
  grow (holder: BufferHolder, bytes: number): void {
    this.#held.set(holder, (this.#held.get(holder) ?? 0) + bytes)
    this.#total += bytes
    while (this.#total > this.#limitBytes) {
      const largest = this.#largest()
      this.release(largest)
      largest.giveUp(this.#limitBytes)
    }
  }

  /** A holder's message is whole or dropped. */
  release (holder: BufferHolder): void {
    this.#total -= this.#held.get(holder) ?? 0
    this.#held.delete(holder)
  }

  #largest (): BufferHolder {
    let largest: BufferHolder | undefined
    for (const [holder, bytes] of this.#held) {
      if (!largest || bytes > this.#held.get(largest)!) largest = holder
    }
    return largest!
  }
}
