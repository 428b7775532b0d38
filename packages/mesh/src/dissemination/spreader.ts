import { create } from '@bufbuild/protobuf'
import type { Metrics, Random } from '@lentilwheel/core'
import { CHILD_TIMEOUT_MS, MAX_DATAGRAM_BYTES, MAX_RESENDS } from '../constants.js'
import { MeshService, PushSchema, type Fact, type Packed, type Push, type Record as MemberRecord } from '../gen/mesh_pb.js'
import type { Member, MemberTable } from '../membership/table.js'
import { packAddresses, packedAddressBytes, unpackAddresses, type MeshAddress } from '../wire/address.js'
import type { Messenger } from '../wire/messenger.js'
import { pushOrder, splitParts, type Part } from './tree.js'

export interface PushContent {
  delta?: Packed | undefined
  facts?: Fact[]
  records?: MemberRecord[]
  /** The delta leads to the version that the platform's head names. */
  fromHead?: boolean
}

/** The content without fields that are not there, as generated code wants it. */
type PushFields = Omit<Partial<Push>, '$typeName' | '$unknown'>

/** Room kept in a push datagram for its header, sequence and sizes. */
const DATAGRAM_RESERVE_BYTES = 24

/** Pushes content down a tree of delegated lists; small content goes in datagrams, larger in calls. */
export class Spreader {
  readonly #messenger: Messenger
  readonly #table: MemberTable
  readonly #random: Random
  readonly #metrics: Metrics

  constructor (opts: { messenger: Messenger, table: MemberTable, random: Random, metrics: Metrics }) {
    this.#messenger = opts.messenger
    this.#table = opts.table
    this.#random = opts.random
    this.#metrics = opts.metrics
  }

  /** Pushes to the given members; resolves when every child of this daemon has answered or been given up. */
  async push (content: PushContent, members: readonly Member[]): Promise<void> {
    await this.#pushParts(content, pushOrder(this.#table, members, this.#random))
  }

  /** Passes a received push on to the members delegated to this daemon. */
  async forward (push: Push): Promise<void> {
    const { delta, facts, records, fromHead } = push
    await this.#pushParts({ delta, facts, records, fromHead }, unpackAddresses(push.delegated))
  }

  async #pushParts (content: PushContent, addresses: readonly MeshAddress[]): Promise<void> {
    if (addresses.length === 0) return
    const size = this.#messenger.sizeOf({ case: 'push', value: create(PushSchema, content as PushFields) })
    const room = MAX_DATAGRAM_BYTES - DATAGRAM_RESERVE_BYTES - size
    const perPart = Math.floor(room / packedAddressBytes(1))
    const fits = perPart >= 1
    const parts = splitParts(addresses, fits ? perPart + 1 : Infinity)
    await Promise.all(parts.map(async (part) => await this.#pushPart(content, part, fits)))
  }

  /** Tries the members of a part in turn; each that fails is pushed to by itself, in case only a datagram was lost. */
  async #pushPart (content: PushContent, part: Part, fits: boolean): Promise<void> {
    for (const [index, child] of part.entries()) {
      const rest = part.slice(index + 1)
      if (await this.#send(content, child, rest, fits)) return
      this.#metrics.count('mesh.push_child_failed')
      this.#resend(content, child, fits).catch(() => {})
    }
  }

  /** Repeats a push until it is answered. After a lost repeat only gossip would be left, which takes several seconds. */
  async #resend (content: PushContent, child: MeshAddress, fits: boolean): Promise<void> {
    for (let i = 0; i < MAX_RESENDS; i++) {
      if (await this.#send(content, child, [], fits)) return
    }
  }

  async #send (content: PushContent, child: MeshAddress, rest: Part, fits: boolean): Promise<boolean> {
    const push = create(PushSchema, { ...content as PushFields, delegated: packAddresses(rest) })
    if (fits) return await this.#messenger.request(child, { case: 'push', value: push }, CHILD_TIMEOUT_MS) !== undefined
    try {
      await this.#messenger.call(child, MeshService.method.push, { push }, CHILD_TIMEOUT_MS)
      return true
    } catch {
      return false
    }
  }
}
