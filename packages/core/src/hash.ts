const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * 32-bit FNV-1a hash over UTF-16 code units, the same on every daemon. The bits are poorly mixed, so callers add a final
 * mix. Not collision-resistant against crafted input.
 */
export function fnv1a32 (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  return hash
}

/**
 * Score of a target for a daemon in rendezvous hashing, the same on every daemon. A daemon uses the targets with its
 * highest scores, so its subset changes little when targets come and go.
 */
export function rendezvousScore (daemon: string, target: string): number {
  let hash = fnv1a32(`${daemon}\n${target}`)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
