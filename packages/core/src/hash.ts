const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a over UTF-16 units, equal on every daemon; callers mix the result, and it is no defence against crafted input. */
export function fnv1a32 (text: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  return hash
}

/** FNV-1a over both names with a final mix; equal on every daemon; a daemon keeps to the targets that rank highest for it. */
export function rendezvousRank (daemon: string, target: string): number {
  let hash = fnv1a32(`${daemon}\n${target}`)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
