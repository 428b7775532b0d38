const INITIAL_CAPACITY_BYTES = 4 * 1024

/**
 * Collects a body that arrives in chunks in one growing buffer. Its capacity at least doubles each time, so that many
 * small chunks cost no more than a few large ones.
 */
export class BodyBuffer {
  #buffer = Buffer.alloc(0)
  #length = 0

  /** Bytes appended so far. */
  get length (): number {
    return this.#length
  }

  /** Bytes of memory allocated. */
  get capacity (): number {
    return this.#buffer.length
  }

  append (chunk: Uint8Array): void {
    const neededBytes = this.#length + chunk.length
    if (neededBytes > this.#buffer.length) this.#enlarge(neededBytes)
    this.#buffer.set(chunk, this.#length)
    this.#length = neededBytes
  }

  /** Everything appended so far, without a copy. */
  take (): Buffer {
    return this.#buffer.subarray(0, this.#length)
  }

  #enlarge (neededBytes: number): void {
    const larger = Buffer.allocUnsafe(Math.max(neededBytes, 2 * this.#buffer.length, INITIAL_CAPACITY_BYTES))
    this.#buffer.copy(larger, 0, 0, this.#length)
    this.#buffer = larger
  }
}
