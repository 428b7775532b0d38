import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { LoopLag } from '../daemon/nodeLoopLag.js'
import { BadMessage } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { InboundHandler } from '../inbound/inboundHandler.js'
import type { ConfigDelta } from '../routing/configDelta.js'
import { packReply, unpackCall, validateFields } from './codec.js'
import type { HopReply, SettleMessage, SyncMessage } from './messages.js'
import { FRAME_KINDS, FrameSocket, type Frame } from './nodeFrameSocket.js'
import { readSyncMessage } from './readSyncMessage.js'

export interface HopServerOptions {
  address: string
  port: number
  timers: Timers
  handler: InboundHandler
  log: CallLog
  lag: Pick<LoopLag, 'whenRead'>
  onSync (message: SyncMessage): SyncMessage
  /** Returns the changes from the version that the peer holds to the active configuration; undefined if there is none. */
  deltaSince (heldVersion: number): ConfigDelta | undefined
}

/** Silence after which the system probes a connection; only the side that opened it sends pings. */
const KEEP_ALIVE_DELAY_MS = 10_000

/** Accepts the connections of other daemons: passes their calls to the inbound handler and answers sync and config requests. */
export class NodeHopServer {
  readonly #opts: HopServerOptions
  readonly #server: Server
  readonly #peers = new Set<FrameSocket>()

  constructor (opts: HopServerOptions) {
    this.#opts = opts
    this.#server = createServer({ noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS }, (socket) => this.#onConnection(socket))
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#opts.port, this.#opts.address, resolve)
    })
  }

  /** Port that the server is bound to; differs from the option if that is 0. */
  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** Bytes of replies that the connections to other daemons have not taken yet. */
  get unsentBytes (): number {
    let bytes = 0
    for (const peer of this.#peers) bytes += peer.unsentBytes
    return bytes
  }

  close (): void {
    this.#server.close()
    for (const peer of this.#peers) peer.end()
  }

  #onConnection (socket: Socket): void {
    const { handler: inbound, log, timers } = this.#opts
    /** Keys of the pending calls of this connection, by exchange id. */
    const callKeys = new Map<number, string>()
    const peer = new FrameSocket(socket, {
      timers,
      onFrame: (frame) => this.#onFrame(peer, callKeys, frame),
      onClose: (reason) => {
        this.#peers.delete(peer)
        if (callKeys.size > 0) log.decision('peerClosed', { address: socket.remoteAddress, reason, calls: callKeys.size })
        for (const key of callKeys.values()) inbound.onSenderDisconnect(key)
        callKeys.clear()
      }
    })
    this.#peers.add(peer)
  }

  #onFrame (peer: FrameSocket, callKeys: Map<number, string>, [kind, exchangeId, payload]: Frame): void {
    const { handler: inbound } = this.#opts
    const sendReply = (reply: HopReply): void => {
      callKeys.delete(exchangeId)
      peer.send([FRAME_KINDS.reply, exchangeId, packReply(reply)])
    }
    switch (kind) {
      case FRAME_KINDS.call: {
        const message = unpackCall(payload)
        callKeys.set(exchangeId, message.key)
        return this.#opts.lag.whenRead(() => { if (callKeys.get(exchangeId) === message.key) inbound.offer(message, sendReply) })
      }
      case FRAME_KINDS.settle: {
        const message = validateFields<SettleMessage>(payload, ['key', 'incarnation'])
        callKeys.set(exchangeId, message.key)
        return inbound.settle(message.key, message.incarnation, sendReply)
      }
      case FRAME_KINDS.cancel: {
        const key = callKeys.get(exchangeId)
        if (!callKeys.delete(exchangeId)) return
        return inbound.cancel(key!)
      }
      case FRAME_KINDS.sync: {
        return peer.send([FRAME_KINDS.reply, exchangeId, this.#opts.onSync(readSyncMessage(payload, this.#opts))])
      }
      case FRAME_KINDS.config:
        return peer.send([FRAME_KINDS.reply, exchangeId, this.#opts.deltaSince(validateFields<{ have: number }>(payload, ['have']).have)])
      case FRAME_KINDS.ping:
        return peer.send([FRAME_KINDS.pong, 0])
      default:
        throw new BadMessage(`frame from a peer has the unknown kind ${kind}`)
    }
  }
}
