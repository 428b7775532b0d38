import test from 'ava'
import { errorCode, VirtualTimers } from '@lentilwheel/core'
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { ALWAYS_BEHIND, NO_LAG, TEST_HEADERS as names, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { LoopLag } from '../../daemon/nodeLoopLag.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { CallMetrics } from '../../observe/callMetrics.js'
import type { RequestOrigin } from '../../inbound/runningRequests.js'
import type { OutboundHandler } from '../outboundHandler.js'
import { createMemoryBudget, DEFAULT_MEMORY_BYTES } from '../../buffers/memoryBudget.js'
import { DEFAULT_CALLER_LIMITS } from '../callerLimits.js'
import { NodeOutboundServer } from '../nodeOutboundServer.js'

const timers = new VirtualTimers()
const MAX_BODY_BYTES = 256 * 1024
/** Deadlines far apart, so that the time that the test takes doesn't matter. */
const SHORT_MS = 1_000_000
const LONG_MS = 9_000_000
const chunk = 'x'.repeat(16 * 1024)

/** Passes on a response to each request, like `OutboundCall`; answers 502 if that fails. */
function respondingHandler (reply: object): OutboundHandler {
  const handler: Partial<OutboundHandler> = {
    handle: (_req, res) => {
      try {
        res.respond({ kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false, ...reply }, 1)
      } catch (err) {
        res.reject(502, errorCode(err))
      }
      return () => {}
    }
  }
  return handler as OutboundHandler
}

async function startServer (events: string[], originOf: (id: string) => RequestOrigin = () => 'caller', lag: Pick<LoopLag, 'whenRead'> = NO_LAG, handler?: OutboundHandler): Promise<{ server: NodeOutboundServer, port: number, handledIds: string[] }> {
  const handledIds: string[] = []
  const metrics: CallMetrics = { request: () => {}, wait: () => {}, refusal: () => {}, rejection: () => {}, hedge: () => {}, event: (name) => { events.push(name) }, state: () => {}, text: async () => '' }
  const echoHandler = {
    handle: (req, res) => {
      handledIds.push(req.head.requestId)
      res.respond({ kind: 'response', status: 200, headers: [], body: Buffer.from(String(req.body.length)), unframed: false }, 1)
      return () => {}
    }
  } as Partial<OutboundHandler> as OutboundHandler
  const server = new NodeOutboundServer({ address: '127.0.0.1', port: 0, handler: handler ?? echoHandler, log: new NoopCallLog(), metrics, names, lag, queue: unlimitedQueue(), originOf, timers, budget: createMemoryBudget(DEFAULT_MEMORY_BYTES), callerLimits: DEFAULT_CALLER_LIMITS })
  server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 })
  await server.listen()
  return { server, port: server.port, handledIds }
}

/** Sends a request whose body never ends; returns the bytes received until the connection is closed. */
async function sendWithoutEnd (port: number): Promise<string> {
  const socket: Socket = connect(port, '127.0.0.1')
  let received = ''
  socket.on('data', (bytes) => { received += String(bytes) })
  socket.on('error', () => {})
  socket.write('POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n')
  const sendChunk = (): void => { if (socket.writable) socket.write(`4000\r\n${chunk}\r\n`, sendChunk) }
  sendChunk()
  return await new Promise((resolve) => { socket.once('close', () => resolve(received)) })
}

test('guards against an endless body of one caller not being rejected, or disturbing other callers', async (t) => {
  const events: string[] = []
  const { server, port } = await startServer(events)
  t.teardown(() => server.close())
  const endless = sendWithoutEnd(port)
  const res = await fetch(`http://127.0.0.1:${port}/b/`, { method: 'POST', headers: { 'x-id': 'r2' }, body: 'y'.repeat(MAX_BODY_BYTES) })
  t.is(await res.text(), String(MAX_BODY_BYTES))
  const received = await endless
  t.true(received === '' || received.startsWith('HTTP/1.1 413'), received)
  t.true(events.includes('boundPassed'))
})

