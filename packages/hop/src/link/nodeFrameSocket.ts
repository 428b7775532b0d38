import { Unpackr, UnpackrStream } from 'msgpackr'
import type { Socket } from 'node:net'
import { errorCode, type Timers } from '@lentilwheel/core'
import { BadMessage } from '../errors.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import { encode } from './codec.js'
import { FRAME_KINDS, readFrameHeader, type Frame } from './frames.js'
import { FrameTransfer, MAX_WHOLE_BYTES } from './nodeFrameTransfer.js'
import { PartAssembler } from './partAssembler.js'
import type { SendQueue } from './sendQueue.js'
import { CONTROL_URGENCY } from './urgency.js'

export interface FrameSocketOptions {
  timers: Pick<Timers, 'now'>
  /** Queue of this host's link. */
  queue: SendQueue
  /** Budget for what is held of incomplete messages, and of replies that wait; absent for none. */
  budget?: BufferBudget
  /** Called with the kind and the exchange id of a received message that was dropped for want of memory. */
  onDropped? (kind: number, exchangeId: number): void
  onFrame (frame: Frame): void
  onClose (reason: string): void
}

/** A frame that was handed over for sending. */
export interface SentFrame {
  /** Whether bytes of it wait for the link. */
  readonly isWaiting: boolean
  /** Drops it if bytes of it wait: true if the peer doesn't get it. */
  revoke (): boolean
}

/** Limit for buffering incomplete messages of a peer that come in parts; a longer message closes the connection. */
const MAX_MESSAGE_BYTES = 80 * 1024 * 1024
/** Limit for what a peer sends whole, or as one part, which its budget doesn't count. */
const MAX_FRAME_BYTES = 2 * MAX_WHOLE_BYTES
/** Shorter frames are written also while the peer takes none. */
const MIN_WAITING_BYTES = 16 * 1024
const SENT: SentFrame = { isWaiting: false, revoke: () => false }
const UNPACK_OPTIONS = { useRecords: false, int64AsType: 'number' } as const

/**
 * Sends and receives frames over one TCP connection, as consecutive MessagePack values. Frames wait for their turn at the link of this
 * host and may overtake each other. A malformed frame closes the connection.
 */
export class FrameSocket {
  readonly #socket: Socket
  readonly #opts: FrameSocketOptions
  readonly #unpackr = new Unpackr(UNPACK_OPTIONS as object)
  readonly #parts: PartAssembler
  /** Frames that wait for the link, and what drops them. */
  readonly #waiting = new Map<FrameTransfer, () => void>()
  #lastTransferId = 0
  #closeReason = 'closed'
  #isCorked = false
  #isEnding = false
  /** Monotonic milliseconds at which the last bytes arrived. */
  lastReceivedAt: number

