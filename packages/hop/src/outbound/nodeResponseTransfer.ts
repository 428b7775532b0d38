import type { ServerResponse } from 'node:http'
import type { SendQueue, Transfer } from '../link/sendQueue.js'

/** Bytes of a response besides its body, about. */
const HEAD_BYTES = 300
/** Longest piece that a connection is given at once, so that a response that isn't read waits here and not in the connection. */
const MAX_PIECE_BYTES = 256 * 1024

/**
 * Ends a response, whose head is set already, with a body that waits for its turn at the link of this host. Returns a function that
 * drops what has not been written, if anything waits.
 */
export function sendBody (res: ServerResponse, body: Uint8Array, urgency: number, queue: SendQueue): (() => void) | undefined {
  if (body.length === 0 || (body.length <= MAX_PIECE_BYTES && queue.trySendNow(body.length + HEAD_BYTES))) {
    res.end(body)
    return undefined
  }
  res.on('drain', () => queue.resume())
  return queue.submit(new ResponseTransfer(res, body, urgency))
}

/** The body of a response on its way to a caller. */
class ResponseTransfer implements Transfer {
  readonly urgency: number
  readonly #res: ServerResponse
  readonly #body: Uint8Array
  #offset = 0

  constructor (res: ServerResponse, body: Uint8Array, urgency: number) {
    this.#res = res
    this.#body = body
    this.urgency = urgency
  }

  get remaining (): number {
    return this.#body.length - this.#offset
  }

  isBlocked (): boolean {
    return this.#res.writableNeedDrain
  }

  write (maxBytes: number): number {
    const part = this.#body.subarray(this.#offset, this.#offset + Math.min(MAX_PIECE_BYTES, Math.ceil(maxBytes)))
    this.#offset += part.length
    if (this.remaining > 0) this.#res.write(part)
    else this.#res.end(part)
    return part.length
  }
}
