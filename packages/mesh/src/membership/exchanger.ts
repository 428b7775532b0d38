import type { MessageInitShape } from '@bufbuild/protobuf'
import type { Cancel } from '@lentilwheel/core'
import { DIGEST_BUCKETS, EXCHANGE_FAST_MS, EXCHANGE_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import {
  MeshService, type ExchangeRequest, type ExchangeResponseSchema, type Header, type Record as MemberRecord
} from '../gen/mesh_pb.js'
import type { MeshAddress } from '../wire/address.js'
import { factFromWire, factToWire, packRecords, unpackRecords } from '../wire/codec.js'
import { TransferSlots } from '../wire/transferSlots.js'
import { compareRecords } from './records.js'
import { pickReachable } from './probing.js'

const REFERRALS = 8
/** Facts that differ are fetched sooner than records: a rollback must be known within 2 s. */
const FACTS_EXCHANGE_MS = 500
/** A transfer turned away is tried again after up to this time. */
const RETRY_AFTER_MS = 300

export type ExchangeOutcome =
  | { kind: 'done', header: Header }
  | { kind: 'retry', afterMs: number, referrals: MemberRecord[] }

/** Anti-entropy of records and facts: digests first, then what differs. */
export class Exchanger {
  readonly #ctx: MeshContext
  #cancel: Cancel = () => {}
  #differing: MeshAddress | undefined
  #factsPending = false
  readonly #slots: TransferSlots
  #dueAt = 0

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    this.#slots = new TransferSlots(ctx.opts.timers)
  }

  start (): void {
    this.#cancel = this.#ctx.opts.timers.every(EXCHANGE_FAST_MS, () => this.#tick(), { jitter: 0.2 })
  }

  stop (): void {
    this.#cancel()
  }

  /** Compares the digests that came with a message; probes go to random members, so these are random peers. */
  observe (header: Header, from: MeshAddress): void {
    const { table, facts, opts } = this.#ctx
    if (header.recordsDigest === 0) return
    if (header.recordsDigest !== table.digest) this.#differing = from
    if (header.factsDigest === facts.digest || this.#factsPending) return
    this.#factsPending = true
    opts.timers.after(FACTS_EXCHANGE_MS * (0.5 + opts.random.next() / 2), () => {
      this.#factsPending = false
      if (header.factsDigest !== facts.digest) this.#ctx.detach(this.with(from))
    })
  }

  #tick (): void {
    const { table, opts } = this.#ctx
    const peer = this.#differing
    const now = opts.timers.now()
    if (!peer || now < this.#dueAt) return
    this.#differing = undefined
    this.#dueAt = now + EXCHANGE_PERIOD_MS
    const before = table.digest
    this.#ctx.detach(this.with(peer).then(() => { if (table.digest !== before) this.#dueAt = now }))
  }

  /** Exchanges with one peer until both hold the newer of what each held. */
  async with (peer: MeshAddress): Promise<ExchangeOutcome> {
    const { table, messenger } = this.#ctx
    const res = await messenger.call(peer, MeshService.method.exchange, { buckets: [...table.buckets] })
    this.#merge(res.records, res.facts)
    if (res.retryAfterMs > 0) {
      this.#ctx.mergeRecords(res.referrals, 'transfer')
      return { kind: 'retry', afterMs: res.retryAfterMs, referrals: res.referrals }
    }
    await this.#giveBack(peer, res.buckets, unpackRecords(res.records), res.header)
    return { kind: 'done', header: res.header! }
  }

  /** Sends what the peer's answer showed to be missing or older there. */
  async #giveBack (
    peer: MeshAddress, buckets: readonly number[], theirs: readonly MemberRecord[], header: Header | undefined
  ): Promise<void> {
    const { table, facts, messenger } = this.#ctx
    const known = new Map(theirs.map((record) => [record.id, record]))
    const newer = table.recordsOf(differing(table.buckets, buckets)).filter((record) => {
      const other = known.get(record.id)
      return !other ? !record.gone : compareRecords(record, other) > 0
    })
    const sendFacts = header !== undefined && header.factsDigest !== facts.digest
    if (newer.length === 0 && !sendFacts) return
    await messenger.call(peer, MeshService.method.exchange, {
      buckets: [...table.buckets],
      records: packRecords(newer),
      facts: sendFacts ? facts.list().map(factToWire) : []
    })
  }

  answer (req: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    const { table, facts } = this.#ctx
    this.#merge(req.records, req.facts)
    const buckets = [...table.buckets]
    const records = packRecords(table.recordsOf(differing(table.buckets, req.buckets)))
    if (!this.#slots.admits(records)) return this.#turnAway()
    const isSame = req.header?.factsDigest === facts.digest
    return { buckets, records, facts: isSame ? [] : facts.list().map(factToWire) }
  }

  #merge (records: ExchangeRequest['records'], facts: ExchangeRequest['facts']): void {
    this.#ctx.mergeRecords(unpackRecords(records), 'transfer')
    this.#ctx.mergeFacts(facts.map(factFromWire))
  }

  #turnAway (): MessageInitShape<typeof ExchangeResponseSchema> {
    const { table, opts } = this.#ctx
    const referrals = pickReachable(table, opts.random, REFERRALS).map((member) => member.record)
    return { retryAfterMs: RETRY_AFTER_MS, referrals }
  }
}

function differing (own: readonly number[], other: readonly number[]): Set<number> {
  const buckets = new Set<number>()
  for (let i = 0; i < DIGEST_BUCKETS; i++) {
    if (own[i] !== (other[i] ?? 0)) buckets.add(i)
  }
  return buckets
}
