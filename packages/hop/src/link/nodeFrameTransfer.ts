import type { Socket } from 'node:net'
import { encode } from './codec.js'
import { FRAME_KINDS, type Frame } from './frames.js'
import type { Transfer } from './sendQueue.js'

/** An encoded frame on its way to a connection, which may take several parts. */
export class FrameTransfer implements Transfer {
  readonly urgency: number
  readonly #socket: Socket
  readonly #write: (bytes: Buffer) => void
  readonly #id: number
  readonly #bytes: Buffer
  #offset = 0

  /** `id`: identifies the frame on its connection if it is sent in parts. */
  constructor (socket: Socket, write: (bytes: Buffer) => void, id: number, bytes: Buffer, urgency: number) {
    this.#socket = socket
    this.#write = write
    this.#id = id
    this.#bytes = bytes
    this.urgency = urgency
  }

  get remaining (): number {
    return this.#bytes.length - this.#offset
  }

  isBlocked (): boolean {
    return this.#socket.writableNeedDrain
  }

  write (maxBytes: number): number {
    const isWhole = this.#offset === 0 && this.#bytes.length <= maxBytes
    const part = this.#bytes.subarray(this.#offset, this.#offset + Math.ceil(maxBytes))
    this.#offset += part.length
    this.#write(isWhole ? this.#bytes : this.#encodePart(part))
    return part.length
  }

  /** Tells the peer to forget the parts that it has of a frame that is not sent to its end. */
  abort (): void {
    if (this.#offset > 0 && this.remaining > 0) this.#write(encode([FRAME_KINDS.abortedParts, this.#id] satisfies Frame))
  }

  #encodePart (part: Buffer): Buffer {
    const kind = this.remaining > 0 ? FRAME_KINDS.part : FRAME_KINDS.lastPart
    return encode([kind, this.#id, part] satisfies Frame)
  }
}
