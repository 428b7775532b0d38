import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Timers } from '@lentilwheel/core'
import type { LoopLag } from '../daemon/nodeLoopLag.js'
import { BadMessage } from '../errors.js'
import type { CallLog } from '../observe/callLog.js'
import type { InboundHandler } from '../inbound/inboundHandler.js'
import type { ConfigDelta } from '../routing/configDelta.js'
import { packIdentity, packReply, unpackCall, unpackHello, validateFields } from './codec.js'
import type { DaemonIdentity, HopReply, QuotaAnswer, QuotaMessage, SettleMessage, SyncMessage } from './messages.js'
import { FRAME_KINDS, type Frame } from './frames.js'
import { FrameSocket, type SentFrame } from './nodeFrameSocket.js'
import type { OpenSockets } from './nodeOpenSockets.js'
import { packQuotaAnswers, unpackQuotaMessage, unpackReachHosts } from './quotaCodec.js'
import { readSyncMessage } from './readSyncMessage.js'
import type { BufferBudget } from '../buffers/bufferBudget.js'
import { CallBodies } from './callBodies.js'
import type { SendQueue } from './sendQueue.js'
import { CONTROL_URGENCY, NESTED_URGENCY, urgencyOf } from './urgency.js'

export interface HopServerOptions {
  address: string
  port: number
  timers: Timers
  handler: InboundHandler
  log: CallLog
  lag: Pick<LoopLag, 'whenRead'>
  /** This daemon, for peers that connect to its address. */
  identity (): DaemonIdentity
  /** Queue of this host's link. */
  queue: SendQueue
  /** Budget for the bodies of calls and for what waits of the replies; absent for none. */
  budget?: BufferBudget
  /** Gets each connection of another daemon. */
  openSockets?: OpenSockets
  onSync (message: SyncMessage): SyncMessage
  /** Answers another daemon's questions about quotas; calls `reply` once. */
  onQuota (message: QuotaMessage, reply: (answers: QuotaAnswer[]) => void): void
  /** Whether this daemon can reach the daemon of another host. */
  isUp (host: string): boolean
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

  /** Accepts no more connections, and ends the open ones once what has been handed over for them is sent. */
  close (): void {
    this.#server.close()
    for (const peer of this.#peers) peer.end()
  }

  #onConnection (socket: Socket): void {
    const { handler: inbound, log, timers, queue, budget } = this.#opts
    this.#opts.openSockets?.add(socket)
    const exchanges: Exchanges = { isForOtherHost: false, calls: new Map(), replies: new Map(), bodies: new CallBodies(budget) }
    const peer = new FrameSocket(socket, {
      timers,
      queue,
      ...budget ? { budget } : {},
      onFrame: (frame) => this.#onFrame(peer, exchanges, frame),
      onDropped: (kind, exchangeId) => this.#onDropped(peer, kind, exchangeId),
      onClose: (reason) => {
        this.#peers.delete(peer)
        const { calls } = exchanges
        if (calls.size > 0) log.decision('peerClosed', { address: socket.remoteAddress, reason, calls: calls.size })
        for (const key of calls.values()) inbound.onSenderDisconnect(key)
        calls.clear()
        exchanges.bodies.clear()
      }
    })
    this.#peers.add(peer)
  }

