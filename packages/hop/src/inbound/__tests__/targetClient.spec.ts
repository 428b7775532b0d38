import test from 'ava'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NodeTargetClient } from '../nodeTargetClient.js'
import type { BoundPassed } from '../nodeTargetConnection.js'
import { responseBounds } from '../responseBounds.js'
import type { TargetResult } from '../targetResult.js'

const names = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

const MAX_BODY_BYTES = 4 * 1024 * 1024

/** A target that answers each request at once and counts its connections. */
class Target {
  connections = 0
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer((socket) => {
    this.connections++
    this.#sockets.add(socket)
    socket.on('data', (bytes) => {
      const id = /x-id: (\S+)/.exec(String(bytes))![1]!
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n`)
    })
  })

  async listen (): Promise<number> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

test('guards against a request that may run once going on a connection that its target may have forgotten', async (t) => {
  const target = new Target()
  t.teardown(() => target.close())
  const timers = new VirtualTimers()
  const client = new NodeTargetClient({ host: '127.0.0.1', port: await target.listen(), names, timers, bounds: responseBounds(() => MAX_BODY_BYTES), onStray: () => {}, onBoundPassed: () => {}, onConnect: () => {} })
  let ids = 0
  const send = async (idempotent: boolean): Promise<string> => {
    const requestId = `r${++ids}`
    const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
    const result = await new Promise<TargetResult>((resolve) => { client.send(request, idempotent, resolve) })
    return result.kind
  }
  t.is(await send(true), 'response')
  t.is(await send(false), 'response')
  t.is(target.connections, 1, 'a fresh connection is used again')
  timers.advance(300)
  t.is(await send(true), 'response')
  t.is(target.connections, 1, 'a request that may run twice takes the chance')
  timers.advance(300)
  t.is(await send(false), 'response')
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
  'interim answers': { start: () => '', piece: () => 'HTTP/1.1 102 Processing\r\n\r\n' },
  'answers to other requests': { start: () => '', piece: () => 'HTTP/1.1 200 OK\r\nx-id: other\r\nx-sig: s\r\nContent-Length: 1\r\n\r\nx' },
  'a body with a length over the bound': { start: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`, piece: () => filler }
}
const SLOTS = 12
/** What one connection may be read: its body's bound, framing, and what was on the way. */
const MAX_READ_BYTES = MAX_BODY_BYTES + 512 * 1024
/** What all unfinished answers together may hold. */
const MAX_HELD_BYTES = 16 * 1024 * 1024

class EndlessTarget {
  readonly #sockets = new Set<Socket>()
  readonly #server

  constructor (kind: string) {
    const { start, piece } = withoutEnd[kind]!
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('data', (bytes) => {
        const id = /x-id: (\S+)/.exec(String(bytes))![1]!
        if (id.startsWith('good')) return socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`)
        socket.write(start(id))
        const more = (): void => {
          if (socket.writable) socket.write(piece(id), more)
        }
        more()
      })
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

for (const kind of Object.keys(withoutEnd)) {
  test.serial(`guards against bytes without end on all slots: ${kind}`, async (t) => {
    const target = new EndlessTarget(kind)
    t.teardown(() => target.close())
    const passed: BoundPassed[] = []
    const held: number[] = []
    const bounds = responseBounds(() => MAX_BODY_BYTES)
    const onBoundPassed = (one: BoundPassed): void => {
      passed.push(one)
      held.push(bounds.stated.total + bounds.unstated.total)
    }
    const client = new NodeTargetClient({
      host: '127.0.0.1', port: await target.listen(), names, timers: new VirtualTimers(), bounds, onStray: () => {}, onBoundPassed, onConnect: () => {}
    })
    const send = async (requestId: string): Promise<TargetResult> => {
      const request = { requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }
      return await new Promise((resolve) => { client.send(request, true, resolve) })
    }
    const ids = Array.from({ length: SLOTS }, (_, i) => `r${i}`)
    // The virtual clock stands still: only a bound can end these, no timeout.
    const [good, ...bad] = await Promise.all([send('good'), ...ids.map(send)])
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
  const server = createServer((socket) => {
    socket.on('data', (bytes) => {
      const id = /x-id: (\S+)/.exec(String(bytes))![1]!
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: ${MAX_BODY_BYTES}\r\n\r\n`)
      socket.write(Buffer.alloc(MAX_BODY_BYTES))
    })
  })
  t.teardown(() => server.close())
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = new NodeTargetClient({
    host: '127.0.0.1', port: (server.address() as AddressInfo).port, names, timers: new VirtualTimers(), bounds: responseBounds(() => MAX_BODY_BYTES), onStray: () => {}, onBoundPassed: () => t.fail(), onConnect: () => {}
  })
  const results = await Promise.all(Array.from({ length: 8 }, async (_, i) => await new Promise<TargetResult>((resolve) => {
    client.send({ requestId: `r${i}`, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: r${i}\r\n\r\n`), timeoutMs: 60_000 }, true, resolve)
  })))
  for (const result of results) t.is(result.kind === 'response' && result.body.length, MAX_BODY_BYTES)
  client.reset()
})

test('guards against bytes after an answer reaching the next caller on the connection', async (t) => {
  let connections = 0
  const server = createServer((socket) => {
    connections++
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      const id = /x-id: (\S+)/.exec(String(bytes))![1]!
      const answer = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-sig: s\r\nContent-Length: 2\r\n\r\n${id}`
      // A second copy without an id, in the same packet as the answer.
      socket.write(`${answer}HTTP/1.1 200 OK\r\nx-sig: s\r\nContent-Length: 2\r\n\r\nno`)
    })
  })
  t.teardown(() => server.close())
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = new NodeTargetClient({
    host: '127.0.0.1', port: (server.address() as AddressInfo).port, names, timers: new VirtualTimers(), bounds: responseBounds(() => MAX_BODY_BYTES), onStray: () => {}, onBoundPassed: () => {}, onConnect: () => {}
  })
  const send = (requestId: string, done: (result: TargetResult) => void): void => {
    client.send({ requestId, method: 'GET', bytes: Buffer.from(`GET / HTTP/1.1\r\nx-id: ${requestId}\r\n\r\n`), timeoutMs: 60_000 }, true, done)
  }
  const bodies = await new Promise<string[]>((resolve) => {
    const seen: string[] = []
    const next = (result: TargetResult): void => {
      seen.push(result.kind === 'response' ? String(result.body) : result.kind)
      if (seen.length < 3) send(`r${seen.length}`, next)
      else resolve(seen)
    }
    send('r0', next)
  })
  t.deepEqual(bodies, ['r0', 'r1', 'r2'])
  t.is(connections, 3, 'a connection with bytes that belong to no request is closed')
  client.reset()
})
