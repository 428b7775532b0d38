import { connect, type Socket } from 'node:net'

/** What a connection got for one request. */
export interface RawAnswer {
  status: number
  notRun: boolean
  /** First part of the body, enough to check whose answer it is. */
  bodyStart: string
  complete: boolean
  keepAlive: boolean
}

const BODY_START_CHARS = 200
const HEAD_END = '\r\n\r\n'

/**
 * A connection that carries one request at a time and reads answers with a content length only. It does as little
 * as possible, so that a load process measures its peer and not itself.
 */
export class RawConnection {
  readonly #socket: Socket
  #onAnswer: ((answer: RawAnswer) => void) | undefined
  #buffered: Buffer | undefined
  #answer: RawAnswer | undefined
  #left = 0
  closed = false

  constructor (port: number, host = '127.0.0.1') {
    this.#socket = connect({ port, host, noDelay: true })
    this.#socket.on('data', (chunk) => this.#read(chunk))
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => {
      this.closed = true
      this.#finish(false)
    })
  }

  send (head: string, body: Buffer | undefined, onAnswer: (answer: RawAnswer) => void): void {
    this.#onAnswer = onAnswer
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
    if (this.#answer) return this.#readBody(chunk)
    const data = this.#buffered ? Buffer.concat([this.#buffered, chunk]) : chunk
    const end = data.indexOf(HEAD_END)
    if (end < 0) {
      this.#buffered = data
      return
    }
    this.#buffered = undefined
    const head = data.subarray(0, end + 2).toString('latin1').toLowerCase()
    this.#answer = {
      status: Number(head.slice(9, 12)),
      notRun: head.includes('\r\nx-lentilwheel-not-run: 1\r\n'),
      bodyStart: '',
      complete: false,
      keepAlive: !head.includes('\r\nconnection: close\r\n')
    }
    this.#left = contentLength(head)
    this.#readBody(data.subarray(end + HEAD_END.length))
  }

  #readBody (chunk: Buffer): void {
    const answer = this.#answer!
    if (answer.bodyStart.length < BODY_START_CHARS) answer.bodyStart += chunk.subarray(0, BODY_START_CHARS).toString('latin1')
    this.#left -= chunk.length
    if (this.#left < 0) this.#socket.destroy()
    else if (this.#left === 0) this.#finish(true)
  }

  #finish (complete: boolean): void {
    const onAnswer = this.#onAnswer
    if (!onAnswer) return
    const answer = this.#answer ?? { status: 0, notRun: false, bodyStart: '', complete, keepAlive: false }
    answer.complete = complete
    this.#onAnswer = undefined
    this.#answer = undefined
    onAnswer(answer)
  }
}

function contentLength (head: string): number {
  const found = /\r\ncontent-length: (\d+)\r\n/.exec(head)
  return found ? Number(found[1]) : 0
}
