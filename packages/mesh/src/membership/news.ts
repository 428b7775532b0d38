import { toBinary } from '@bufbuild/protobuf'
import { RecordSchema, SuspicionSchema, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import type { News } from '../wire/messenger.js'

/** Larger items are left to pushes in calls and to exchanges, since they could wait here for ever. */
const MAX_ITEM_BYTES = 900
/** Bytes that a repeated field adds to each item. */
const ITEM_OVERHEAD_BYTES = 4

type NewsKind = 'record' | 'suspicion'

interface Item {
  kind: NewsKind
  id: string
  copiesLeft: number
}

/** Updates that still ride on datagrams, each a bounded number of times. */
export class NewsQueue {
  readonly #items = new Map<string, Item>()
  readonly #lookUp: { record (id: string): MemberRecord | undefined, suspicion (id: string): Suspicion | undefined }

  constructor (lookUp: { record (id: string): MemberRecord | undefined, suspicion (id: string): Suspicion | undefined }) {
    this.#lookUp = lookUp
  }

  add (kind: NewsKind, id: string, copies: number): void {
    const key = `${kind}:${id}`
    this.#items.delete(key)
    this.#items.set(key, { kind, id, copiesLeft: copies })
  }

  get size (): number {
    return this.#items.size
  }

  /** Takes what fits; items taken go to the end so that a burst is spread over many datagrams. */
  take (room: number, news: News = { records: [], suspicions: [] }): News {
    let left = room
    for (const [key, item] of [...this.#items]) {
      const bytes = this.#put(item, left, news)
      if (bytes === undefined) break
      left -= bytes
      this.#items.delete(key)
      if (bytes > 0 && --item.copiesLeft > 0) this.#items.set(key, item)
    }
    return news
  }

  /** Bytes used; 0 when there is nothing to tell any more, undefined when it doesn't fit. */
  #put (item: Item, room: number, news: News): number | undefined {
    if (item.kind === 'record') {
      const record = this.#lookUp.record(item.id)
      return put(record, record && toBinary(RecordSchema, record).length, room, news.records)
    }
    const suspicion = this.#lookUp.suspicion(item.id)
    return put(suspicion, suspicion && toBinary(SuspicionSchema, suspicion).length, room, news.suspicions)
  }
}

function put<T> (item: T | undefined, length: number | undefined, room: number, into: T[]): number | undefined {
  if (item === undefined || length === undefined || length > MAX_ITEM_BYTES) return 0
  const bytes = length + ITEM_OVERHEAD_BYTES
  if (bytes > room) return undefined
  into.push(item)
  return bytes
}
