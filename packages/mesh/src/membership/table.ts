import { create } from '@bufbuild/protobuf'
import {
  DIGEST_BUCKETS, DIRECT_EVIDENCE_MS, MIN_SUSPICION_MS, PARTITION_KEEP_MS, REMOVAL_OBSERVERS, SUSPICION_BASE_MS,
  TOMBSTONE_MS
} from '../constants.js'
import { SuspicionSchema, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { compareRecords, hash32, recordDigest } from './records.js'

/** `suspect`: others could not reach it; `unreachable`: this daemon could not, or its data centre is cut off. */
export type MemberStatus = 'alive' | 'suspect' | 'unreachable'

export interface Member {
  record: MemberRecord
  address: MeshAddress
  /** Observers that could not reach it, since when the suspicion runs. */
  suspicion?: { since: number, observers: Set<string> }
  /** Since when this daemon's own probes fail. */
  unreachableSince?: number
  /** When a message came from it directly. */
  heardAt?: number
  /** Version it held when last heard from. */
  version: number
  ready: boolean
}

export type MergeResult = 'joined' | 'newer' | 'removed' | 'old' | 'refute'

export type MembershipEffect =
  | { kind: 'removed', member: Member }
  | { kind: 'partition', dataCentre: string, unreachable: number, members: number }
  | { kind: 'healed', dataCentre: string }

/** All members as this daemon knows them: records by their writers, reachability by its own and others' probes. */
export class MemberTable {
  #self: MemberRecord
  readonly #members = new Map<string, Member>()
  readonly #byAddress = new Map<MeshAddress, Member>()
  readonly #tombstones = new Map<string, { record: MemberRecord, until: number }>()
  readonly #partitioned = new Map<string, number>()
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0)

  constructor (self: MemberRecord) {
    this.#self = self
    this.#toggle(self)
  }

  get self (): MemberRecord {
    return this.#self
  }

  /** Changes the own record; the sequence rises so that the change wins everywhere. */
  updateSelf (change: Partial<Omit<MemberRecord, 'id' | '$typeName' | '$unknown'>>): MemberRecord {
    this.#toggle(this.#self)
    this.#self = { ...this.#self, sequence: this.#self.sequence + 1, ...change }
    this.#toggle(this.#self)
    return this.#self
  }

  get (id: string): Member | undefined {
    return this.#members.get(id)
  }

  at (address: MeshAddress): Member | undefined {
    return this.#byAddress.get(address)
  }

  /** Other members that are not removed. */
  members (): Member[] {
    return [...this.#members.values()]
  }

  /** Members of all data centres, this daemon included. */
  get size (): number {
    return this.#members.size + 1
  }

  /** Record or tombstone held for an id. */
  record (id: string): MemberRecord | undefined {
    if (id === this.#self.id) return this.#self
    return this.#members.get(id)?.record ?? this.#tombstones.get(id)?.record
  }

  merge (record: MemberRecord, now: number): MergeResult {
    if (record.id === this.#self.id) return this.#mergeSelf(record)
    const held = this.record(record.id)
    if (held && compareRecords(record, held) <= 0) return 'old'
    const member = this.#members.get(record.id)
    if (member) this.#drop(member)
    if (record.gone) {
      this.#tombstones.set(record.id, { record, until: now + TOMBSTONE_MS })
      return member ? 'removed' : 'newer'
    }
    this.#tombstones.delete(record.id)
    this.#add(record, member)
    return member ? 'newer' : 'joined'
  }

  /** A record of this daemon from elsewhere that outranks the own one is of an earlier run or a wrong removal. */
  #mergeSelf (record: MemberRecord): MergeResult {
    if (compareRecords(record, this.#self) <= 0) return 'old'
    if (this.#self.gone) return 'old'
    if (record.incarnation > this.#self.incarnation) this.updateSelf({ incarnation: record.incarnation + 1, sequence: 1 })
    else this.updateSelf({ sequence: record.sequence + 1 })
    return 'refute'
  }

  /** Merges the word of observers; true when it told something new. */
  suspect (suspicion: Suspicion, now: number): MergeResult | 'suspected' {
    if (suspicion.subject === this.#self.id) return this.#refute(suspicion)
    const member = this.#members.get(suspicion.subject)
    if (!member || compareRecords({ ...suspicion, gone: false }, member.record) !== 0) return 'old'
    if (member.heardAt !== undefined && now - member.heardAt < DIRECT_EVIDENCE_MS) return 'old'
    const held = member.suspicion ??= { since: now, observers: new Set() }
    const before = held.observers.size
    for (const observer of suspicion.observers) {
      if (held.observers.size < REMOVAL_OBSERVERS) held.observers.add(observer)
    }
    return held.observers.size > before ? 'suspected' : 'old'
  }

  #refute (suspicion: Suspicion): MergeResult {
    const isCurrent = compareRecords({ ...suspicion, gone: false }, this.#self) >= 0
    if (!isCurrent || this.#self.gone) return 'old'
    this.updateSelf({ sequence: Math.max(this.#self.sequence, suspicion.sequence) + 1 })
    return 'refute'
  }

  suspicionOf (member: Member): Suspicion | undefined {
    if (!member.suspicion) return undefined
    const { id, incarnation, sequence } = member.record
    return create(SuspicionSchema, { subject: id, incarnation, sequence, observers: [...member.suspicion.observers] })
  }

  /** A message came from the member itself, which outweighs the word of others. */
  heard (id: string, now: number, seen: { version: number, ready: boolean }): Member | undefined {
    const member = this.#members.get(id)
    if (!member) return undefined
    member.heardAt = now
    member.version = Math.max(member.version, seen.version)
    member.ready = seen.ready
    delete member.unreachableSince
    delete member.suspicion
    return member
  }

  /** This daemon's own probes of a member failed; true when that is new to the suspicion. */
  probeFailed (member: Member, now: number): boolean {
    member.unreachableSince ??= now
    delete member.heardAt
    const { id, incarnation, sequence } = member.record
    const own = create(SuspicionSchema, { subject: id, incarnation, sequence, observers: [this.#self.id] })
    return this.suspect(own, now) === 'suspected'
  }

  status (member: Member): MemberStatus {
    if (member.unreachableSince !== undefined) return 'unreachable'
    if (!member.suspicion) return 'alive'
    return this.#partitioned.has(member.record.dataCentre) ? 'unreachable' : 'suspect'
  }

  suspicionPeriodMs (): number {
    return Math.max(MIN_SUSPICION_MS, SUSPICION_BASE_MS * Math.log10(this.size))
  }

  /** Removes members whose suspicion ended with enough observers, unless their data centre seems cut off. */
  * tick (now: number): Generator<MembershipEffect, void, void> {
    for (const [id, tombstone] of this.#tombstones) {
      if (tombstone.until <= now) this.#tombstones.delete(id)
    }
    const suspects = this.members().filter((member) => member.suspicion)
    if (suspects.length > 0 || this.#partitioned.size > 0) yield * this.#judgePartitions(now)
    const needed = this.#observersNeeded(suspects.length)
    for (const member of suspects) {
      if (!this.#isRemovable(member, needed, now)) continue
      this.merge({ ...member.record, gone: true, endpoints: [] }, now)
      yield { kind: 'removed', member }
    }
  }

  #isRemovable (member: Member, needed: number, now: number): boolean {
    const suspicion = member.suspicion
    if (!suspicion) return false
    const partitionedAt = this.#partitioned.get(member.record.dataCentre)
    if (partitionedAt !== undefined) return now - partitionedAt >= PARTITION_KEEP_MS
    return now - suspicion.since >= this.suspicionPeriodMs() && suspicion.observers.size >= needed
  }

  /** Three observers, or all members that can observe when there are fewer. */
  #observersNeeded (suspects: number): number {
    return Math.max(1, Math.min(REMOVAL_OBSERVERS, this.size - suspects))
  }

  * #judgePartitions (now: number): Generator<MembershipEffect, void, void> {
    for (const [dataCentre, { members, unreachable }] of this.#counts()) {
      const isCut = unreachable > members / 2
      if (isCut && !this.#partitioned.has(dataCentre)) {
        this.#partitioned.set(dataCentre, now)
        yield { kind: 'partition', dataCentre, unreachable, members }
      }
      if (isCut || !this.#partitioned.delete(dataCentre)) continue
      this.#restartSuspicions(dataCentre, now)
      yield { kind: 'healed', dataCentre }
    }
  }

  /** Members still suspected when the link returns get a full period to be heard. */
  #restartSuspicions (dataCentre: string, now: number): void {
    for (const member of this.#members.values()) {
      if (member.record.dataCentre === dataCentre && member.suspicion) member.suspicion.since = now
    }
  }

  #counts (): Map<string, { members: number, unreachable: number }> {
    const counts = new Map([[this.#self.dataCentre, { members: 1, unreachable: 0 }]])
    for (const member of this.#members.values()) {
      let count = counts.get(member.record.dataCentre)
      if (!count) counts.set(member.record.dataCentre, count = { members: 0, unreachable: 0 })
      count.members++
      if (member.suspicion || member.unreachableSince !== undefined) count.unreachable++
    }
    for (const dataCentre of this.#partitioned.keys()) {
      if (!counts.has(dataCentre)) counts.set(dataCentre, { members: 0, unreachable: 0 })
    }
    return counts
  }

  /** Digest over all live records. */
  get digest (): number {
    return this.#buckets.reduce((sum, bucket) => sum ^ bucket, 0) >>> 0
  }

  get buckets (): readonly number[] {
    return this.#buckets
  }

  /** Records and tombstones of the given buckets. */
  recordsOf (buckets: ReadonlySet<number>): MemberRecord[] {
    const records = [this.#self, ...this.members().map((member) => member.record)]
    for (const { record } of this.#tombstones.values()) records.push(record)
    return records.filter((record) => buckets.has(hash32(record.id) % DIGEST_BUCKETS))
  }

  #add (record: MemberRecord, before: Member | undefined): void {
    const isSameRun = before?.record.incarnation === record.incarnation
    const member: Member = {
      record,
      address: meshAddress(record.address, record.meshPort),
      version: isSameRun ? before.version : 0,
      ready: isSameRun && before.ready
    }
    this.#members.set(record.id, member)
    this.#byAddress.set(member.address, member)
    this.#toggle(record)
  }

  #drop (member: Member): void {
    this.#members.delete(member.record.id)
    if (this.#byAddress.get(member.address) === member) this.#byAddress.delete(member.address)
    this.#toggle(member.record)
  }

  #toggle (record: MemberRecord): void {
    if (record.gone) return
    const bucket = hash32(record.id) % DIGEST_BUCKETS
    this.#buckets[bucket] = (this.#buckets[bucket]! ^ recordDigest(record)) >>> 0
  }
}
