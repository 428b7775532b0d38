import { UnpackrStream } from 'msgpackr'
import type { Socket } from 'node:net'
import { errorCode, type Timers } from '@lentilwheel/core'
import { BadMessage } from '../errors.js'
import { encode } from './codec.js'

/** Kinds of frames between two daemons; the side that opened the connection asks, the other answers. */
export const FRAMES = { call: 1, withdraw: 2, settle: 3, sync: 4, config: 5, reply: 6, ping: 7, pong: 8 } as const
export type FrameKind = typeof FRAMES[keyof typeof FRAMES]

/** Kind, number of the exchange on its connection, and payload. */
export type Frame = readonly [kind: FrameKind, exchange: number, payload?: unknown]

export interface FrameSocketOptions {
  timers: Pick<Timers, 'now'>
  onFrame (frame: Frame): void
  onClose (reason: string): void
}

/** Largest message of a peer that is put together. */
const MAX_MESSAGE_BYTES = 80 * 1024 * 1024

/** Frames over one TCP connection: MessagePack values one after the other. */
export class FrameSocket {
  readonly #socket: Socket
  readonly #opts: FrameSocketOptions
  #reason = 'closed'
  #corked = false
  heardAt: number

  constructor (socket: Socket, opts: FrameSocketOptions) {
    this.#socket = socket
    this.#opts = opts
    this.heardAt = opts.timers.now()
    const unpackr = new UnpackrStream({ useRecords: false, int64AsType: 'number', maxIncompleteBufferSize: MAX_MESSAGE_BYTES } as object)
    unpackr.on('data', (value: unknown) => this.#onValue(value))
    unpackr.on('error', (err: Error) => this.destroy(err.message))
    socket.on('data', (chunk: Buffer) => {
      this.heardAt = opts.timers.now()
      unpackr.write(chunk)
    })
    socket.on('error', (err) => { this.#reason = err.message })
    socket.on('end', () => socket.end())
    socket.on('close', () => opts.onClose(this.#reason))
  }

  /** Frames sent at the same time go out in one write. */
  send (frame: Frame): void {
    if (this.#socket.destroyed) return
    if (!this.#corked) {
      this.#corked = true
      this.#socket.cork()
      process.nextTick(() => {
        this.#corked = false
        this.#socket.uncork()
      })
    }
    this.#socket.write(encode(frame))
  }

  /** Ends the connection after what has been sent. */
  end (): void {
    this.#socket.end()
  }

  destroy (reason: string): void {
    this.#reason = reason
    this.#socket.destroy()
  }

  #onValue (value: unknown): void {
    try {
      if (!Array.isArray(value) || typeof value[0] !== 'number' || typeof value[1] !== 'number') {
        throw new BadMessage('a peer sent something that is no frame')
      }
      this.#opts.onFrame(value as unknown as Frame)
    } catch (err) {
      this.destroy(`${errorCode(err)}: ${(err as Error).message}`)
    }
  }
}
