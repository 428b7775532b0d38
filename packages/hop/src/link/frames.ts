/**
 * Kinds of frames between two daemons. The side that opened the connection sends requests, the other side answers them.
 * `hello`: names the host whose daemon the sender wants; the reply tells which daemon it has reached. `quota`: asks for credits of workspaces. `reach`: asks which daemons the receiver can reach. `answered`: the reply to a call is
 * ready and waits for the link. `part`, `lastPart`: pieces of an encoded frame that is too long to be sent at once; those of several
 * frames may alternate. `abortedParts`: the rest of such a frame will not come.
 */
export const FRAME_KINDS = {
  call: 1, cancel: 2, settle: 3, sync: 4, config: 5, reply: 6, ping: 7, pong: 8, answered: 9, part: 10, lastPart: 11, abortedParts: 12, quota: 13, reach: 14, hello: 15
} as const
export type FrameKind = typeof FRAME_KINDS[keyof typeof FRAME_KINDS]

/**
 * `exchangeId` pairs a reply with its request on one connection; in the pieces of a frame it identifies that frame instead.
 * `totalBytes`: length of the whole frame, in the first of its pieces.
 */
export type Frame = readonly [kind: FrameKind, exchangeId: number, payload?: unknown, totalBytes?: number]

/** First byte of an array of three in MessagePack. */
const ARRAY_OF_THREE = 0x93
const MAX_FIXINT = 0x7f
/** Bytes of an unsigned integer in MessagePack, by the byte before them. */
const UINT_BYTES: Readonly<Record<number, number>> = { 0xcc: 1, 0xcd: 2, 0xce: 4 }

/** Reads kind and exchange id of an encoded frame from its first bytes; undefined if they aren't those of a frame. */
export function readFrameHeader (bytes: Uint8Array): [kind: number, exchangeId: number] | undefined {
  const [first, kind, id] = bytes
  if (first !== ARRAY_OF_THREE || kind === undefined || kind > MAX_FIXINT || id === undefined) return undefined
  if (id <= MAX_FIXINT) return [kind, id]
  const idBytes = UINT_BYTES[id]
  if (idBytes === undefined || bytes.length < 3 + idBytes) return undefined
  return [kind, Buffer.from(bytes.subarray(3, 3 + idBytes)).readUIntBE(0, idBytes)]
}
