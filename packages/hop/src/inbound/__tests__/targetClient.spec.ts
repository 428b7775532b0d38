import test from 'ava'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NodeTargetClient } from '../nodeTargetClient.js'
import type { BoundPassed } from '../nodeTargetConnection.js'
import { responseBounds, type ResponseBounds } from '../responseBounds.js'
import type { TargetResult } from '../targetResult.js'

const names = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

const MAX_BODY_BYTES = 4 * 1024 * 1024

/** A target that answers as it is told, and counts its connections. */
class Target {
  connections = 0
  readonly #sockets = new Set<Socket>()
  readonly #server

  /** `onRequest` gets the id of each request and the connection on which it came. */
  constructor (onRequest: (id: string, socket: Socket) => void) {
    this.#server = createServer((socket) => {
      this.connections++
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', (bytes) => onRequest(/x-id: (\S+)/.exec(String(bytes))![1]!, socket))
    })
  }

  async listen (): Promise<number> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

interface ClientOptions {
  timers?: VirtualTimers
  bounds?: ResponseBounds
  onBoundPassed? (passed: BoundPassed): void
}

/** Without timers of its own the client's clock stands still. */
async function clientOf (target: Target, { timers = new VirtualTimers(), bounds = responseBounds(() => MAX_BODY_BYTES), onBoundPassed = () => {} }: ClientOptions = {}): Promise<NodeTargetClient> {
  return new NodeTargetClient({ host: '127.0.0.1', port: await target.listen(), names, timers, bounds, onStray: () => {}, onBoundPassed, onConnect: () => {} })
}

async function send (client: NodeTargetClient, requestId: string, idempotent = true): Promise<TargetResult> {
  const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
  return await new Promise((resolve) => { client.send(request, idempotent, resolve) })
}

test('guards against a request that may run once going on a connection that its target may have forgotten', async (t) => {
  const target = new Target((id, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n`)
  })
  t.teardown(() => target.close())
  const timers = new VirtualTimers()
  const client = await clientOf(target, { timers })
  t.is((await send(client, 'r1')).kind, 'response')
  t.is((await send(client, 'r2', false)).kind, 'response')
  t.is(target.connections, 1, 'a fresh connection is used again')
  timers.advance(300)
  t.is((await send(client, 'r3')).kind, 'response')
  t.is(target.connections, 1, 'a request that may run twice takes the chance')
  timers.advance(300)
  t.is((await send(client, 'r4', false)).kind, 'response')
  t.is(target.connections, 2)
  client.reset()
})

const PIECE = 64 * 1024
const filler = 'x'.repeat(PIECE)

/** What a target sends again and again after the start of an answer, until its caller closes. */
const withoutEnd: Record<string, { start (id: string): string, piece (id: string): string }> = {
  'a head': { start: () => 'HTTP/1.1 200 OK\r\n', piece: () => `x-filler: ${filler}\r\n` },
  'a status line': { start: () => 'HTTP/1.1 200 ', piece: () => filler },
  'a body until close': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\n\r\n`, piece: () => filler },
  'a chunked body': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n`, piece: () => `${PIECE.toString(16)}\r\n${filler}\r\n` },
  'a body in tiny chunks': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n`, piece: () => '1\r\nx\r\n'.repeat(8_000) },
  'the line of a chunk size': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n1;`, piece: () => filler },
  trailers: { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n`, piece: () => `x-filler: ${filler}\r\n` },
  'interim answers': { start: () => '', piece: () => 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2_000) },
  'answers to other requests': { start: () => '', piece: () => 'HTTP/1.1 200 OK\r\nx-id: other\r\nx-sig: s\r\nContent-Length: 1\r\n\r\nx'.repeat(1_000) },
  'a body with a length over the bound': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, piece: () => filler }
}
const SLOTS = 12
/** What one connection may be read: its body's bound, framing, and what was on the way. */
const MAX_READ_BYTES = MAX_BODY_BYTES + 512 * 1024
/** What all unfinished answers together may hold. */
const MAX_HELD_BYTES = 16 * 1024 * 1024

function endlessTarget (kind: string): Target {
  const { start, piece } = withoutEnd[kind]!
  return new Target((id, socket) => {
    if (id === 'good') {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`)
      return
    }
    socket.write(start(id))
    const more = (): void => { if (socket.writable) socket.write(piece(id), more) }
    more()
  })
}

for (const kind of Object.keys(withoutEnd)) {
  test.serial(`guards against bytes without end on all slots: ${kind}`, async (t) => {
    const target = endlessTarget(kind)
    t.teardown(() => target.close())
    const passed: BoundPassed[] = []
    const held: number[] = []
    const bounds = responseBounds(() => MAX_BODY_BYTES)
    const onBoundPassed = (one: BoundPassed): void => {
      passed.push(one)
      held.push(bounds.stated.total + bounds.unstated.total)
    }
    const client = await clientOf(target, { bounds, onBoundPassed })
    const ids = Array.from({ length: SLOTS }, (_, i) => `r${i}`)
    // The client's clock stands still: only a bound can end these, no timeout.
    const [good, ...bad] = await Promise.all(['good', ...ids].map(async (id) => await send(client, id)))
    t.is(good!.kind, 'response')
    for (const result of bad) t.true(result.kind === 'failed', JSON.stringify(result))
    t.deepEqual(passed.map(({ requestId }) => requestId).sort(), ids.sort(), 'each bound that is passed is told')
    t.is(bounds.stated.total + bounds.unstated.total, 0)
    for (const { bytes } of passed) t.true(bytes <= MAX_READ_BYTES, `${bytes} bytes`)
    t.true(held.every((bytes) => bytes <= MAX_HELD_BYTES), `${Math.max(...held)} bytes`)
    client.reset()
  })
}

test('guards against large answers that state their length being taken for endless', async (t) => {
  const target = new Target((id, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES}\r\n\r\n`)
    socket.write(Buffer.alloc(MAX_BODY_BYTES))
  })
  t.teardown(() => target.close())
  const client = await clientOf(target, { onBoundPassed: () => t.fail() })
  const results = await Promise.all(Array.from({ length: 8 }, async (_, i) => await send(client, `r${i}`)))
  for (const result of results) t.is(result.kind === 'response' && result.body.length, MAX_BODY_BYTES)
  client.reset()
})

test('guards against bytes after an answer reaching the next caller on the connection', async (t) => {
  const target = new Target((id, socket) => {
    const answer = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 2\r\n\r\n${id}`
    // A second copy without an id, in the same packet as the answer.
    socket.write(`${answer}HTTP/1.1 200 OK\r\nx-sig: s\r\nContent-Length: 2\r\n\r\nno`)
  })
  t.teardown(() => target.close())
  const client = await clientOf(target)
  const bodies: string[] = []
  const sendNext = (id: number, done: () => void): void => {
    const requestId = `r${id}`
    const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
    client.send(request, true, (result) => {
      bodies.push(result.kind === 'response' ? String(result.body) : result.kind)
      if (id < 2) sendNext(id + 1, done)
      else done()
    })
  }
  // Each request is sent within the end of the one before, as a waiting request takes its slot.
  await new Promise<void>((resolve) => sendNext(0, resolve))
  t.deepEqual(bodies, ['r0', 'r1', 'r2'])
  t.is(target.connections, 3, 'a connection with bytes that belong to no request is closed')
  client.reset()
})
