import { fnv1a32 } from '@lentilwheel/core'
import type { Record as MemberRecord } from '../gen/mesh_pb.js'

type Stamp = Pick<MemberRecord, 'incarnation' | 'sequence' | 'gone'>

/** Orders records of one daemon: a later run first, then a later change, then removal of the same run and change. */
export function compareRecords (a: Stamp, b: Stamp): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || Number(a.gone) - Number(b.gone)
}

/** Spreads ids over buckets and ranks. */
export function hash32 (text: string): number {
  let hash = fnv1a32(text)
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}

/** Digest of one record; digests of many combine by exclusive or, so that a change costs constant time. */
export function recordDigest (record: Pick<MemberRecord, 'id' | 'incarnation' | 'sequence'>): number {
  return hash32(`${record.id}\n${record.incarnation}\n${record.sequence}`)
}
