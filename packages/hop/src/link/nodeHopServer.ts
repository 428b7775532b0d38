import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import { BadMessage } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { InboundDesk } from '../inbound/inboundDesk.js'
import type { ConfigDelta } from '../routing/configDelta.js'
import { checked, packReply, unpackCall } from './codec.js'
import type { HopReply, SettleMessage, SyncMessage } from './messages.js'
import { FRAMES, FrameSocket, type Frame } from './nodeFrameSocket.js'
import { checkedSync } from './syncCheck.js'

export interface HopServerOptions {
  address: string
  port: number
  timers: Timers
  desk: InboundDesk
  log: CallLog
  onSync (message: SyncMessage): SyncMessage
  /** What the configuration in force changes in the version that the peer has. */
  onConfigAsked (have: number): ConfigDelta | undefined
}

/** The side of the daemon that its peers talk to. */
export class NodeHopServer {
  readonly #opts: HopServerOptions
  readonly #server: Server
  readonly #peers = new Set<FrameSocket>()

  constructor (opts: HopServerOptions) {
    this.#opts = opts
    this.#server = createServer({ noDelay: true }, (socket) => this.#onPeer(socket))
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#opts.port, this.#opts.address, resolve)
    })
  }

  /** Port that the server listens on. */
  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    this.#server.close()
    for (const peer of this.#peers) peer.end()
  }

  #onPeer (socket: Socket): void {
    const { desk, log, timers } = this.#opts
    /** Keys of the calls under way on this connection, by exchange. */
    const calls = new Map<number, string>()
    const peer = new FrameSocket(socket, {
      timers,
      onFrame: (frame) => this.#onFrame(peer, calls, frame),
      onClose: (reason) => {
        this.#peers.delete(peer)
        if (calls.size > 0) log.decision('peerClosed', { address: socket.remoteAddress, reason, calls: calls.size })
        for (const key of calls.values()) desk.orphan(key)
      }
    })
    this.#peers.add(peer)
  }

  #onFrame (peer: FrameSocket, calls: Map<number, string>, [kind, exchange, payload]: Frame): void {
    const { desk } = this.#opts
    const reply = (answer: HopReply): void => {
      calls.delete(exchange)
      peer.send([FRAMES.reply, exchange, packReply(answer)])
    }
    switch (kind) {
      case FRAMES.call: {
        const message = unpackCall(payload)
        calls.set(exchange, message.key)
        return desk.offer(message, reply)
      }
      case FRAMES.settle: {
        const message = checked<SettleMessage>(payload, ['key', 'incarnation'])
        calls.set(exchange, message.key)
        return desk.settle(message.key, message.incarnation, reply)
      }
      case FRAMES.withdraw: {
        const key = calls.get(exchange)
        if (!calls.delete(exchange)) return
        return desk.cancel(key!)
      }
      case FRAMES.sync: {
        return peer.send([FRAMES.reply, exchange, this.#opts.onSync(checkedSync(payload))])
      }
      case FRAMES.config:
        return peer.send([FRAMES.reply, exchange, this.#opts.onConfigAsked(checked<{ have: number }>(payload, ['have']).have)])
      case FRAMES.ping:
        return peer.send([FRAMES.pong, 0])
      default:
        throw new BadMessage(`a peer sent a frame of kind ${kind}`)
    }
  }
}