  #onFrame (peer: FrameSocket, exchanges: Exchanges, [kind, exchangeId, payload]: Frame): void {
    const { handler: inbound } = this.#opts
    const { calls } = exchanges
    if (exchanges.isForOtherHost) return
    switch (kind) {
      case FRAME_KINDS.hello:
        return this.#onHello(peer, exchanges, exchangeId, unpackHello(payload).wantedHost)
      case FRAME_KINDS.call: {
        const message = unpackCall(payload)
        if (!exchanges.bodies.add(exchangeId, message.body.length)) return this.#onDropped(peer, kind, exchangeId)
        calls.set(exchangeId, message.key)
        const sendReply = (reply: HopReply): void => sendCallReply(peer, exchanges, exchangeId, reply, urgencyOf(message))
        return this.#opts.lag.whenRead(() => { if (calls.get(exchangeId) === message.key) inbound.offer(message, sendReply) })
      }
      case FRAME_KINDS.settle: {
        const message = validateFields<SettleMessage>(payload, ['key', 'incarnation'])
        calls.set(exchangeId, message.key)
        return inbound.settle(message.key, message.incarnation, (reply) => sendCallReply(peer, exchanges, exchangeId, reply, NESTED_URGENCY))
      }
      case FRAME_KINDS.cancel:
        return this.#cancel(exchanges, exchangeId)
      case FRAME_KINDS.sync:
        peer.send([FRAME_KINDS.reply, exchangeId, this.#opts.onSync(readSyncMessage(payload, this.#opts))], NESTED_URGENCY)
        return
      case FRAME_KINDS.quota:
        this.#opts.onQuota(unpackQuotaMessage(payload), (answers) => peer.send([FRAME_KINDS.reply, exchangeId, packQuotaAnswers(answers)], CONTROL_URGENCY))
        return
      case FRAME_KINDS.reach:
        peer.send([FRAME_KINDS.reply, exchangeId, unpackReachHosts(payload).map((host) => this.#opts.isUp(host))], CONTROL_URGENCY)
        return
      case FRAME_KINDS.config:
        peer.send([FRAME_KINDS.reply, exchangeId, this.#opts.deltaSince(validateFields<{ have: number }>(payload, ['have']).have)], NESTED_URGENCY)
        return
      case FRAME_KINDS.ping:
        peer.send([FRAME_KINDS.pong, 0])
        return
      default:
        throw new BadMessage(`frame from a peer has the unknown kind ${kind}`)
    }
  }

  /** Tells a peer which daemon it has reached. One that wants the daemon of another host gets nothing else here. */
  #onHello (peer: FrameSocket, exchanges: Exchanges, exchangeId: number, wantedHost: string): void {
    const { host, incarnation } = this.#opts.identity()
    peer.send([FRAME_KINDS.reply, exchangeId, packIdentity({ host, incarnation })])
    if (wantedHost === '' || wantedHost === host) return
    exchanges.isForOtherHost = true
    this.#opts.log.decision('otherHostWanted', { wantedHost })
    peer.end()
  }

  /** Replies to a call that was dropped for want of memory; it has not run, and another target may take it. */
  #onDropped (peer: FrameSocket, kind: number, exchangeId: number): void {
    this.#opts.log.call(false, 'boundPassed', { from: 'peer', bound: 'buffers' })
    if (kind === FRAME_KINDS.call) peer.send([FRAME_KINDS.reply, exchangeId, packReply({ kind: 'notRun', reason: 'busy' })])
  }

  /** Cancels a call, or drops what has not been sent of its reply. */
  #cancel ({ calls, replies, bodies }: Exchanges, exchangeId: number): void {
    const key = calls.get(exchangeId)
    calls.delete(exchangeId)
    bodies.release(exchangeId)
    if (key !== undefined) return this.#opts.handler.cancel(key)
    replies.get(exchangeId)?.revoke()
    replies.delete(exchangeId)
  }
}

/** State of one connection, by exchange id. */
interface Exchanges {
  /** Whether the peer wants the daemon of another host, so that nothing it sends is handled. */
  isForOtherHost: boolean
  /** Keys of the calls that have no reply yet. */
  calls: Map<number, string>
  /** Replies that wait for the link, or did when they were last looked at. */
  replies: Map<number, SentFrame>
  bodies: CallBodies
}

function sendCallReply (peer: FrameSocket, { calls, replies, bodies }: Exchanges, exchangeId: number, reply: HopReply, urgency: number): void {
  calls.delete(exchangeId)
  bodies.release(exchangeId)
  for (const [id, frame] of replies) if (!frame.isWaiting) replies.delete(id)
  const onEvicted = (): void => { peer.send([FRAME_KINDS.reply, exchangeId, packReply({ kind: 'failed', reason: 'lost' })], urgency) }
  const frame = peer.send([FRAME_KINDS.reply, exchangeId, packReply(reply)], urgency, onEvicted)
  if (!frame.isWaiting) return
  replies.set(exchangeId, frame)
  peer.send([FRAME_KINDS.answered, exchangeId])
}
