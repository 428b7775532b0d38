import { BodyBuffer } from '../buffers/bodyBuffer.js'
import type { CallerExchange } from './nodeCallerExchange.js'

const NO_BODY = Buffer.alloc(0)

/** Reads the body of a request, which is rejected once it exceeds the limit, and passes it on when it is complete. */
export function readBody (exchange: CallerExchange, maxBytes: number, onRead: (body: Buffer) => void): void {
  const { req } = exchange
  const { 'content-length': declaredLength, 'transfer-encoding': encoding } = req.headers
  if (declaredLength === undefined && encoding === undefined) return onRead(NO_BODY)
  const declaredBytes = declaredLength === undefined ? Infinity : Number(declaredLength)
  if (declaredLength !== undefined && declaredBytes > maxBytes) return exchange.rejectUnread(413, 'bodyTooLarge', maxBytes)
  exchange.startReading(new BodyBuffer(declaredBytes))
  req.on('data', (chunk: Buffer) => {
    const body = exchange.unreadBody
    if (!body) return
    if (body.length + chunk.length > maxBytes) return exchange.rejectUnread(413, 'bodyTooLarge', maxBytes)
    body.append(chunk)
    exchange.hold(body.capacity)
  })
  req.on('error', () => {})
  req.on('end', () => {
    const body = exchange.unreadBody
    if (!body) return
    // The request is copied once more on its way to the target.
    exchange.endReading(2 * body.length)
    if (!exchange.isGone) onRead(body.take())
  })
}
