import test, { type ExecutionContext } from 'ava'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { NodeTimers, SeededRandom } from '@lentilwheel/core'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { NodeTargetClient } from '../nodeTargetClient.js'
import { createResponseLimits } from '../responseLimits.js'
import type { TargetResult } from '../targetResult.js'

const MAX_BODY_BYTES = 16 * 1024 * 1024
/** A reset reaches a process in several ways, so each case is played so often. */
const ROUNDS = 40
const PART = 'a part of the body'
const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r\r\nx-sig: s\r\n'
const SHORT_BYTES = 10
const LONG_BYTES = 4 * 1024 * 1024
const HEAD_END = /\r\n\r\n/
const HEAD_END_BYTES = 4

/** Gets the connection, and how many bytes of the body came with the head. */
type OnHead = (socket: Socket, bodyBytes: number) => void

/** Sends one request with a body to a target that handles its connection in the given way as soon as it has the head. */
async function exchange (t: ExecutionContext, bodyBytes: number, onHead: OnHead): Promise<TargetResult> {
  const sockets = new Set<Socket>()
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('data', (chunk: Buffer) => onHead(socket, chunk.length - HEAD_END.exec(chunk.toString('latin1'))!.index - HEAD_END_BYTES))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = new NodeTargetClient({
    host: '127.0.0.1', port: (server.address() as AddressInfo).port, names, timers: new NodeTimers(new SeededRandom(1)), limits: createResponseLimits(MAX_BODY_BYTES), onUnsolicitedData: () => {}, onLimitExceeded: () => {}, onConnect: () => {}
  })
  const bytes = Buffer.from(`POST / HTTP/1.1\r\nx-id: r\r\nContent-Length: ${bodyBytes}\r\n\r\n`)
  const result = await new Promise<TargetResult>((resolve) => {
    client.send({ requestId: 'r', method: 'POST', bytes, body: Buffer.alloc(bodyBytes), timeoutMs: 10_000 }, false, resolve)
  })
  for (const socket of sockets) socket.destroy()
  server.close()
  return result
}

async function outcomes (t: ExecutionContext, bodyBytes: number, onHead: OnHead): Promise<Record<string, number>> {
  const counts: Record<string, number> = {}
  for (let n = 0; n < ROUNDS; n++) {
    const result = await exchange(t, bodyBytes, onHead)
    const key = result.kind === 'response' ? `response of ${result.body.length} bytes` : `${result.kind} ${result.reason}`
    counts[key] = (counts[key] ?? 0) + 1
  }
  return counts
}

const resets: [name: string, reset: (socket: Socket) => void][] = [
  ['at once', (socket) => {
    socket.write(`${HEAD}\r\n${PART}`)
    socket.resetAndDestroy()
  }],
  ['in the next turn', (socket) => {
    socket.write(`${HEAD}\r\n${PART}`)
    setImmediate(() => socket.resetAndDestroy())
  }],
  ['before the body', (socket) => {
    socket.write(`${HEAD}\r\n`)
    socket.resetAndDestroy()
  }]
]
for (const [size, bodyBytes] of [['short', SHORT_BYTES], ['long', LONG_BYTES]] as const) {
  for (const [name, reset] of resets) {
    test.serial(`guards against a part of an answer without a length looking whole because the target reset the connection: ${name}, ${size} request`, async (t) => {
      t.deepEqual(await outcomes(t, bodyBytes, reset), { 'failed reset': ROUNDS })
    })
  }
}

test.serial('guards against a whole answer without a length being taken for a broken one', async (t) => {
  t.deepEqual(await outcomes(t, SHORT_BYTES, (socket) => socket.end(`${HEAD}\r\n${PART}`)), { [`response of ${PART.length} bytes`]: ROUNDS })
})

for (const [size, bodyBytes] of [['short', SHORT_BYTES], ['long', LONG_BYTES]] as const) {
  test.serial(`guards against a whole answer without a length becoming a failure because the target closes both directions at once, in order: ${size} request`, async (t) => {
    const answer: OnHead = (socket, receivedBytes) => {
      let missing = bodyBytes - receivedBytes
      // All of the request has been read, so the system ends the connection without a reset.
      const close = (): void => { socket.end(`${HEAD}\r\n${PART}`, () => socket.destroy()) }
      if (missing <= 0) return close()
      socket.on('data', (chunk: Buffer) => { if ((missing -= chunk.length) <= 0) close() })
    }
    t.deepEqual(await outcomes(t, bodyBytes, answer), { [`response of ${PART.length} bytes`]: ROUNDS })
  })
}

test.serial('guards against a whole answer without a length becoming a failure because the target ends it in order and closes at once, while the upload is being written', async (t) => {
  const answer = (socket: Socket): void => {
    socket.pause()
    socket.end(`${HEAD}\r\n${PART}`, () => socket.destroy())
  }
  t.deepEqual(await outcomes(t, LONG_BYTES, answer), { [`response of ${PART.length} bytes`]: ROUNDS })
})

test.serial('guards against a whole answer without a length being lost because the target leaves the rest of the upload unread', async (t) => {
  const answer = (socket: Socket): void => {
    socket.pause()
    socket.end(`${HEAD}\r\n${PART}`)
  }
  t.deepEqual(await outcomes(t, LONG_BYTES, answer), { [`response of ${PART.length} bytes`]: ROUNDS })
})

test.serial('guards against an answer with a length being taken for whole because the target reset the connection after a part', async (t) => {
  const reset = (socket: Socket): void => {
    socket.write(`${HEAD}Content-Length: 100\r\n\r\n${PART}`)
    socket.resetAndDestroy()
  }
  const counts = await outcomes(t, SHORT_BYTES, reset)
  t.is((counts['failed reset'] ?? 0) + (counts['failed cut'] ?? 0), ROUNDS, JSON.stringify(counts))
})

test.serial('guards against a whole answer with a length being lost because the target reset the connection behind it', async (t) => {
  const reset = (socket: Socket): void => {
    socket.write(`${HEAD}Content-Length: ${PART.length}\r\n\r\n${PART}`)
    setImmediate(() => socket.resetAndDestroy())
  }
  t.deepEqual(await outcomes(t, SHORT_BYTES, reset), { [`response of ${PART.length} bytes`]: ROUNDS })
})
