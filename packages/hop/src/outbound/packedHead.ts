/**
 * The headers of a request in one buffer, for the time in which its body arrives. As a list of texts, a head of many short lines takes several
 * times its bytes, and in the JavaScript heap.
 */
export class PackedHead {
  readonly #bytes: Buffer

  /** `raw`: names and values alternate; HTTP allows a line break in neither. */
  constructor (raw: readonly string[]) {
    this.#bytes = Buffer.from(raw.join('\n'), 'latin1')
  }

  get length (): number {
    return this.#bytes.length
  }

  unpack (): string[] {
    return this.#bytes.toString('latin1').split('\n')
  }
}
