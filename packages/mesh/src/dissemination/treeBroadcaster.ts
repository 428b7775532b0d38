import { create } from '@bufbuild/protobuf'
import type { Metrics, Random } from '@lentilwheel/core'
import { CHILD_TIMEOUT_MS, MAX_DATAGRAM_BYTES, MAX_RESENDS } from '../constants.js'
import { MeshService, PushSchema, type Fact, type Packed, type Push, type Record as MemberRecord } from '../gen/mesh_pb.js'
import type { Member, MemberTable } from '../membership/memberTable.js'
import { packAddresses, packedAddressBytes, unpackAddresses, type MeshAddress } from '../wire/address.js'
import type { Messenger } from '../wire/messenger.js'
import { pushOrder, splitIntoSubtrees, type Subtree } from './broadcastTree.js'

/** What a push carries. */
export interface PushContent {
  delta?: Packed | undefined
  facts?: Fact[]
  records?: MemberRecord[]
  /** The delta leads to the version that a relay read from the platform's head. */
  fromHead?: boolean
}

/** Type of the push content for the generated code, whose optional fields don't allow undefined. */
type PushInit = Omit<Partial<Push>, '$typeName' | '$unknown'>

/** Bytes of a push datagram reserved for its header, sequence and length fields. */
const DATAGRAM_RESERVE_BYTES = 24

/**
 * Broadcasts configuration deltas, facts and records over a tree: each receiver gets a list of members to which it passes
 * the push on. Content that fits goes in datagrams, larger content in calls.
 */
export class TreeBroadcaster {
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

  /** Pushes to the given members; resolves when each subtree has a child that answered, or all its members failed. */
  async push (content: PushContent, members: readonly Member[]): Promise<void> {
    await this.#pushSubtrees(content, pushOrder(this.#table, members, this.#random))
  }

  /** Passes a received push on to the members delegated to this daemon. */
  async forward (push: Push): Promise<void> {
    const { delta, facts, records, fromHead } = push
    await this.#pushSubtrees({ delta, facts, records, fromHead }, unpackAddresses(push.delegated))
  }

  async #pushSubtrees (content: PushContent, addresses: readonly MeshAddress[]): Promise<void> {
    if (addresses.length === 0) return
    const size = this.#messenger.datagramSize({ case: 'push', value: create(PushSchema, content as PushInit) })
    const availableBytes = MAX_DATAGRAM_BYTES - DATAGRAM_RESERVE_BYTES - size
    const addressesPerDatagram = Math.floor(availableBytes / packedAddressBytes(1))
    const fitsDatagram = addressesPerDatagram >= 1
    const subtrees = splitIntoSubtrees(addresses, fitsDatagram ? addressesPerDatagram + 1 : Infinity)
    await Promise.all(subtrees.map(async (subtree) => await this.#pushSubtree(content, subtree, fitsDatagram)))
  }

  /**
   * Tries the members of a subtree in turn until one answers. A push to a member that doesn't is repeated in the
   * background, in case only a datagram was lost.
   */
  async #pushSubtree (content: PushContent, subtree: Subtree, fitsDatagram: boolean): Promise<void> {
    for (const [index, child] of subtree.entries()) {
      const rest = subtree.slice(index + 1)
      if (await this.#send(content, child, rest, fitsDatagram)) return
      this.#metrics.count('mesh.push_child_failed')
      this.#resend(content, child, fitsDatagram).catch(() => {})
    }
  }

  /**
   * Repeats a push up to `MAX_RESENDS` times until it is answered. If all repeats were lost, only gossip would be left,
   * which takes several seconds.
   */
  async #resend (content: PushContent, child: MeshAddress, fitsDatagram: boolean): Promise<void> {
    for (let i = 0; i < MAX_RESENDS; i++) {
      if (await this.#send(content, child, [], fitsDatagram)) return
    }
  }

  async #send (content: PushContent, child: MeshAddress, rest: Subtree, fitsDatagram: boolean): Promise<boolean> {
    const push = create(PushSchema, { ...content as PushInit, delegated: packAddresses(rest) })
    if (fitsDatagram) return await this.#messenger.request(child, { case: 'push', value: push }, CHILD_TIMEOUT_MS) !== undefined
    try {
      await this.#messenger.call(child, MeshService.method.push, { push }, CHILD_TIMEOUT_MS)
      return true
    } catch {
      return false
    }
  }
}
