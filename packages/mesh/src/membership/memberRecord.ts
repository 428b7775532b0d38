import { fnv1a32 } from '@lentilwheel/core'
import type { Record as MemberRecord } from '../gen/mesh_pb.js'

type RecordVersion = Pick<MemberRecord, 'incarnation' | 'sequence' | 'gone'>

/**
 * Compares two records of one daemon by incarnation (its run), then by sequence (its change), then by removal: a positive
 * result means that `a` replaces `b`.
 */
export function compareRecords (a: RecordVersion, b: RecordVersion): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || Number(a.gone) - Number(b.gone)
}

/** FNV-1a with further mixing, so that ids spread evenly over buckets and ranks. */
export function hash32 (text: string): number {
  let hash = fnv1a32(text)
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}

/** Digest of one record. Digests of many are combined by exclusive or, so that a changed record costs constant time. */
export function recordDigest (record: Pick<MemberRecord, 'id' | 'incarnation' | 'sequence'>): number {
  return hash32(`${record.id}\n${record.incarnation}\n${record.sequence}`)
}
