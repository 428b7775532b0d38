import { toBinary } from '@bufbuild/protobuf'
import { RecordSchema, SuspicionSchema, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import type { GossipPayload } from '../wire/messenger.js'

/** Larger items are left to pushes by call and to anti-entropy, since they could wait here for ever. */
const MAX_ITEM_BYTES = 900
/** Bytes that a repeated protobuf field adds to each item. */
const ITEM_OVERHEAD_BYTES = 4

type GossipKind = 'record' | 'suspicion'

interface GossipItem {
  kind: GossipKind
  id: string
  copiesLeft: number
}

/**
 * Queue of changed records and suspicions that are piggybacked on datagrams, each a limited number of times. It holds ids
 * only, so that a datagram always carries the newest state of a member.
 */
export class GossipQueue {
  readonly #items = new Map<string, GossipItem>()
  readonly #lookup: { record (id: string): MemberRecord | undefined, suspicion (id: string): Suspicion | undefined }

  constructor (lookup: { record (id: string): MemberRecord | undefined, suspicion (id: string): Suspicion | undefined }) {
    this.#lookup = lookup
  }

  /** Queues an update to be sent in `copies` datagrams; it replaces an earlier one of the same kind and id. */
  add (kind: GossipKind, id: string, copies: number): void {
    const key = `${kind}:${id}`
    this.#items.delete(key)
    this.#items.set(key, { kind, id, copiesLeft: copies })
  }

  get size (): number {
    return this.#items.size
  }

  /** Takes the items that fit into a datagram and moves them to the end, so that a burst is spread over many datagrams. */
  take (maxBytes: number, gossip: GossipPayload = { records: [], suspicions: [] }): GossipPayload {
    let remainingBytes = maxBytes
    for (const [key, item] of [...this.#items]) {
      const bytes = this.#append(item, remainingBytes, gossip)
      if (bytes === undefined) break
      remainingBytes -= bytes
      this.#items.delete(key)
      if (bytes > 0 && --item.copiesLeft > 0) this.#items.set(key, item)
    }
    return gossip
  }

  /** Returns the bytes used: 0 if the item no longer exists or is too large to gossip, undefined if it doesn't fit. */
  #append (item: GossipItem, maxBytes: number, gossip: GossipPayload): number | undefined {
    if (item.kind === 'record') {
      const record = this.#lookup.record(item.id)
      return append(record, record && toBinary(RecordSchema, record).length, maxBytes, gossip.records)
    }
    const suspicion = this.#lookup.suspicion(item.id)
    return append(suspicion, suspicion && toBinary(SuspicionSchema, suspicion).length, maxBytes, gossip.suspicions)
  }
}

function append<T> (item: T | undefined, length: number | undefined, maxBytes: number, into: T[]): number | undefined {
  if (item === undefined || length === undefined || length > MAX_ITEM_BYTES) return 0
  const bytes = length + ITEM_OVERHEAD_BYTES
  if (bytes > maxBytes) return undefined
  into.push(item)
  return bytes
}
