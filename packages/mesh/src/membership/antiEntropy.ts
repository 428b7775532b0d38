import type { MessageInitShape } from '@bufbuild/protobuf'
import type { Cancel } from '@lentilwheel/core'
import { DIGEST_BUCKETS, EXCHANGE_FAST_PERIOD_MS, EXCHANGE_PERIOD_MS } from '../constants.js'
import type { MeshContext } from '../context.js'
import {
  MeshService, type ExchangeRequest, type ExchangeResponseSchema, type Header, type Record as MemberRecord
} from '../gen/mesh_pb.js'
import type { MeshAddress } from '../wire/address.js'
import { factFromWire, factToWire, packRecords, unpackRecords } from '../wire/codec.js'
import { TransferSlots } from '../wire/transferSlots.js'
import { compareRecords } from './memberRecord.js'
import { pickReachable } from './probeSelection.js'

/** Members that a busy daemon names to the requester to sync with instead. */
const MAX_REFERRALS = 8
/** Facts that differ are synced sooner than records: a rollback must be known within 2 s. */
const MAX_FACTS_DELAY_MS = 500
/** Time after which a requester rejected because of too many transfers should retry. */
const RETRY_AFTER_MS = 300

/** How a sync ended; `retry`: the peer was busy and named other members to sync with. */
export type SyncResult =
  | { kind: 'done', header: Header }
  | { kind: 'retry', afterMs: number, referrals: MemberRecord[] }

/**
 * Anti-entropy of member records and facts about moves. Digests that come with probes show whether a peer differs; only
 * the buckets of records that differ are then exchanged, in both directions.
 */
export class AntiEntropy {
  readonly #ctx: MeshContext
  #cancel: Cancel = () => {}
  #differingPeer: MeshAddress | undefined
  #isFactsSyncScheduled = false
  readonly #transferSlots: TransferSlots
  #nextSyncAt = 0

  constructor (ctx: MeshContext) {
    this.#ctx = ctx
    this.#transferSlots = new TransferSlots(ctx.opts.timers)
  }

  start (): void {
    this.#cancel = this.#ctx.opts.timers.every(EXCHANGE_FAST_PERIOD_MS, () => this.#tick(), { jitter: 0.2 })
  }

  stop (): void {
    this.#cancel()
  }

  /**
   * Compares the digests in a peer's header and schedules a sync if they differ. Only probes and their answers carry
   * digests, and probes go to random members, so a daemon syncs with random peers.
   */
  compareDigests (header: Header, from: MeshAddress): void {
    const { table, facts, opts } = this.#ctx
    if (header.recordsDigest === 0) return
    if (header.recordsDigest !== table.digest) this.#differingPeer = from
    if (header.factsDigest === facts.digest || this.#isFactsSyncScheduled) return
    this.#isFactsSyncScheduled = true
    opts.timers.after(MAX_FACTS_DELAY_MS * (0.5 + opts.random.next() / 2), () => {
      this.#isFactsSyncScheduled = false
      if (header.factsDigest !== facts.digest) this.#ctx.runInBackground(this.syncWith(from))
    })
  }

  #tick (): void {
    const { table, opts } = this.#ctx
    const peer = this.#differingPeer
    const now = opts.timers.now()
    if (!peer || now < this.#nextSyncAt) return
    this.#differingPeer = undefined
    this.#nextSyncAt = now + EXCHANGE_PERIOD_MS
    const before = table.digest
    this.#ctx.runInBackground(this.syncWith(peer).then(() => { if (table.digest !== before) this.#nextSyncAt = now }))
  }

  /** Syncs with one peer, so that both hold the newer of what each held, unless the peer is busy with other transfers. */
  async syncWith (peer: MeshAddress): Promise<SyncResult> {
    const { table, messenger } = this.#ctx
    const res = await messenger.call(peer, MeshService.method.exchange, { buckets: [...table.buckets] })
    this.#merge(res.records, res.facts)
    if (res.retryAfterMs > 0) {
      this.#ctx.mergeRecords(res.referrals, 'transfer')
      return { kind: 'retry', afterMs: res.retryAfterMs, referrals: res.referrals }
    }
    await this.#sendMissing(peer, res.buckets, unpackRecords(res.records), res.header)
    return { kind: 'done', header: res.header! }
  }

  /** Sends the peer the records and facts that its answer showed to be missing or older there. */
  async #sendMissing (
    peer: MeshAddress, buckets: readonly number[], theirs: readonly MemberRecord[], header: Header | undefined
  ): Promise<void> {
    const { table, facts, messenger } = this.#ctx
    const known = new Map(theirs.map((record) => [record.id, record]))
    const newer = table.recordsOf(differingBuckets(table.buckets, buckets)).filter((record) => {
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

  /** Merges what a peer sent and answers with the records and facts that differ. */
  handleExchange (req: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    const { table, facts } = this.#ctx
    this.#merge(req.records, req.facts)
    const buckets = [...table.buckets]
    const records = packRecords(table.recordsOf(differingBuckets(table.buckets, req.buckets)))
    if (!this.#transferSlots.tryAcquire(records)) return this.#rejectBusy()
    const isSame = req.header?.factsDigest === facts.digest
    return { buckets, records, facts: isSame ? [] : facts.list().map(factToWire) }
  }

  #merge (records: ExchangeRequest['records'], facts: ExchangeRequest['facts']): void {
    this.#ctx.mergeRecords(unpackRecords(records), 'transfer')
    this.#ctx.mergeFacts(facts.map(factFromWire))
  }

  #rejectBusy (): MessageInitShape<typeof ExchangeResponseSchema> {
    const { table, opts } = this.#ctx
    const referrals = pickReachable(table, opts.random, MAX_REFERRALS).map((member) => member.record)
    return { retryAfterMs: RETRY_AFTER_MS, referrals }
  }
}

/** Indexes of the buckets whose digests differ. */
function differingBuckets (own: readonly number[], other: readonly number[]): Set<number> {
  const buckets = new Set<number>()
  for (let i = 0; i < DIGEST_BUCKETS; i++) {
    if (own[i] !== (other[i] ?? 0)) buckets.add(i)
  }
  return buckets
}
