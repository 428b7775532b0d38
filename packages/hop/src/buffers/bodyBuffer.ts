const MIN_BLOCK_BYTES = 4 * 1024
const MAX_BLOCK_BYTES = 256 * 1024
/** Share of a body of known length that must have arrived before memory for all of it is allocated. */
const MIN_RECEIVED_SHARE = 0.25

/**
 * Collects a body that arrives in chunks in blocks that grow with it, so that many small chunks cost no more than a few large ones,
 * and a long body isn't copied as it grows.
 */
export class BodyBuffer {
  readonly #maxBytes: number
  readonly #firstBlockBytes: number
  readonly #fullBlocks: Buffer[] = []
  #block = Buffer.alloc(0)
  #blockLength = 0
  #length = 0
  #capacity = 0

  /**
   * `maxBytes`: length of the whole body if it is known, so that no more is allocated. `firstBlockBytes`: allocated at once, where the
   * sender can be trusted to send as much.
   */
  constructor (maxBytes = Infinity, firstBlockBytes = MIN_BLOCK_BYTES) {
    this.#maxBytes = maxBytes
    this.#firstBlockBytes = firstBlockBytes
  }

  /** Bytes appended so far. */
  get length (): number {
    return this.#length
  }

  /** Bytes of memory allocated. */
  get capacity (): number {
    return this.#capacity
  }

  append (chunk: Uint8Array): void {
    if (this.#isLongAndKnown) this.#allocateRest()
    for (let offset = 0; offset < chunk.length;) {
      if (this.#blockLength === this.#block.length) this.#addBlock(chunk.length - offset)
      const part = chunk.subarray(offset, offset + this.#block.length - this.#blockLength)
      this.#block.set(part, this.#blockLength)
      this.#blockLength += part.length
      this.#length += part.length
      offset += part.length
    }
  }

  /** Everything appended so far; without a copy if it fits into one block. */
  take (): Buffer {
    const lastBlock = this.#block.subarray(0, this.#blockLength)
    return this.#fullBlocks.length === 0 ? lastBlock : Buffer.concat([...this.#fullBlocks, lastBlock], this.#length)
  }

  /** Whether so much of a long body of known length has come that the rest can be expected. */
  get #isLongAndKnown (): boolean {
    return this.#maxBytes < Infinity && this.#fullBlocks.length > 0 && this.#length >= this.#maxBytes * MIN_RECEIVED_SHARE
  }

  /** Moves everything into one block for the whole body, so that it isn't copied when it is complete. */
  #allocateRest (): void {
    const whole = Buffer.allocUnsafe(this.#maxBytes)
    this.take().copy(whole)
    this.#fullBlocks.length = 0
    this.#block = whole
    this.#blockLength = this.#length
    this.#capacity = whole.length
  }

  #addBlock (neededBytes: number): void {
    if (this.#blockLength > 0) this.#fullBlocks.push(this.#block)
    const wantedBytes = this.#capacity === 0 ? this.#firstBlockBytes : Math.min(MAX_BLOCK_BYTES, Math.max(neededBytes, this.#capacity))
    const remainingBytes = Math.max(1, this.#maxBytes - this.#length)
    this.#block = Buffer.allocUnsafe(Math.min(wantedBytes, remainingBytes))
    this.#blockLength = 0
    this.#capacity += this.#block.length
  }
}
