import test from 'ava'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { NodeTargetClient } from '../nodeTargetClient.js'
import type { LimitExceeded } from '../nodeTargetConnection.js'
import { createResponseLimits, type ResponseLimits } from '../responseLimits.js'
import type { TargetResult } from '../targetResult.js'

const MAX_BODY_BYTES = 4 * 1024 * 1024

/** A TCP server in place of a target; `onRequest` writes its responses. Counts its connections. */
class FakeTarget {
  connections = 0
  readonly #sockets = new Set<Socket>()
  readonly #server

  /** `onRequest` gets the id of each request and the socket on which it came. */
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
  responseLimits?: ResponseLimits
  onExceeded? (exceeded: LimitExceeded): void
}

/** A client of the target. Unless `timers` are given, its clock stands still. */
async function startClient (target: FakeTarget, { timers = new VirtualTimers(), responseLimits = createResponseLimits(MAX_BODY_BYTES), onExceeded = () => {} }: ClientOptions = {}): Promise<NodeTargetClient> {
  return new NodeTargetClient({ host: '127.0.0.1', port: await target.listen(), names, timers, limits: responseLimits, onUnsolicitedData: () => {}, onLimitExceeded: onExceeded, onConnect: () => {} })
}

async function send (client: NodeTargetClient, requestId: string, idempotent = true): Promise<TargetResult> {
  const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
  return await new Promise((resolve) => { client.send(request, idempotent, resolve) })
}

test('guards against a request that isn\'t idempotent on an idle connection that the target may have dropped', async (t) => {
  const target = new FakeTarget((id, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n`)
  })
  t.teardown(() => target.close())
  const timers = new VirtualTimers()
  const client = await startClient(target, { timers })
  t.is((await send(client, 'r1')).kind, 'response')
  t.is((await send(client, 'r2', false)).kind, 'response')
  t.is(target.connections, 1, 'a connection used a moment ago is reused')
  timers.advance(300)
  t.is((await send(client, 'r3')).kind, 'response')
  t.is(target.connections, 1, 'an idempotent request is sent on the idle connection')
  timers.advance(300)
  t.is((await send(client, 'r4', false)).kind, 'response')
  t.is(target.connections, 2)
  client.reset()
})

test('guards against each idle connection that went silent costing a request its time', async (t) => {
  const silent = new Set<Socket>()
  const sockets = new Set<Socket>()
  const target = new FakeTarget((id, socket) => {
    sockets.add(socket)
    if (!silent.has(socket)) socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=600\r\nContent-Length: 0\r\n\r\n`)
  })
  t.teardown(() => target.close())
  const timers = new VirtualTimers()
  const client = await startClient(target, { timers })
  await Promise.all([send(client, 'r1'), send(client, 'r2'), send(client, 'r3')])
  t.is(target.connections, 3)
  for (const socket of sockets) silent.add(socket)
  timers.advance(1_000)
  const lost = send(client, 'r4')
  timers.advance(60_000)
  t.deepEqual(await lost, { kind: 'failed', reason: 'timeout' })
  t.is((await send(client, 'r5')).kind, 'response')
  t.is(target.connections, 4)
  client.reset()
})

