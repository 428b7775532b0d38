import type { Record as MemberRecord } from '../gen/mesh_pb.js'

type Stamp = Pick<MemberRecord, 'incarnation' | 'sequence' | 'gone'>

/** Orders records of one daemon: a later run first, then a later change, then removal of the same run and change. */
export function compareRecords (a: Stamp, b: Stamp): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence || Number(a.gone) - Number(b.gone)
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a; spreads ids over buckets and ranks, and is no defence against crafted input. */
export function hash32 (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  return hash >>> 0
}

/** Digest of one record; digests of many combine by exclusive or, so that a change costs constant time. */
export function recordDigest (record: Pick<MemberRecord, 'id' | 'incarnation' | 'sequence'>): number {
  return hash32(`${record.id}\n${record.incarnation}\n${record.sequence}`)
}
