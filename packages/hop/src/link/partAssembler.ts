import { BodyBuffer } from '../buffers/bodyBuffer.js'
import type { BufferBudget, BufferHolder } from '../buffers/bufferBudget.js'
import { BadMessage } from '../errors.js'

/** A message of which the last part has not arrived. */
interface PartialMessage extends BufferHolder {
  /** What has arrived; undefined once it has been dropped for want of memory. The parts that follow are ignored. */
  received: BodyBuffer | undefined
  firstPart: Uint8Array
}

/** Puts messages together that arrive in parts, of which those of several messages may alternate. */
export class PartAssembler {
  readonly #maxBytes: number
  readonly #budget: BufferBudget | undefined
  readonly #onEvict: (firstPart: Uint8Array) => void
  readonly #messages = new Map<number, PartialMessage>()
  #bytes = 0

  /**
   * `maxBytes`: limit on the bytes of all incomplete messages together. `onEvict`: called with the first part of a message that was
   * dropped because the budget of the process was exceeded.
   */
  constructor (maxBytes: number, budget?: BufferBudget, onEvict: (firstPart: Uint8Array) => void = () => {}) {
    this.#maxBytes = maxBytes
    this.#budget = budget
    this.#onEvict = onEvict
  }

  /**
   * Adds the next part of a message, and returns the message if it is the last one; throws BadMessage if there is too much. `totalBytes`:
   * length of the whole message, if its first part tells it.
   */
  add (message: number, part: unknown, isLast: boolean, totalBytes?: number): Buffer | undefined {
    if (!(part instanceof Uint8Array)) throw new BadMessage('part of a message from a peer is not binary')
    const partial = this.#messages.get(message) ?? this.#start(message, part, totalBytes)
    if (partial.received) this.#append(partial, partial.received, part)
    return isLast ? this.#take(message) : undefined
  }

  /** Forgets a message whose sender has dropped it. */
  drop (message: number): void {
    this.#remove(message)
  }

  /** Forgets all messages, as their connection has closed. */
  clear (): void {
    for (const message of this.#messages.keys()) this.#remove(message)
  }

  #start (message: number, firstPart: Uint8Array, totalBytes?: number): PartialMessage {
    const isLengthKnown = typeof totalBytes === 'number' && totalBytes <= this.#maxBytes
    const received = new BodyBuffer(isLengthKnown ? totalBytes : Infinity)
    const partial: PartialMessage = { received, firstPart, evict: () => this.#evict(partial) }
    this.#messages.set(message, partial)
    return partial
  }

  #append (partial: PartialMessage, received: BodyBuffer, part: Uint8Array): void {
    received.append(part)
    this.#bytes += part.length
    if (this.#bytes > this.#maxBytes) throw new BadMessage('incomplete messages from a peer are too large')
    this.#budget?.grow(partial, part.length)
  }

  #evict (partial: PartialMessage): void {
    this.#bytes -= partial.received?.length ?? 0
    partial.received = undefined
    this.#onEvict(partial.firstPart)
  }

  #take (message: number): Buffer | undefined {
    return this.#remove(message)?.received?.take()
  }

  #remove (message: number): PartialMessage | undefined {
    const partial = this.#messages.get(message)
    if (!partial) return undefined
    this.#messages.delete(message)
    this.#budget?.release(partial)
    this.#bytes -= partial.received?.length ?? 0
    return partial
  }
}