test('guards against bytes above 127 in a header of a target being changed', async (t) => {
  const target = new FakeTarget((id, socket) => {
    socket.write(Buffer.from(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nX-Note: \u5e02\r\nContent-Length: 0\r\n\r\n`, 'utf8'))
  })
  t.teardown(() => target.close())
  const client = await startClient(target)
  const result = await send(client, 'r1')
  t.deepEqual(result.kind === 'response' && Buffer.from(result.headers[5]!, 'latin1'), Buffer.from('\u5e02', 'utf8'))
  client.reset()
})

const CHUNK_BYTES = 64 * 1024
const filler = 'x'.repeat(CHUNK_BYTES)

/** Responses without end: `start`, then `chunk` again and again until the client closes the connection. */
const endlessResponses: Record<string, { start (id: string): string, chunk (id: string): string }> = {
  'a head': { start: () => 'HTTP/1.1 200 OK\r\n', chunk: () => `x-filler: ${filler}\r\n` },
  'a status line': { start: () => 'HTTP/1.1 200 ', chunk: () => filler },
  'a body until close': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\n\r\n`, chunk: () => filler },
  'a chunked body': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n`, chunk: () => `${CHUNK_BYTES.toString(16)}\r\n${filler}\r\n` },
  'a body in tiny chunks': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n`, chunk: () => '1\r\nx\r\n'.repeat(8_000) },
  'a line with a chunk size': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n1;`, chunk: () => filler },
  trailers: { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n`, chunk: () => `x-filler: ${filler}\r\n` },
  'interim responses': { start: () => '', chunk: () => 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2_000) },
  'responses to other requests': { start: () => '', chunk: () => 'HTTP/1.1 200 OK\r\nx-id: other\r\nx-sig: s\r\nContent-Length: 1\r\n\r\nx'.repeat(1_000) },
  'a body whose declared length exceeds the limit': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, chunk: () => filler }
}
const SLOTS = 12
/** Most bytes that may be read from one connection: the largest body, framing, and what was in transit. */
const MAX_READ_BYTES = MAX_BODY_BYTES + 512 * 1024
/** Most bytes that all unfinished responses may hold together. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024

function endlessTarget (kind: string): FakeTarget {
  const { start, chunk } = endlessResponses[kind]!
  return new FakeTarget((id, socket) => {
    if (id === 'good') {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`)
      return
    }
    socket.write(start(id))
    const writeMore = (): void => { if (socket.writable) socket.write(chunk(id), writeMore) }
    writeMore()
  })
}

for (const kind of Object.keys(endlessResponses)) {
  test.serial(`guards against responses without end on all slots: ${kind}`, async (t) => {
    const target = endlessTarget(kind)
    t.teardown(() => target.close())
    const exceeded: LimitExceeded[] = []
    const bufferedBytes: number[] = []
    const responseLimits = createResponseLimits(MAX_BODY_BYTES)
    const onExceeded = (limit: LimitExceeded): void => {
      exceeded.push(limit)
      bufferedBytes.push(responseLimits.sizedBudget.totalBytes + responseLimits.unsizedBudget.totalBytes)
    }
    const client = await startClient(target, { responseLimits, onExceeded })
    const ids = Array.from({ length: SLOTS }, (_, i) => `r${i}`)
    // The client's clock stands still, so these requests are ended by a limit and not by a timeout.
    const [good, ...bad] = await Promise.all(['good', ...ids].map(async (id) => await send(client, id)))
    t.is(good!.kind, 'response')
    for (const result of bad) t.true(result.kind === 'failed', JSON.stringify(result))
    t.deepEqual(exceeded.map(({ requestId }) => requestId).sort(), ids.sort(), 'each exceeded limit is reported')
    t.is(responseLimits.sizedBudget.totalBytes + responseLimits.unsizedBudget.totalBytes, 0)
    for (const { bytes } of exceeded) t.true(bytes <= MAX_READ_BYTES, `${bytes} bytes`)
    t.true(bufferedBytes.every((bytes) => bytes <= MAX_BUFFERED_BYTES), `${Math.max(...bufferedBytes)} bytes`)
    client.reset()
  })
}

test('guards against treating large responses with a declared length as endless', async (t) => {
  const target = new FakeTarget((id, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES}\r\n\r\n`)
    socket.write(Buffer.alloc(MAX_BODY_BYTES))
  })
  t.teardown(() => target.close())
  const client = await startClient(target, { onExceeded: () => t.fail() })
  const results = await Promise.all(Array.from({ length: 8 }, async (_, i) => await send(client, `r${i}`)))
  for (const result of results) t.is(result.kind === 'response' && result.body.length, MAX_BODY_BYTES)
  client.reset()
})

test('guards against bytes after a response reaching the next request on the connection', async (t) => {
  const target = new FakeTarget((id, socket) => {
    const response = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 2\r\n\r\n${id}`
    // A second response without an id, in the same packet as the first.
    socket.write(`${response}HTTP/1.1 200 OK\r\nx-sig: s\r\nContent-Length: 2\r\n\r\nno`)
  })
  t.teardown(() => target.close())
  const client = await startClient(target)
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
  // Each request is sent in the callback of the one before, as when a queued request takes a freed slot.
  await new Promise<void>((resolve) => sendNext(0, resolve))
  t.deepEqual(bodies, ['r0', 'r1', 'r2'])
  t.is(target.connections, 3, 'a connection with bytes that belong to no request is closed')
  client.reset()
})

const refusal = (id?: string): string => `HTTP/1.1 503 Service Unavailable\r\n${id === undefined ? '' : `x-id: ${id}\r\n`}x-not-run: 1\r\nContent-Length: 0\r\n\r\n`
const success = (id: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 2\r\n\r\nok`

test('guards against a refusal that the target writes a second time counting for the same request sent again', async (t) => {
  const refusedOn = new Set<Socket>()
  const target = new FakeTarget((id, socket) => {
    if (refusedOn.size === 0) {
      refusedOn.add(socket)
      socket.write(refusal(id))
    } else socket.write(refusedOn.has(socket) ? refusal(id) + success(id) : success(id))
  })
  t.teardown(() => target.close())
  const client = await startClient(target)
  const kinds = [(await send(client, 'r1')).kind, (await send(client, 'r1')).kind]
  t.deepEqual(kinds, ['notRun', 'response'])
  client.reset()
})

test('guards against a refusal without an id on a connection in use again being taken for that of the pending request', async (t) => {
  let requests = 0
  const target = new FakeTarget((id, socket) => { socket.write(++requests === 1 ? success(id) : refusal()) })
  t.teardown(() => target.close())
  const client = await startClient(target)
  const kinds = [(await send(client, 'r1')).kind, (await send(client, 'r2')).kind, (await send(client, 'r3')).kind]
  t.deepEqual(kinds, ['response', 'failed', 'notRun'], 'r3 is the first request on its connection')
  client.reset()
})

const cutResponses: Record<string, (id: string) => string> = {
  'with a length': (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 5\r\n\r\nhello`,
  chunked: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n`,
  'of no content': (id) => `HTTP/1.1 204 No Content\r\nx-id: ${id}\r\nx-sig: s\r\n\r\n`,
  'after an interim one': (id) => `HTTP/1.1 102 Processing\r\n\r\n${success(id)}`
}
for (const [name, response] of Object.entries(cutResponses)) {
  test(`guards against a response that ends early at any byte being taken for a whole one: ${name}`, async (t) => {
    const lengths = Array.from({ length: response('r00').length }, (_, length) => length)
    const target = new FakeTarget((id, socket) => { socket.end(response(id).slice(0, Number(id.slice(1)))) })
    t.teardown(() => target.close())
    const client = await startClient(target)
    for (const length of lengths) t.is((await send(client, `r${length}`)).kind, 'failed', `${length} bytes`)
  })
}

test('guards against a head that ends early being taken for a response whose body ends with the connection', async (t) => {
  const head = (id: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nConnection: close\r\n\r\n`
  const target = new FakeTarget((id, socket) => { socket.end(head(id).slice(0, Number(id.slice(1)))) })
  t.teardown(() => target.close())
  const client = await startClient(target)
  for (let length = 0; length < head('r00').length; length++) t.is((await send(client, `r${length}`)).kind, 'failed', `${length} bytes`)
})

/** Extra responses that a target may write late and break off, before its response to the next request. */
const extraResponses: Record<string, string> = {
  'a success': 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-sig: s\r\nX-Note: abc\r\nContent-Length: 4\r\n\r\nbody',
  'a refusal': 'HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-id: r1\r\nContent-Length: 0\r\n\r\n',
  'a refusal without an id': 'HTTP/1.1 503 Service Unavailable\r\nX-Note: abc\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n'
}