test('guards against requests that may outlast a planned stop being taken and cut off at its end', async (t) => {
  const { server, port } = await startServer([], (id) => id === 'nested' ? 'run' : 'caller')
  t.teardown(() => server.close())
  const statusOf = async (id: string, deadlineMs?: number): Promise<number> => {
    const headers = { 'x-id': id, ...deadlineMs === undefined ? {} : { 'x-deadline': String(deadlineMs) } }
    return (await fetch(`http://127.0.0.1:${port}/b/`, { method: 'POST', headers, body: 'y' })).status
  }
  const statuses = async (): Promise<number[]> => await Promise.all([
    statusOf('r1', SHORT_MS), statusOf('r2', LONG_MS), statusOf('r3'), statusOf('nested', SHORT_MS), statusOf('nested', LONG_MS)
  ])
  server.startStopping()
  t.deepEqual(await statuses(), [200, 200, 200, 200, 200])
  server.refuseLaterThan(performance.now() + (SHORT_MS + LONG_MS) / 2)
  t.deepEqual(await statuses(), [200, 503, 503, 200, 503])
  server.startRefusing()
  t.deepEqual(await statuses(), [503, 503, 503, 200, 503])
})

test('guards against a request being sent on after its caller has left, because the event loop was behind', async (t) => {
  const { server, port, handledIds } = await startServer([], undefined, ALWAYS_BEHIND)
  t.teardown(() => server.close())
  const socket = connect(port, '127.0.0.1')
  const request = (id: string): string => `GET /a/ HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\n\r\n`
  socket.write(request('r1'))
  await once(socket, 'data')
  socket.write(request('r2'))
  socket.destroy()
  t.is((await fetch(`http://127.0.0.1:${port}/b/`, { headers: { 'x-id': 'r3' } })).status, 200)
  t.deepEqual(handledIds, ['r1', 'r3'])
})

const notForwardable: [name: string, reply: object][] = [
  ['control character in a value', { headers: ['X-Note', 'a\x01b'] }],
  ['line break in a value', { headers: ['X-Note', 'a\r\nX-Other: b'] }],
  ['character above 255 in a value', { headers: ['X-Note', '\u5e02'] }],
  ['name that is no token', { headers: ['X Note', 'a'] }],
  ['name without a value', { headers: ['X-Note'] }],
  ['no headers', { headers: null }],
  ['status below 100', { status: 42 }],
  ['status that is no number', { status: 'ok' }]
]

for (const [name, reply] of notForwardable) {
  test(`guards against a caller without an answer because a response cannot be written: ${name}`, async (t) => {
    const { server, port } = await startServer([], undefined, NO_LAG, respondingHandler(reply))
    t.teardown(() => server.close())
    const res = await fetch(`http://127.0.0.1:${port}/a/`, { headers: { 'x-id': 'r1' } })
    t.is(res.status, 502)
    t.is(await res.text(), 'not-forwardable\n')
    t.is(server.inFlight, 0)
  })
}

test('guards against a caller without an end because a response fails after its head was written', async (t) => {
  const { server, port } = await startServer([], undefined, NO_LAG, respondingHandler({ body: { length: 3 } }))
  t.teardown(() => server.close())
  await t.throwsAsync(fetch(`http://127.0.0.1:${port}/a/`, { headers: { 'x-id': 'r1' } }))
  t.is(server.inFlight, 0)
})

test('guards against a caller without an answer because the handling of its request fails', async (t) => {
  const failing = { handle: () => { throw new Error('request not handled') } } as Partial<OutboundHandler> as OutboundHandler
  const { server, port } = await startServer([], undefined, NO_LAG, failing)
  t.teardown(() => server.close())
  t.is((await fetch(`http://127.0.0.1:${port}/a/`, { headers: { 'x-id': 'r1' } })).status, 502)
  t.is(server.inFlight, 0)
})
