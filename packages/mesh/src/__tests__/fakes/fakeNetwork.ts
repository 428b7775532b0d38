import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { DescMessage, DescMethodUnary, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import type { Random, VirtualTimers } from '@lentilwheel/core'
import { MAX_DATAGRAM_BYTES } from '../../constants.js'
import { MeshPeerUnreachable } from '../../errors.js'
import type { MeshTransport, TransportHandlers } from '../../transport/meshTransport.js'
import type { MeshAuth } from '../../wire/meshAuth.js'
import type { FakeHost } from './fakeHost.js'

interface Peer {
  host: FakeHost
  auth: MeshAuth
  handlers: TransportHandlers
}

/** Network that can drop, delay and duplicate datagrams and partition links; calls fail only by partitions, death and pauses. */
export class FakeNetwork {
  /** Fractions of datagrams that are lost and that arrive twice. */
  dropRate = 0
  duplicateRate = 0
  delayMs = 1
  /** True if nothing from the first address reaches the second one. */
  isPartitioned: (from: string, to: string) => boolean = () => false
  /** Lets a test change a datagram, or drop it by returning undefined. */
  tamper: (from: string, to: string, signed: Uint8Array) => Uint8Array | undefined = (_from, _to, signed) => signed
  readonly bytes = { datagrams: 0, calls: 0 }
  readonly calls = new Map<string, number>()
  readonly #peers = new Map<string, Peer>()
  readonly #timers: VirtualTimers
  readonly #random: Random

  constructor (timers: VirtualTimers, random: Random) {
    this.#timers = timers
    this.#random = random
  }

  transport (address: string, host: FakeHost, auth: MeshAuth): MeshTransport {
    return {
      listen: async (handlers) => { this.#peers.set(address, { host, auth, handlers }) },
      send: (to, signed) => this.#send(address, host, to, signed),
      call: async (to, method, req, timeoutMs) => await this.#call(address, host, auth, to, method, req, timeoutMs),
      close: async () => { this.#peers.delete(address) }
    }
  }

  /** Delivers a datagram with a forged sender. */
  inject (from: string, to: string, signed: Uint8Array): void {
    this.#deliver(from, to, signed)
  }

  #send (from: string, host: FakeHost, to: string, signed: Uint8Array): void {
    if (host.isDead) return
    if (signed.length > MAX_DATAGRAM_BYTES) throw new Error(`datagram of ${signed.length} bytes`)
    this.bytes.datagrams += signed.length
    const changed = this.tamper(from, to, signed)
    if (!changed || this.#random.next() < this.dropRate) return
    const copies = this.#random.next() < this.duplicateRate ? 2 : 1
    for (let i = 0; i < copies; i++) this.#timers.after(this.delayMs * (1 + i), () => this.#deliver(from, to, changed))
  }

  #deliver (from: string, to: string, signed: Uint8Array): void {
    const peer = this.#peers.get(to)
    if (!peer || this.isPartitioned(from, to)) return
    peer.host.run(() => peer.handlers.onDatagram(from, signed))
  }

  async #call<I extends DescMessage, O extends DescMessage> (
    from: string, host: FakeHost, auth: MeshAuth, to: string,
    method: DescMethodUnary<I, O>, req: MessageInitShape<I>, timeoutMs: number
  ): Promise<MessageShape<O>> {
    const body = toBinary(method.input, create(method.input, req))
    this.bytes.calls += body.length
    this.calls.set(method.name, (this.calls.get(method.name) ?? 0) + 1)
    const answer = await new Promise<Uint8Array>((resolve, reject) => {
      const fail = (): void => reject(new MeshPeerUnreachable(`${to} did not answer`))
      host.after(timeoutMs, fail)
      this.#timers.after(this.delayMs, () => {
        const peer = this.#peers.get(to)
        if (!peer || peer.host.isDead) return host.run(fail)
        if (this.isPartitioned(from, to)) return
        peer.host.run(() => {
          this.#answer(peer, auth, method, body).then((bytes) => {
            this.#timers.after(this.delayMs, () => { if (!this.isPartitioned(to, from)) host.run(() => resolve(bytes)) })
          }, () => host.run(fail))
        })
      })
    })
    this.bytes.calls += answer.length
    return fromBinary(method.output, answer)
  }

  async #answer<I extends DescMessage, O extends DescMessage> (
    peer: Peer, auth: MeshAuth, method: DescMethodUnary<I, O>, body: Uint8Array
  ): Promise<Uint8Array> {
    peer.auth.verify('request', method.name, body, auth.computeMac('request', method.name, body))
    const res = await peer.handlers.onCall(method as never, fromBinary(method.input, body))
    return toBinary(method.output, create(method.output, res as MessageInitShape<O>))
  }
}