for (const [name, extra] of Object.entries(extraResponses)) {
  test(`guards against an extra response that breaks off at any byte turning a failure into something else: ${name}`, async (t) => {
    let length = 0
    const target = new FakeTarget((id, socket) => {
      if (id === 'r1') return socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=600\r\nContent-Length: 0\r\n\r\n`)
      socket.end(`${extra.slice(0, length)}HTTP/1.1 500 Internal Server Error\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 6\r\n\r\nfailed`)
    })
    t.teardown(() => target.close())
    const client = await startClient(target)
    for (; length <= extra.length; length++) {
      await send(client, 'r1')
      const result = await send(client, 'r2')
      const isOwn = result.kind === 'response' && result.status === 500 && String(result.body) === 'failed'
      t.true(isOwn || (result.kind === 'failed' && result.reason !== 'timeout'), `${length} bytes: ${JSON.stringify(result)}`)
    }
  })
}

/** Timers whose clock goes on while none of them is served, as in a process that gets no processor time. */
class StalledTimers extends VirtualTimers {
  stalledMs = 0

  override now (): number {
    return super.now() + this.stalledMs
  }
}

test('guards against a request leaving after its deadline, with a connection that opened late', async (t) => {
  const received: string[] = []
  const target = new FakeTarget((id, socket) => {
    received.push(id)
    socket.destroy()
  })
  t.teardown(() => target.close())
  const timers = new StalledTimers()
  const client = await startClient(target, { timers })
  const result = send(client, 'r1')
  timers.stalledMs = 60_000
  t.deepEqual(await result, { kind: 'notRun', reason: 'expired' })
  t.is(target.connections, 1)
  t.deepEqual(received, [])
  client.reset()
})
