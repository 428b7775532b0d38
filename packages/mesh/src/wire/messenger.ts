import { create, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { TokenBucket, type Cancel, type Metrics, type Random, type Timers } from '@lentilwheel/core'
import { MAX_CALLS_PER_SECOND, MAX_DATAGRAM_BYTES, MAX_DATAGRAMS_PER_SECOND, RPC_TIMEOUT_MS } from '../constants.js'
import { MeshBadMessage, MeshOverloaded } from '../errors.js'
import { DatagramSchema, type Datagram, type Header, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import type { MeshMethod, MeshTransport } from '../transport/transport.js'
import type { MeshAddress } from './address.js'
import { MAC_BYTES, type MeshAuth } from './auth.js'
import { decode } from './codec.js'
import { Pace } from './pace.js'

export type DatagramBody = NonNullable<MessageInitShape<typeof DatagramSchema>['body']>
/** Message with the header that every one carries. */
type Headed = { header?: Header }

/** Record updates and suspicions that ride on a datagram. */
export interface News {
  records: MemberRecord[]
  suspicions: Suspicion[]
}

/** What the messenger asks of the daemon's state. */
export interface MessengerHooks {
  header (): Header
  /** Takes in the header of an authenticated message and where it came from, for datagrams. */
  observe (header: Header, from: MeshAddress | undefined): void
  /** News for one receiver that fits into the given number of bytes. */
  piggyback (to: MeshAddress, room: number): News
  absorb (news: News): void
  /** Handles a datagram that isn't an answer. */
  onDatagram (from: MeshAddress, datagram: Datagram): void
  onCall (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>>
  /** Handling a datagram threw; the process must live on, whatever a peer of another version sends. */
  failed (err: unknown): void
}

interface StampOptions {
  /** Digests are compared between random peers, so only probes and their answers carry them. */
  withDigests?: boolean
  /** Floor to announce, when it is above the one known. */
  floor?: number | undefined
}

interface Waiting {
  sentAt: number
  done (header: Header | undefined): void
  cancel: Cancel
}

/** Stamps, seals, counts and matches all messages of this daemon. */
export class Messenger {
  readonly #auth: MeshAuth
  readonly #timers: Timers
  readonly #metrics: Metrics
  readonly #transport: MeshTransport
  readonly #hooks: MessengerHooks
  readonly #waiting = new Map<number, Waiting>()
  readonly #pace = new Pace()
  /** Sender and sequence of the last pushes, oldest first. */
  readonly #pushesSeen = new Set<string>()
  readonly #datagramRate: TokenBucket
  readonly #callRate: TokenBucket
  #seq: number
  #closed = false

  constructor (opts: {
    auth: MeshAuth, timers: Timers, random: Random, metrics: Metrics, transport: MeshTransport, hooks: MessengerHooks
  }) {
    this.#auth = opts.auth
    this.#timers = opts.timers
    this.#metrics = opts.metrics
    this.#transport = opts.transport
    this.#hooks = opts.hooks
    // Not from 0: peers that remember pushes of an earlier run would take the first ones for repeats.
    this.#seq = opts.random.int(FIRST_SEQUENCES)
    const now = opts.timers.now()
    this.#datagramRate = new TokenBucket({ perSecond: MAX_DATAGRAMS_PER_SECOND, burst: MAX_DATAGRAMS_PER_SECOND, now })
    this.#callRate = new TokenBucket({ perSecond: MAX_CALLS_PER_SECOND, burst: MAX_CALLS_PER_SECOND, now })
  }

  async listen (): Promise<void> {
    await this.#transport.listen({
      onDatagram: (from, sealed) => this.#receive(from, sealed),
      onCall: async (method, req) => await this.#answer(method, req)
    })
  }

  async close (): Promise<void> {
    this.#closed = true
    for (const waiting of this.#waiting.values()) {
      waiting.cancel()
      waiting.done(undefined)
    }
    this.#waiting.clear()
    await this.#transport.close()
  }

  /** Sends a datagram that needs no answer. */
  send (to: MeshAddress, body: DatagramBody): void {
    this.#sendWith(to, body, ++this.#seq)
  }

  /** Sends a datagram and waits for its acknowledgement; undefined when none comes in time, which stretches with the pace. */
  async request (to: MeshAddress, body: DatagramBody, timeoutMs: number, floor?: number): Promise<Header | undefined> {
    if (this.#closed) return undefined
    const seq = ++this.#seq
    const send = (): void => this.#sendWith(to, body, seq, { withDigests: body.case === 'ping', floor })
    return await new Promise((resolve) => {
      const { factor } = this.#pace
      const cancels = [this.#timers.after(timeoutMs * factor, () => this.#settle(seq, undefined))]
      if (body.case === 'push') cancels.push(...RESEND_MS.map((ms) => this.#timers.after(ms * factor, send)))
      const cancel = (): void => cancels.forEach((one) => one())
      this.#waiting.set(seq, { done: resolve, cancel, sentAt: this.#timers.now() })
      send()
    })
  }

  ack (to: MeshAddress, seq: number): void {
    this.send(to, { case: 'ack', value: { seq } })
  }

  /** Acknowledges a ping, with the digests that probes compare. */
  pong (to: MeshAddress, seq: number): void {
    this.#sendWith(to, { case: 'ack', value: { seq } }, ++this.#seq, { withDigests: true })
  }

  async call<I extends DescMessage, O extends DescMessage> (
    to: MeshAddress, method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs = RPC_TIMEOUT_MS
  ): Promise<MessageShape<O>> {
    const limitMs = timeoutMs * this.#pace.factor
    const res = await this.#transport.call(to, method, { ...req, header: this.#hooks.header() }, limitMs)
    this.#observe(res as Headed, undefined)
    return res
  }

  /** Bytes of a datagram with this body but without news; used to choose between datagram and call. */
  sizeOf (body: DatagramBody): number {
    return MAC_BYTES + toBinary(DatagramSchema, this.#datagram(body, this.#seq)).length
  }

  #datagram (body: DatagramBody, seq: number, opts: StampOptions = {}): Datagram {
    const header = this.#hooks.header()
    header.floor = Math.max(header.floor, opts.floor ?? 0)
    if (!opts.withDigests) header.recordsDigest = header.factsDigest = 0
    return create(DatagramSchema, { header, seq, body })
  }

  #sendWith (to: MeshAddress, body: DatagramBody, seq: number, opts: StampOptions = {}): void {
    if (this.#closed) return
    const datagram = this.#datagram(body, seq, opts)
    let bytes = toBinary(DatagramSchema, datagram)
    const news = this.#hooks.piggyback(to, MAX_DATAGRAM_BYTES - MAC_BYTES - bytes.length)
    if (news.records.length > 0 || news.suspicions.length > 0) {
      bytes = toBinary(DatagramSchema, { ...datagram, ...news })
    }
    const sealed = this.#auth.seal(bytes)
    this.#metrics.count('mesh.bytes_sent', sealed.length + UDP_OVERHEAD_BYTES, { message: body.case ?? 'none' })
    this.#transport.send(to, sealed)
  }

  #receive (from: MeshAddress, sealed: Uint8Array): void {
    if (this.#closed) return
    if (!this.#datagramRate.tryTake(this.#timers.now())) return this.#drop('rate')
    let datagram: Datagram
    try {
      datagram = decode(DatagramSchema, this.#auth.open(sealed)) as Datagram
      if (!datagram.header) throw new MeshBadMessage('datagram has no header')
    } catch {
      return this.#drop('invalid')
    }
    const message = datagram.body.case ?? 'none'
    this.#metrics.count('mesh.bytes_received', sealed.length + UDP_OVERHEAD_BYTES, { message })
    try {
      this.#handle(from, datagram)
    } catch (err) {
      this.#hooks.failed(err)
    }
  }

  #handle (from: MeshAddress, datagram: Datagram): void {
    this.#observe(datagram, from)
    this.#hooks.absorb(datagram)
    if (datagram.body.case === 'ack') this.#settle(datagram.body.value.seq, datagram.header)
    else if (!this.#isRepeated(from, datagram)) this.#hooks.onDatagram(from, datagram)
  }

  async #answer (method: MeshMethod, req: MessageShape<DescMessage>): Promise<MessageInitShape<DescMessage>> {
    if (!this.#callRate.tryTake(this.#timers.now())) throw new MeshOverloaded('too many calls of peers')
    this.#observe(req as Headed, undefined)
    const res = await this.#hooks.onCall(method, req)
    return { ...res, header: this.#hooks.header() }
  }

  #observe (message: Headed, from: MeshAddress | undefined): void {
    if (message.header) this.#hooks.observe(message.header, from)
  }

  /** A push that came before is acknowledged again, but not passed on again. */
  #isRepeated (from: MeshAddress, datagram: Datagram): boolean {
    if (datagram.body.case !== 'push') return false
    const key = `${from} ${datagram.header!.from} ${datagram.seq}`
    if (this.#pushesSeen.has(key)) {
      this.ack(from, datagram.seq)
      return true
    }
    this.#pushesSeen.add(key)
    if (this.#pushesSeen.size > MAX_PUSHES_SEEN) this.#pushesSeen.delete(this.#pushesSeen.values().next().value!)
    return false
  }

  #settle (seq: number, header: Header | undefined): void {
    const waiting = this.#waiting.get(seq)
    const now = this.#timers.now()
    if (!waiting) return this.#pace.answeredLate(seq, now)
    if (header) this.#pace.answered(now - waiting.sentAt)
    else this.#pace.timedOut(seq, waiting.sentAt)
    this.#waiting.delete(seq)
    waiting.cancel()
    waiting.done(header)
  }

  #drop (reason: string): void {
    this.#metrics.count('mesh.dropped', 1, { reason })
  }
}

/** A push that isn't acknowledged is sent again after these times; answers within a region take milliseconds. */
const RESEND_MS = [120, 300]
/** Pushes remembered to tell repeats; a repeat comes within half a second. */
const MAX_PUSHES_SEEN = 500
/** Sequences are 32 bits wide and never wrap within a run. */
const FIRST_SEQUENCES = 2 ** 31
/** IPv4 and UDP headers of a datagram. */
const UDP_OVERHEAD_BYTES = 28
