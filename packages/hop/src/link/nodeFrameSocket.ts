import { UnpackrStream } from 'msgpackr'
import type { Socket } from 'node:net'
import { errorCode, type Timers } from '@lentilwheel/core'
import { BadMessage } from '../errors.js'
import { encode } from './codec.js'

/** Kinds of frames between two daemons. The side that opened the connection sends requests, the other side answers them. */
export const FRAME_KINDS = { call: 1, cancel: 2, settle: 3, sync: 4, config: 5, reply: 6, ping: 7, pong: 8 } as const
export type FrameKind = typeof FRAME_KINDS[keyof typeof FRAME_KINDS]

/** `exchangeId` pairs a reply with its request on one connection. */
export type Frame = readonly [kind: FrameKind, exchangeId: number, payload?: unknown]

export interface FrameSocketOptions {
  timers: Pick<Timers, 'now'>
  onFrame (frame: Frame): void
  onClose (reason: string): void
}

/** Limit for buffering an incomplete message of a peer; a longer message closes the connection. */
const MAX_MESSAGE_BYTES = 80 * 1024 * 1024

/** Sends and receives frames over one TCP connection, as consecutive MessagePack values. A malformed frame closes the connection. */
export class FrameSocket {
  readonly #socket: Socket
  readonly #opts: FrameSocketOptions
  #closeReason = 'closed'
  #isCorked = false
  /** Monotonic milliseconds at which the last bytes arrived. */
  lastReceivedAt: number

  constructor (socket: Socket, opts: FrameSocketOptions) {
    this.#socket = socket
    this.#opts = opts
    this.lastReceivedAt = opts.timers.now()
    const unpackr = new UnpackrStream({ useRecords: false, int64AsType: 'number', maxIncompleteBufferSize: MAX_MESSAGE_BYTES } as object)
    unpackr.on('data', (value: unknown) => this.#onValue(value))
    unpackr.on('error', (err: Error) => this.destroy(err.message))
    socket.on('data', (chunk: Buffer) => {
      this.lastReceivedAt = opts.timers.now()
      unpackr.write(chunk)
    })
    socket.on('error', (err) => { this.#closeReason = err.message })
    socket.on('end', () => socket.end())
    socket.on('close', () => opts.onClose(this.#closeReason))
  }

  /** Sends a frame. Frames sent in the same tick are combined into one write. */
  send (frame: Frame): void {
    if (this.#socket.destroyed) return
    if (!this.#isCorked) {
      this.#isCorked = true
      this.#socket.cork()
      process.nextTick(() => {
        this.#isCorked = false
        this.#socket.uncork()
      })
    }
    this.#socket.write(encode(frame))
  }

  get unsentBytes (): number {
    return this.#socket.writableLength
  }

  /** Closes the connection once everything sent so far is flushed. */
  end (): void {
    this.#socket.end()
  }

  /** Closes the connection at once; `reason` is passed to `onClose`. */
  destroy (reason: string): void {
    this.#closeReason = reason
    this.#socket.destroy()
  }

  #onValue (value: unknown): void {
    try {
      if (!Array.isArray(value) || typeof value[0] !== 'number' || typeof value[1] !== 'number') {
        throw new BadMessage('value from a peer is not a frame')
      }
      this.#opts.onFrame(value as unknown as Frame)
    } catch (err) {
      this.destroy(`${errorCode(err)}: ${(err as Error).message}`)
    }
  }
}
