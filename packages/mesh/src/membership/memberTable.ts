import { create } from '@bufbuild/protobuf'
import {
  DIGEST_BUCKETS, DIRECT_CONTACT_MS, MIN_SUSPICION_MS, PARTITION_RETENTION_MS, REMOVAL_OBSERVERS, SUSPICION_BASE_MS,
  TOMBSTONE_MS
} from '../constants.js'
import { SuspicionSchema, type Record as MemberRecord, type Suspicion } from '../gen/mesh_pb.js'
import { meshAddress, type MeshAddress } from '../wire/address.js'
import { compareRecords, hash32, recordDigest } from './memberRecord.js'

/** `suspect`: other members could not reach it; `unreachable`: this daemon could not, or its data centre is partitioned. */
export type MemberStatus = 'alive' | 'suspect' | 'unreachable'

export interface Member {
  record: MemberRecord
  address: MeshAddress
  /** When the suspicion began and the ids of the members that could not reach it. */
  suspicion?: { since: number, observers: Set<string> }
  /** Time since which this daemon's own probes fail. */
  unreachableSince?: number
  /** Time of the last message received from it directly. */
  lastContactAt?: number
  /** Configuration version that it held at the last contact. */
  version: number
  /** Whether it may serve, as of the last contact. */
  isReady: boolean
}

/** What merging a record or suspicion did; `refute`: it was about this daemon, which raised its own record to refute it. */
export type MergeResult = 'joined' | 'newer' | 'removed' | 'old' | 'refute'

/** Changes of membership that `MemberTable.tick` made, without any message. */
export type MembershipChange =
  | { kind: 'removed', member: Member }
  | { kind: 'partition', dataCentre: string, unreachable: number, members: number }
  | { kind: 'healed', dataCentre: string }

/**
 * All members as this daemon knows them (SWIM-like). Each member writes its own record; reachability comes from this
 * daemon's probes and from the suspicions of others. A member is removed once enough observers suspect it for the
 * suspicion period. If most members of a data centre are unreachable, this is taken for a partition, and they are kept for
 * `PARTITION_RETENTION_MS`.
 */
export class MemberTable {
  #self: MemberRecord
  readonly #members = new Map<string, Member>()
  readonly #byAddress = new Map<MeshAddress, Member>()
  readonly #tombstones = new Map<string, { record: MemberRecord, until: number }>()
  readonly #partitionedSince = new Map<string, number>()
  readonly #buckets = new Array<number>(DIGEST_BUCKETS).fill(0)

  constructor (self: MemberRecord) {
    this.#self = self
    this.#toggleDigest(self)
  }

  get self (): MemberRecord {
    return this.#self
  }

  /** Changes the own record and raises its sequence, so that the change replaces older records at all members. */
  updateSelf (change: Partial<Omit<MemberRecord, 'id' | '$typeName' | '$unknown'>>): MemberRecord {
    this.#toggleDigest(this.#self)
    this.#self = { ...this.#self, sequence: this.#self.sequence + 1, ...change }
    this.#toggleDigest(this.#self)
    return this.#self
  }

  get (id: string): Member | undefined {
    return this.#members.get(id)
  }

  getByAddress (address: MeshAddress): Member | undefined {
    return this.#byAddress.get(address)
  }

