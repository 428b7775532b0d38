import { BadMessage } from '../errors.js'

/** Puts messages together that arrive in parts, of which those of several messages may alternate. */
export class PartAssembler {
  readonly #maxBytes: number
  readonly #parts = new Map<number, Uint8Array[]>()
  #bytes = 0

  /** `maxBytes`: limit on the bytes of all incomplete messages together. */
  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /** Adds the next part of a message, and returns the message if it is the last one; throws BadMessage if there is too much. */
  add (message: number, part: unknown, isLast: boolean): Buffer | undefined {
    if (!(part instanceof Uint8Array)) throw new BadMessage('part of a message from a peer is not binary')
    const parts = this.#parts.get(message)
    if (parts) parts.push(part)
    else this.#parts.set(message, [part])
    this.#bytes += part.length
    if (this.#bytes > this.#maxBytes) throw new BadMessage('incomplete messages from a peer are too large')
    return isLast ? this.#take(message) : undefined
  }

  /** Forgets a message whose sender has dropped it. */
  drop (message: number): void {
    this.#take(message)
  }

  #take (message: number): Buffer {
    const whole = Buffer.concat(this.#parts.get(message) ?? [])
    this.#parts.delete(message)
    this.#bytes -= whole.length
    return whole
  }
}
