import { connect, type Socket } from 'node:net'

/** Response to one request, possibly incomplete. */
export interface RawResponse {
  /** 0 if the connection closed before the response head was complete. */
  status: number
  /** Whether the response says that the request was not run. */
  isNotRun: boolean
  /** First part of the body, enough to check which request it answers. */
  bodyStart: string
  isComplete: boolean
  isKeepAlive: boolean
}

const BODY_START_CHARS = 200
const HEAD_END = '\r\n\r\n'

/**
 * Minimal HTTP/1.1 client connection: one request at a time, and only responses with a content length. It does as
 * little as possible, so that the load generator measures its peer and not itself.
 */
export class RawConnection {
  readonly #socket: Socket
  #onResponse: ((response: RawResponse) => void) | undefined
  #buffered: Buffer | undefined
  #response: RawResponse | undefined
  #remainingBytes = 0
  isClosed = false

  constructor (port: number, host = '127.0.0.1') {
    this.#socket = connect({ port, host, noDelay: true })
    this.#socket.on('data', (chunk) => this.#read(chunk))
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => {
      this.isClosed = true
      this.#finish(false)
    })
  }

  send (head: string, body: Buffer | undefined, onResponse: (response: RawResponse) => void): void {
    this.#onResponse = onResponse
    if (body) {
      this.#socket.cork()
      this.#socket.write(head, 'latin1')
      this.#socket.write(body)
      this.#socket.uncork()
    } else {
      this.#socket.write(head, 'latin1')
    }
  }

  destroy (): void {
    this.#socket.destroy()
  }

  #read (chunk: Buffer): void {
    if (this.#response) return this.#readBody(chunk)
    const data = this.#buffered ? Buffer.concat([this.#buffered, chunk]) : chunk
    const end = data.indexOf(HEAD_END)
    if (end < 0) {
      this.#buffered = data
      return
    }
    this.#buffered = undefined
    const head = data.subarray(0, end + 2).toString('latin1').toLowerCase()
    this.#response = {
      status: Number(head.slice(9, 12)),
      isNotRun: head.includes('\r\nx-lentilwheel-not-run: 1\r\n'),
      bodyStart: '',
      isComplete: false,
      isKeepAlive: !head.includes('\r\nconnection: close\r\n')
    }
    this.#remainingBytes = contentLength(head)
    this.#readBody(data.subarray(end + HEAD_END.length))
  }

  #readBody (chunk: Buffer): void {
    const response = this.#response!
    if (response.bodyStart.length < BODY_START_CHARS) response.bodyStart += chunk.subarray(0, BODY_START_CHARS).toString('latin1')
    this.#remainingBytes -= chunk.length
    if (this.#remainingBytes < 0) this.#socket.destroy()
    else if (this.#remainingBytes === 0) this.#finish(true)
  }

  #finish (isComplete: boolean): void {
    const onResponse = this.#onResponse
    if (!onResponse) return
    const response = this.#response ?? { status: 0, isNotRun: false, bodyStart: '', isComplete, isKeepAlive: false }
    response.isComplete = isComplete
    this.#onResponse = undefined
    this.#response = undefined
    onResponse(response)
  }
}

function contentLength (head: string): number {
  const found = /\r\ncontent-length: (\d+)\r\n/.exec(head)
  return found ? Number(found[1]) : 0
}
