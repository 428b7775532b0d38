import { constants } from 'node:http2'

/** Paths of the protocol between daemons; each takes and gives one MessagePack message. */
export const PATHS = {
  call: '/call',
  settle: '/settle',
  sync: '/sync',
  config: '/config'
} as const

/** Reset code by which a sender takes a call back; a broken session has other codes. */
export const WITHDRAWN = constants.NGHTTP2_REFUSED_STREAM
export const MAX_CONCURRENT_STREAMS = 1_000
/** Bytes under way on one stream, so that a large response isn't held up by the round trip. */
export const WINDOW_BYTES = 1024 * 1024
/** Largest message of a peer. */
export const MAX_MESSAGE_BYTES = 80 * 1024 * 1024
