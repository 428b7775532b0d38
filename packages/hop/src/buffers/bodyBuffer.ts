const FIRST_BYTES = 4 * 1024

/** Bytes of a body that arrives in pieces, in one buffer, so that many small pieces cost no more than a few large ones. */
export class BodyBuffer {
  #bytes = Buffer.alloc(0)
  #length = 0

  get length (): number {
    return this.#length
  }

  /** Bytes of memory that are taken. */
  get capacity (): number {
    return this.#bytes.length
  }

  append (piece: Uint8Array): void {
    const needed = this.#length + piece.length
    if (needed > this.#bytes.length) this.#enlarge(needed)
    this.#bytes.set(piece, this.#length)
    this.#length = needed
  }

  /** Everything appended so far. */
  take (): Buffer {
    return this.#bytes.subarray(0, this.#length)
  }

  #enlarge (needed: number): void {
    const larger = Buffer.allocUnsafe(Math.max(needed, 2 * this.#bytes.length, FIRST_BYTES))
    this.#bytes.copy(larger, 0, 0, this.#length)
    this.#bytes = larger
  }
}
