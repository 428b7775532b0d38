/**
 * Kinds of frames between two daemons. The side that opened the connection sends requests, the other side answers them.
 * `quota`: asks for credits of workspaces. `reach`: asks which daemons the receiver can reach. `answered`: the reply to a call is ready and waits for the link. `part`, `lastPart`: pieces of an encoded frame that is too long to
 * be sent at once; those of several frames may alternate. `abortedParts`: the rest of such a frame will not come.
 */
export const FRAME_KINDS = {
  call: 1, cancel: 2, settle: 3, sync: 4, config: 5, reply: 6, ping: 7, pong: 8, answered: 9, part: 10, lastPart: 11, abortedParts: 12, quota: 13, reach: 14
} as const
export type FrameKind = typeof FRAME_KINDS[keyof typeof FRAME_KINDS]

/** `exchangeId` pairs a reply with its request on one connection; in the pieces of a frame it identifies that frame instead. */
export type Frame = readonly [kind: FrameKind, exchangeId: number, payload?: unknown]
