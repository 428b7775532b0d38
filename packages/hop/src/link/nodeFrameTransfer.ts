import type { Socket } from 'node:net'
import type { BufferHolder } from '../buffers/bufferBudget.js'
import { encode } from './codec.js'
import { FRAME_KINDS, type Frame } from './frames.js'
import type { Transfer } from './sendQueue.js'

/** Longest frame that is sent whole. */
export const MAX_WHOLE_BYTES = 256 * 1024
/** Longest part of a longer one; the receiver copies a part with each chunk of it that arrives. */
const MAX_PART_BYTES = 128 * 1024

/** An encoded frame on its way to a connection, which may take several parts. */
export class FrameTransfer implements Transfer, BufferHolder {
  /** Called when it has to be dropped because the budget of the process is exceeded. */
  onEvicted: () => void = () => {}
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

  evict (): void {
    this.onEvicted()
  }

  write (maxBytes: number): number {
    const isWhole = this.#offset === 0 && this.#bytes.length <= Math.min(MAX_WHOLE_BYTES, maxBytes)
    const part = this.#bytes.subarray(this.#offset, isWhole ? undefined : this.#offset + Math.min(MAX_PART_BYTES, Math.ceil(maxBytes)))
    const isFirst = this.#offset === 0
    this.#offset += part.length
    this.#write(isWhole ? this.#bytes : this.#encodePart(part, isFirst))
    return part.length
  }

  /** Tells the peer to forget the parts that it has of a frame that is not sent to its end. */
  abort (): void {
    if (this.#offset > 0 && this.remaining > 0) this.#write(encode([FRAME_KINDS.abortedParts, this.#id] satisfies Frame))
  }

  /** The first part tells the length of the whole frame. */
  #encodePart (part: Buffer, isFirst: boolean): Buffer {
    const kind = this.remaining > 0 ? FRAME_KINDS.part : FRAME_KINDS.lastPart
    const frame: Frame = isFirst ? [kind, this.#id, part, this.#bytes.length] : [kind, this.#id, part]
    return encode(frame)
  }
}