  constructor (socket: Socket, opts: FrameSocketOptions) {
    this.#socket = socket
    this.#opts = opts
    this.lastReceivedAt = opts.timers.now()
    this.#parts = new PartAssembler(MAX_MESSAGE_BYTES, opts.budget, (firstPart) => this.#onEvicted(firstPart))
    const unpackr = new UnpackrStream({ ...UNPACK_OPTIONS, maxIncompleteBufferSize: MAX_FRAME_BYTES } as object)
    unpackr.on('data', (value: unknown) => this.#onValue(value))
    unpackr.on('error', (err: Error) => this.destroy(err.message))
    socket.on('data', (chunk: Buffer) => {
      this.lastReceivedAt = opts.timers.now()
      unpackr.write(chunk)
    })
    socket.on('drain', () => opts.queue.resume())
    socket.on('error', (err) => { this.#closeReason = err.message })
    socket.on('end', () => socket.end())
    socket.on('close', () => {
      for (const [transfer, drop] of this.#waiting) {
        drop()
        opts.budget?.release(transfer)
      }
      this.#waiting.clear()
      this.#parts.clear()
      opts.onClose(this.#closeReason)
    })
  }

  /** Sends a frame when it is its turn. `onEvicted`: counts it against the budget while it waits, and is called if it is dropped for that. */
  send (frame: Frame, urgency = CONTROL_URGENCY, onEvicted?: () => void): SentFrame {
    if (this.#socket.destroyed || this.#socket.writableEnded) return SENT
    const { queue } = this.#opts
    const bytes = encode(frame)
    if (this.#hasToWait(bytes.length) || !queue.trySendNow(bytes.length)) return this.#enqueue(bytes, urgency, onEvicted)
    this.#write(bytes)
    return SENT
  }

  /** Long frames, and shorter ones as well while the peer takes none, are not left to the connection: what it has can't be dropped. */
  #hasToWait (bytes: number): boolean {
    return bytes > MAX_WHOLE_BYTES || (bytes > MIN_WAITING_BYTES && this.#socket.writableNeedDrain)
  }

  /** Bytes that the connection has not taken yet. */
  get unsentBytes (): number {
    return this.#socket.writableLength
  }

  /** Closes the connection once everything sent so far is flushed. */
  end (): void {
    this.#isEnding = true
    if (this.#waiting.size === 0) this.#socket.end()
  }

  /** Closes the connection at once; `reason` is passed to `onClose`. */
  destroy (reason: string): void {
    this.#closeReason = reason
    this.#socket.destroy()
  }

  #enqueue (bytes: Buffer, urgency: number, onEvicted?: () => void): SentFrame {
    const transfer = new FrameTransfer(this.#socket, (part) => this.#write(part), ++this.#lastTransferId, bytes, urgency)
    transfer.onEvicted = () => {
      this.#revoke(transfer)
      onEvicted?.()
    }
    const drop = this.#opts.queue.submit(transfer, () => this.#onSent(transfer))
    if (transfer.remaining === 0) return SENT
    this.#waiting.set(transfer, drop)
    if (onEvicted) this.#opts.budget?.grow(transfer, bytes.length)
    const waiting = this.#waiting
    return {
      get isWaiting () { return waiting.has(transfer) },
      revoke: () => {
        if (waiting.has(transfer)) this.#revoke(transfer)
        return transfer.remaining > 0
      }
    }
  }

  #revoke (transfer: FrameTransfer): void {
    this.#waiting.get(transfer)?.()
    transfer.abort()
    this.#onSent(transfer)
  }

  #onSent (transfer: FrameTransfer): void {
    if (this.#waiting.delete(transfer)) this.#opts.budget?.release(transfer)
    if (this.#isEnding && this.#waiting.size === 0) this.#socket.end()
  }

  /** Writes made in the same tick are combined into one. */
  #write (bytes: Buffer): void {
    if (!this.#isCorked) {
      this.#isCorked = true
      this.#socket.cork()
      process.nextTick(() => {
        this.#isCorked = false
        this.#socket.uncork()
      })
    }
    this.#socket.write(bytes)
  }

  /** The first bytes of a message are those of its frame: an array of three, its kind and its exchange id. */
  #onEvicted (firstPart: Uint8Array): void {
    const header = readFrameHeader(firstPart)
    if (header) this.#opts.onDropped?.(...header)
    else this.destroy('a message that had to be dropped is not a frame')
  }

  /** What arrives after the end can't be answered any more. */
  #onValue (value: unknown): void {
    if (this.#socket.writableEnded) return
    try {
      this.#onFrame(toFrame(value))
    } catch (err) {
      this.destroy(`${errorCode(err)}: ${(err as Error).message}`)
    }
  }

  #onFrame (frame: Frame): void {
    const [kind, id, payload, totalBytes] = frame
    switch (kind) {
      case FRAME_KINDS.part:
      case FRAME_KINDS.lastPart: {
        const whole = this.#parts.add(id, payload, kind === FRAME_KINDS.lastPart, totalBytes)
        if (whole) this.#opts.onFrame(toFrame(this.#unpackr.unpack(whole)))
        return
      }
      case FRAME_KINDS.abortedParts:
        return this.#parts.drop(id)
      default:
        return this.#opts.onFrame(frame)
    }
  }
}

function toFrame (value: unknown): Frame {
  if (!Array.isArray(value) || typeof value[0] !== 'number' || typeof value[1] !== 'number') {
    throw new BadMessage('value from a peer is not a frame')
  }
  return value as unknown as Frame
}