  /** All members except this daemon and removed ones. */
  members (): Member[] {
    return [...this.#members.values()]
  }

  /** Number of members in all data centres, this daemon included. */
  get size (): number {
    return this.#members.size + 1
  }

  /** Returns the record or tombstone held for an id. */
  record (id: string): MemberRecord | undefined {
    if (id === this.#self.id) return this.#self
    return this.#members.get(id)?.record ?? this.#tombstones.get(id)?.record
  }

  /** Takes in a record if it is newer than the one held; a record that says `gone` becomes a tombstone. */
  merge (record: MemberRecord, now: number): MergeResult {
    if (record.id === this.#self.id) return this.#mergeSelf(record)
    const held = this.record(record.id)
    if (held && compareRecords(record, held) <= 0) return 'old'
    const member = this.#members.get(record.id)
    if (member) this.#remove(member)
    if (record.gone) {
      this.#tombstones.set(record.id, { record, until: now + TOMBSTONE_MS })
      return member ? 'removed' : 'newer'
    }
    this.#tombstones.delete(record.id)
    this.#add(record, member)
    return member ? 'newer' : 'joined'
  }

  /** Refutes a record of this daemon that is newer than its own: it comes from an earlier run or from a wrong removal. */
  #mergeSelf (record: MemberRecord): MergeResult {
    if (compareRecords(record, this.#self) <= 0) return 'old'
    if (this.#self.gone) return 'old'
    if (record.incarnation > this.#self.incarnation) this.updateSelf({ incarnation: record.incarnation + 1, sequence: 1 })
    else this.updateSelf({ sequence: record.sequence + 1 })
    return 'refute'
  }

  /** Merges a suspicion of other members; `suspected` if it named a new observer. Recent direct contact overrides it. */
  mergeSuspicion (suspicion: Suspicion, now: number): MergeResult | 'suspected' {
    if (suspicion.subject === this.#self.id) return this.#refute(suspicion)
    const member = this.#members.get(suspicion.subject)
    if (!member || compareRecords({ ...suspicion, gone: false }, member.record) !== 0) return 'old'
    if (member.lastContactAt !== undefined && now - member.lastContactAt < DIRECT_CONTACT_MS) return 'old'
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

  /** Records a message from the member itself, which clears all suspicion. */
  recordContact (id: string, now: number, seen: { version: number, ready: boolean }): Member | undefined {
    const member = this.#members.get(id)
    if (!member) return undefined
    member.lastContactAt = now
    member.version = Math.max(member.version, seen.version)
    member.isReady = seen.ready
    delete member.unreachableSince
    delete member.suspicion
    return member
  }

  /** Records that this daemon's probes of a member failed; true if this daemon is a new observer of the suspicion. */
  recordProbeFailure (member: Member, now: number): boolean {
    member.unreachableSince ??= now
    delete member.lastContactAt
    const { id, incarnation, sequence } = member.record
    const own = create(SuspicionSchema, { subject: id, incarnation, sequence, observers: [this.#self.id] })
    return this.mergeSuspicion(own, now) === 'suspected'
  }

  status (member: Member): MemberStatus {
    if (member.unreachableSince !== undefined) return 'unreachable'
    if (!member.suspicion) return 'alive'
    return this.#partitionedSince.has(member.record.dataCentre) ? 'unreachable' : 'suspect'
  }

  /** Time for a suspected member to refute; it grows with the logarithm of the number of members. */
  suspicionPeriodMs (): number {
    return Math.max(MIN_SUSPICION_MS, SUSPICION_BASE_MS * Math.log10(this.size))
  }

  /** Removes members whose suspicion period ended with enough observers, unless their data centre seems partitioned. */
  * tick (now: number): Generator<MembershipChange, void, void> {
    for (const [id, tombstone] of this.#tombstones) {
      if (tombstone.until <= now) this.#tombstones.delete(id)
    }
    const suspects = this.members().filter((member) => member.suspicion)
    if (suspects.length > 0 || this.#partitionedSince.size > 0) yield * this.#detectPartitions(now)
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
    const partitionedAt = this.#partitionedSince.get(member.record.dataCentre)
    if (partitionedAt !== undefined) return now - partitionedAt >= PARTITION_RETENTION_MS
    return now - suspicion.since >= this.suspicionPeriodMs() && suspicion.observers.size >= needed
  }

  /** `REMOVAL_OBSERVERS`, or the number of members that are not suspected if that is smaller. */
  #observersNeeded (suspects: number): number {
    return Math.max(1, Math.min(REMOVAL_OBSERVERS, this.size - suspects))
  }

  /** A data centre counts as partitioned while more than half of its members are unreachable. */
  * #detectPartitions (now: number): Generator<MembershipChange, void, void> {
    for (const [dataCentre, { members, unreachable }] of this.#countByDataCentre()) {
      const isPartitioned = unreachable > members / 2
      if (isPartitioned && !this.#partitionedSince.has(dataCentre)) {
        this.#partitionedSince.set(dataCentre, now)
        yield { kind: 'partition', dataCentre, unreachable, members }
      }
      if (isPartitioned || !this.#partitionedSince.delete(dataCentre)) continue
      this.#restartSuspicions(dataCentre, now)
      yield { kind: 'healed', dataCentre }
    }
  }

  /** Gives members that are still suspected when a partition heals a full suspicion period to make contact. */
  #restartSuspicions (dataCentre: string, now: number): void {
    for (const member of this.#members.values()) {
      if (member.record.dataCentre === dataCentre && member.suspicion) member.suspicion.since = now
    }
  }

  #countByDataCentre (): Map<string, { members: number, unreachable: number }> {
    const counts = new Map([[this.#self.dataCentre, { members: 1, unreachable: 0 }]])
    for (const member of this.#members.values()) {
      let count = counts.get(member.record.dataCentre)
      if (!count) counts.set(member.record.dataCentre, count = { members: 0, unreachable: 0 })
      count.members++
      if (member.suspicion || member.unreachableSince !== undefined) count.unreachable++
    }
    for (const dataCentre of this.#partitionedSince.keys()) {
      if (!counts.has(dataCentre)) counts.set(dataCentre, { members: 0, unreachable: 0 })
    }
    return counts
  }

  /** Digest of all records, without tombstones. */
  get digest (): number {
    return this.#buckets.reduce((sum, bucket) => sum ^ bucket, 0) >>> 0
  }

  /** Digests of the records by hash of their id, to find out which ones differ from a peer's. */
  get buckets (): readonly number[] {
    return this.#buckets
  }

  /** Returns the records and tombstones in the given buckets. */
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
      isReady: isSameRun && before.isReady
    }
    this.#members.set(record.id, member)
    this.#byAddress.set(member.address, member)
    this.#toggleDigest(record)
  }

  #remove (member: Member): void {
    this.#members.delete(member.record.id)
    if (this.#byAddress.get(member.address) === member) this.#byAddress.delete(member.address)
    this.#toggleDigest(member.record)
  }

  /** Adds a record to the digest of its bucket, or takes it out again. */
  #toggleDigest (record: MemberRecord): void {
    if (record.gone) return
    const bucket = hash32(record.id) % DIGEST_BUCKETS
    this.#buckets[bucket] = (this.#buckets[bucket]! ^ recordDigest(record)) >>> 0
  }
}
