import { create, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { TokenBucket, type Cancel, type Metrics, type Random, type Timers } from '@lentilwheel/core'
import { MAX_CALLS_PER_SECOND, MAX_DATAGRAM_BYTES, MAX_DATAGRAMS_PER_SECOND, RPC_TIMEOUT_MS } from '../constants.js'
import { MeshBadMessage, MeshOverloaded } from '../errors.js'
import { DatagramSchema, type Datagram, type Header, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import type { MeshMethod, MeshTransport } from '../transport/meshTransport.js'
import type { MeshAddress } from './address.js'
import { MAC_BYTES, type MeshAuth } from './meshAuth.js'
import { decode } from './codec.js'
import { AdaptiveTimeout } from './adaptiveTimeout.js'

export type DatagramBody = NonNullable<MessageInitShape<typeof DatagramSchema>['body']>
/** Any message; all of them carry a header. */
type MessageWithHeader = { header?: Header }

/** Records and suspicions that are gossiped with a datagram. */
export interface GossipPayload {
  records: MemberRecord[]
  suspicions: Suspicion[]
}

/** Callbacks of the messenger, implemented by the daemon's shared state. */
export interface MessengerHooks {
  /** Header for an outgoing message. */
  header (): Header
  /** Called with the header of each authenticated message; `from` is set only for datagrams. */
  onHeader (header: Header, from: MeshAddress | undefined): void
  /** Gossip to send to this receiver, of at most `maxBytes`. */
  piggyback (to: MeshAddress, maxBytes: number): GossipPayload
  onGossip (payload: GossipPayload): void
  /** Handles a datagram that isn't an acknowledgement. */
  onDatagram (from: MeshAddress, datagram: Datagram): void
  onCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>>
  /** Handling a datagram threw an error; a peer of another version must not be able to crash the process. */
  onHandlerError (err: unknown): void
}

interface HeaderOptions {
  /** Only pings and their answers carry digests: probes go to random members, with whom digests are compared. */
  withDigests?: boolean
  /** Version floor to announce if it is above the known one. */
  floor?: number | undefined
}

interface PendingRequest {
  sentAt: number
  resolve (header: Header | undefined): void
  cancel: Cancel
}

/**
 * Sends and receives all messages of this daemon: adds header, MAC and gossip to datagrams, matches acknowledgements to
 * requests, drops duplicate pushes, and limits and counts the traffic.
 */
export class Messenger {
  readonly #auth: MeshAuth
  readonly #timers: Timers
  readonly #metrics: Metrics
  readonly #transport: MeshTransport
  readonly #hooks: MessengerHooks
  readonly #pending = new Map<number, PendingRequest>()
  readonly #adaptiveTimeout = new AdaptiveTimeout()
  /** Address, sender and sequence of the last pushes received, oldest first. */
  readonly #recentPushes = new Set<string>()
  readonly #datagramLimit: TokenBucket
  readonly #callLimit: TokenBucket
  #seq: number
  #isClosed = false

  constructor (opts: {
    auth: MeshAuth, timers: Timers, random: Random, metrics: Metrics, transport: MeshTransport, hooks: MessengerHooks
  }) {
    this.#auth = opts.auth
    this.#timers = opts.timers
    this.#metrics = opts.metrics
    this.#transport = opts.transport
    this.#hooks = opts.hooks
    // Starts at random: peers that remember pushes of an earlier run would drop the first ones as duplicates.
    this.#seq = opts.random.int(MAX_FIRST_SEQ)
    const now = opts.timers.now()
    this.#datagramLimit = new TokenBucket({ perSecond: MAX_DATAGRAMS_PER_SECOND, burst: MAX_DATAGRAMS_PER_SECOND, now })
    this.#callLimit = new TokenBucket({ perSecond: MAX_CALLS_PER_SECOND, burst: MAX_CALLS_PER_SECOND, now })
  }

  async listen (): Promise<void> {
    await this.#transport.listen({
      onDatagram: (from, signed) => this.#receive(from, signed),
      onCall: async (method, req) => await this.#handleCall(method, req)
    })
  }

  async close (): Promise<void> {
    this.#isClosed = true
    for (const pending of this.#pending.values()) {
      pending.cancel()
      pending.resolve(undefined)
    }
    this.#pending.clear()
    await this.#transport.close()
  }

  /** Sends a datagram that needs no answer. */
  send (to: MeshAddress, body: DatagramBody): void {
    this.#sendDatagram(to, body, ++this.#seq)
  }

  /**
   * Sends a datagram and resolves with the header of its acknowledgement, or undefined when none arrives in time. The
   * timeout grows with the round-trip times seen.
   */
  async request (to: MeshAddress, body: DatagramBody, timeoutMs: number, floor?: number): Promise<Header | undefined> {
    if (this.#isClosed) return undefined
    const seq = ++this.#seq
    const send = (): void => this.#sendDatagram(to, body, seq, { withDigests: body.case === 'ping', floor })
    return await new Promise((resolve) => {
      const { factor } = this.#adaptiveTimeout
      const cancels = [this.#timers.after(timeoutMs * factor, () => this.#completeRequest(seq, undefined))]
      if (body.case === 'push') cancels.push(...PUSH_RESEND_DELAYS_MS.map((ms) => this.#timers.after(ms * factor, send)))
      const cancel = (): void => cancels.forEach((one) => one())
      this.#pending.set(seq, { resolve, cancel, sentAt: this.#timers.now() })
      send()
    })
  }

  ack (to: MeshAddress, seq: number): void {
    this.send(to, { case: 'ack', value: { seq } })
  }

  /** Acknowledges a ping, with digests. */
  pong (to: MeshAddress, seq: number): void {
    this.#sendDatagram(to, { case: 'ack', value: { seq } }, ++this.#seq, { withDigests: true })
  }

  async call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs = RPC_TIMEOUT_MS
  ): Promise<MessageShape<O>> {
    const limitMs = timeoutMs * this.#adaptiveTimeout.factor
    const res = await this.#transport.call(to, method, { ...req, header: this.#hooks.header() }, limitMs)
    this.#reportHeader(res as MessageWithHeader, undefined)
    return res
  }

  /** Size in bytes of a datagram with this body and no gossip; decides between datagram and call. */
  datagramSize (body: DatagramBody): number {
    return MAC_BYTES + toBinary(DatagramSchema, this.#createDatagram(body, this.#seq)).length
  }

  #createDatagram (body: DatagramBody, seq: number, opts: HeaderOptions = {}): Datagram {
    const header = this.#hooks.header()
    header.floor = Math.max(header.floor, opts.floor ?? 0)
    if (!opts.withDigests) header.recordsDigest = header.factsDigest = 0
    return create(DatagramSchema, { header, seq, body })
  }

  #sendDatagram (to: MeshAddress, body: DatagramBody, seq: number, opts: HeaderOptions = {}): void {
    if (this.#isClosed) return
    const datagram = this.#createDatagram(body, seq, opts)
    let bytes = toBinary(DatagramSchema, datagram)
    const payload = this.#hooks.piggyback(to, MAX_DATAGRAM_BYTES - MAC_BYTES - bytes.length)
    if (payload.records.length > 0 || payload.suspicions.length > 0) {
      bytes = toBinary(DatagramSchema, { ...datagram, ...payload })
    }
    const signed = this.#auth.signDatagram(bytes)
    this.#metrics.count('mesh.bytes_sent', signed.length + UDP_OVERHEAD_BYTES, { message: body.case ?? 'none' })
    this.#transport.send(to, signed)
  }

  #receive (from: MeshAddress, signed: Uint8Array): void {
    if (this.#isClosed) return
    if (!this.#datagramLimit.tryTake(this.#timers.now())) return this.#countDropped('rate')
    let datagram: Datagram
    try {
      datagram = decode(DatagramSchema, this.#auth.verifyDatagram(signed)) as Datagram
      if (!datagram.header) throw new MeshBadMessage('datagram has no header')
    } catch {
      return this.#countDropped('invalid')
    }
    const message = datagram.body.case ?? 'none'
    this.#metrics.count('mesh.bytes_received', signed.length + UDP_OVERHEAD_BYTES, { message })
    try {
      this.#handleDatagram(from, datagram)
    } catch (err) {
      this.#hooks.onHandlerError(err)
    }
  }

  #handleDatagram (from: MeshAddress, datagram: Datagram): void {
    this.#reportHeader(datagram, from)
    this.#hooks.onGossip(datagram)
    if (datagram.body.case === 'ack') this.#completeRequest(datagram.body.value.seq, datagram.header)
    else if (!this.#ackIfRepeated(from, datagram)) this.#hooks.onDatagram(from, datagram)
  }

  async #handleCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>> {
    if (!this.#callLimit.tryTake(this.#timers.now())) throw new MeshOverloaded('peers exceeded the rate limit of calls')
    this.#reportHeader(req as MessageWithHeader, undefined)
    const res = await this.#hooks.onCall(method, req)
    return { ...res, header: this.#hooks.header() }
  }

  #reportHeader (message: MessageWithHeader, from: MeshAddress | undefined): void {
    if (message.header) this.#hooks.onHeader(message.header, from)
  }

  /** Whether the datagram is a push that was received before; such a push is only acknowledged again. */
  #ackIfRepeated (from: MeshAddress, datagram: Datagram): boolean {
    if (datagram.body.case !== 'push') return false
    const key = `${from} ${datagram.header!.from} ${datagram.seq}`
    if (this.#recentPushes.has(key)) {
      this.ack(from, datagram.seq)
      return true
    }
    this.#recentPushes.add(key)
    if (this.#recentPushes.size > MAX_RECENT_PUSHES) this.#recentPushes.delete(this.#recentPushes.values().next().value!)
    return false
  }

  #completeRequest (seq: number, header: Header | undefined): void {
    const pending = this.#pending.get(seq)
    const now = this.#timers.now()
    if (!pending) return this.#adaptiveTimeout.recordLateAnswer(seq, now)
    if (header) this.#adaptiveTimeout.recordAnswer(now - pending.sentAt)
    else this.#adaptiveTimeout.recordTimeout(seq, pending.sentAt)
    this.#pending.delete(seq)
    pending.cancel()
    pending.resolve(header)
  }

  #countDropped (reason: string): void {
    this.#metrics.count('mesh.dropped', 1, { reason })
  }
}

/** Delays after which an unacknowledged push is sent again; round trips within a region take milliseconds. */
const PUSH_RESEND_DELAYS_MS = [120, 300]
/** Pushes remembered to recognise duplicates, which arrive within half a second unless timeouts are stretched. */
const MAX_RECENT_PUSHES = 500
/** Upper limit of the first sequence: half of the 32-bit range is left, so that sequences never wrap within a run. */
const MAX_FIRST_SEQ = 2 ** 31
/** Bytes of the IPv4 and UDP headers of a datagram. */
const UDP_OVERHEAD_BYTES = 28
