import type { Socket } from 'node:net'
import http2, { type Http2Server, type ServerHttp2Session, type ServerHttp2Stream } from 'node:http2'
import { errorCode } from '@lentilwheel/core'
import type { CallLog } from '../observe/callLog.js'
import type { InboundDesk } from '../inbound/inboundDesk.js'
import { decode, decodeCall, encode, encodeReply } from './codec.js'
import type { HopReply, SettleMessage, SyncMessage } from './messages.js'
import { MAX_CONCURRENT_STREAMS, MAX_MESSAGE_BYTES, PATHS, WINDOW_BYTES, WITHDRAWN } from './wire.js'

export interface HopServerOptions {
  address: string
  port: number
  desk: InboundDesk
  log: CallLog
  onSync (message: SyncMessage): SyncMessage
  /** The configuration in force, as it was read from the store. */
  onConfigAsked (): object
}

/** The side of the daemon that its peers talk to. */
export class NodeHopServer {
  readonly #opts: HopServerOptions
  readonly #server: Http2Server
  readonly #sessions = new Set<ServerHttp2Session>()

  constructor (opts: HopServerOptions) {
    this.#opts = opts
    this.#server = http2.createServer({
      settings: { initialWindowSize: WINDOW_BYTES, maxConcurrentStreams: MAX_CONCURRENT_STREAMS }
    })
    this.#server.on('connection', (socket: Socket) => socket.setNoDelay(true))
    this.#server.on('session', (session) => {
      this.#sessions.add(session)
      session.on('close', () => this.#sessions.delete(session))
      session.on('error', (err) => opts.log.decision('sessionError', { reason: err.message }))
    })
    this.#server.on('stream', (stream, headers) => this.#onStream(stream, String(headers[':path'])))
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#opts.port, this.#opts.address, resolve)
    })
  }

  close (): void {
    this.#server.close()
    for (const session of this.#sessions) session.close()
  }

  #onStream (stream: ServerHttp2Stream, path: string): void {
    const chunks: Buffer[] = []
    let bytes = 0
    stream.on('error', (err) => this.#opts.log.decision('streamError', { path, reason: err.message }))
    stream.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > MAX_MESSAGE_BYTES) return stream.close(WITHDRAWN)
      chunks.push(chunk)
    })
    stream.on('end', () => {
      if (stream.destroyed) return
      try {
        this.#onMessage(stream, path, Buffer.concat(chunks))
      } catch (err) {
        this.#opts.log.decision('badMessage', { path, code: errorCode(err), reason: (err as Error).message })
        stream.close(WITHDRAWN)
      }
    })
  }

  #onMessage (stream: ServerHttp2Stream, path: string, body: Buffer): void {
    const { desk } = this.#opts
    const send = (payload: Buffer): void => {
      if (stream.destroyed || stream.closed) return
      stream.respond({ ':status': 200 }, { sendDate: false } as object)
      stream.end(payload)
    }
    if (path === PATHS.call) {
      const message = decodeCall(body)
      let replied = false
      stream.on('close', () => {
        if (stream.rstCode === WITHDRAWN) desk.cancel(message.key)
        else if (!replied) desk.orphan(message.key)
      })
      desk.offer(message, (reply: HopReply) => {
        replied = true
        send(encodeReply(reply))
      })
    } else if (path === PATHS.settle) {
      const message = decode<SettleMessage>(body, ['key', 'incarnation'])
      stream.on('close', () => { if (stream.rstCode === WITHDRAWN) desk.cancel(message.key) })
      desk.settle(message.key, message.incarnation, (reply) => send(encodeReply(reply)))
    } else if (path === PATHS.sync) {
      send(encode(this.#opts.onSync(decode<SyncMessage>(body, ['from', 'records', 'facts', 'orders', 'reports', 'digest']))))
    } else if (path === PATHS.config) {
      send(encode(this.#opts.onConfigAsked()))
    } else {
      stream.close(WITHDRAWN)
    }
  }
}
