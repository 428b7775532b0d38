import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NO_LAG, TEST_HEADERS as names, unlimitedQueue } from '../../__tests__/fixtures.js'
import { BufferBudget } from '../../buffers/bufferBudget.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { CallMetrics } from '../../observe/callMetrics.js'
import { DEFAULT_CALLER_LIMITS, type CallerLimits } from '../callerLimits.js'
import type { OutboundHandler } from '../outboundHandler.js'
import { NodeOutboundServer } from '../nodeOutboundServer.js'
import type { Responder } from '../outboundTypes.js'

const UNLIMITED = new BufferBudget(Infinity)
const IDLE_MS = 2_000
const HEADER_MS = 1_000
const POLL_MS = 10
const MAX_POLLS = 1_000

/** A request that has been passed on and is answered by the test. */
interface PassedOn {
  id: string
  res: Responder
  isCancelled: boolean
}

interface Setup {
  server: NodeOutboundServer
  timers: VirtualTimers
  passedOn: PassedOn[]
  events: string[]
  connectCaller (): Caller
}

/** A connection of a caller, and what it has received. */
interface Caller {
  socket: Socket
  received: string
  isClosed: boolean
}

async function setUp (t: ExecutionContext, overrides: Partial<CallerLimits> = {}, budget = UNLIMITED): Promise<Setup> {
  const passedOn: PassedOn[] = []
  const events: string[] = []
  const timers = new VirtualTimers()
  const metrics: CallMetrics = { request: () => {}, wait: () => {}, refusal: () => {}, rejection: () => {}, hedge: () => {}, event: (name) => { events.push(name) }, state: () => {}, text: async () => '' }
  const handler: Partial<OutboundHandler> = {
    handle: (req, res) => {
      const request: PassedOn = { id: req.head.requestId, res, isCancelled: false }
      passedOn.push(request)
      return () => { request.isCancelled = true }
    }
  }
  const server = new NodeOutboundServer({
    address: '127.0.0.1', port: 0, timers, handler: handler as OutboundHandler, log: new NoopCallLog(), metrics, names, lag: NO_LAG, queue: unlimitedQueue(), budget, callerLimits: { ...DEFAULT_CALLER_LIMITS, ...overrides }, originOf: () => 'caller'
  })
  server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: 1_000_000, headerTimeoutMs: HEADER_MS, idleTimeoutMs: IDLE_MS })
  await server.listen()
  const callers: Caller[] = []
  t.teardown(() => {
    for (const { socket } of callers) socket.destroy()
    server.close()
  })
  const connectCaller = (): Caller => {
    const caller: Caller = { socket: connect(server.port, '127.0.0.1'), received: '', isClosed: false }
    caller.socket.on('data', (bytes) => { caller.received += String(bytes) })
    caller.socket.on('error', () => {})
    caller.socket.on('close', () => { caller.isClosed = true })
    callers.push(caller)
    return caller
  }
  return { server, timers, passedOn, events, connectCaller }
}

function requests (first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_, i) => `GET /a/ HTTP/1.1\r\nHost: h\r\nx-id: r${first + i}\r\n\r\n`).join('')
}

function answer ({ id, res }: PassedOn, body = `answer to ${id};`, unframed = false): void {
  res.respond({ kind: 'response', status: 200, headers: [], body: Buffer.from(body), unframed }, 1)
}

function answeredIds (received: string): string[] {
  return [...received.matchAll(/answer to (r\d+);/g)].map(([, id]) => id!)
}

function ids (first: number, last: number): string[] {
  return Array.from({ length: last - first + 1 }, (_, i) => `r${first + i}`)
}

async function until (t: ExecutionContext, what: string, check: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_POLLS; i++) {
    if (check()) return
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  t.fail(`${what}: not reached`)
}

test('guards against requests of a caller that has left going on because they were behind another on its connection', async (t) => {
  const { server, passedOn, connectCaller } = await setUp(t)
  const { socket } = connectCaller()
  socket.write(requests(1, 10))
  await until(t, 'all are passed on', () => passedOn.length === 10)
  answer(passedOn[4]!)
  socket.destroy()
  await until(t, 'all are cancelled', () => passedOn.every(({ isCancelled }) => isCancelled))
  t.is(server.inFlight, 0)
})

test('guards against a stopping daemon closing a connection before all requests that were passed on are answered', async (t) => {
  const { server, passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write(requests(1, 6))
  await until(t, 'six are passed on', () => passedOn.length === 6)
  server.startStopping()
  caller.socket.write(requests(7, 10))
  await until(t, 'ten are passed on', () => passedOn.length === 10)
  for (const request of passedOn) answer(request)
  await until(t, 'the connection is closed', () => caller.isClosed)
  t.deepEqual(answeredIds(caller.received), ids(1, 10))
  t.is(caller.received.match(/Connection: close/gi)?.length, 1)
  t.is(server.inFlight, 0)
})

test('guards against a request being passed on behind a response that closes its connection', async (t) => {
  const { server, passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write(requests(1, 3))
  await until(t, 'three are passed on', () => passedOn.length === 3)
  server.startStopping()
  answer(passedOn[2]!)
  caller.socket.write(requests(4, 5))
  answer(passedOn[1]!)
  answer(passedOn[0]!)
  await until(t, 'the connection is closed', () => caller.isClosed)
  t.deepEqual(passedOn.map(({ id }) => id), ids(1, 3))
  t.deepEqual(answeredIds(caller.received), ids(1, 3))
})

test('guards against one connection having more requests passed on than the limit, and against those beyond it being lost', async (t) => {
  const { passedOn, connectCaller } = await setUp(t, { maxPipelined: 4 })
  const caller = connectCaller()
  caller.socket.write(requests(1, 100))
  await until(t, 'the first are passed on', () => passedOn.length === 4)
  let mostAtOnce = 0
  for (let i = 0; i < 100; i++) {
    await until(t, `request ${i} is passed on`, () => passedOn.length > i)
    mostAtOnce = Math.max(mostAtOnce, passedOn.length - i)
    answer(passedOn[i]!)
  }
  await until(t, 'all are answered', () => answeredIds(caller.received).length === 100)
  t.deepEqual(answeredIds(caller.received), ids(1, 100))
  t.is(mostAtOnce, 4)
})

test('guards against bytes that are no request taking the place of the responses to the requests before them', async (t) => {
  const { passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write(`${requests(1, 2)}no request\r\n\r\n`)
  await until(t, 'two are passed on', () => passedOn.length === 2)
  for (const request of passedOn) answer(request)
  await until(t, 'the connection is closed', () => caller.isClosed)
  t.deepEqual(caller.received.match(/HTTP\/1.1 \d+|Connection: close/gi), ['HTTP/1.1 200', 'HTTP/1.1 200', 'Connection: close'])
  t.deepEqual(answeredIds(caller.received), ids(1, 2))
})

test('guards against a response without a length cutting off those behind it', async (t) => {
  const { passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write(requests(1, 2))
  await until(t, 'two are passed on', () => passedOn.length === 2)
  t.throws(() => answer(passedOn[0]!, 'perhaps cut', true), { any: true })
  passedOn[0]!.res.reject(502, 'notForwardable')
  answer(passedOn[1]!)
  await until(t, 'both are answered', () => answeredIds(caller.received).length === 1)
  t.deepEqual(caller.received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 502', 'HTTP/1.1 200'])
})

test('guards against the caller that holds most of the memory not giving way, and against a refusal without a time to retry', async (t) => {
  const { passedOn, events, connectCaller } = await setUp(t, {}, new BufferBudget(200_000))
  const [small, large] = [connectCaller(), connectCaller()]
  const head = (id: string): string => `POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\nContent-Length: 500000\r\n\r\n`
  small.socket.write(head('small') + 'x'.repeat(50_000))
  large.socket.write(head('large') + 'x'.repeat(300_000))
  await until(t, 'one is refused', () => large.isClosed)
  t.true(large.received === '' || /^HTTP\/1.1 503.*Retry-After: 0\.300/s.test(large.received), large.received)
  t.false(small.isClosed)
  t.deepEqual(passedOn, [])
  t.true(events.includes('boundPassed'))
})

test('guards against pipelined requests without bodies taking the memory', async (t) => {
  const { passedOn, events, connectCaller } = await setUp(t, {}, new BufferBudget(200_000))
  const [few, many] = [connectCaller(), connectCaller()]
  few.socket.write(requests(1, 5))
  await until(t, 'five are passed on', () => passedOn.length === 5)
  many.socket.write(requests(101, 200))
  await until(t, 'the other connection is closed', () => many.isClosed)
  for (const request of passedOn) if (!request.isCancelled) answer(request)
  await until(t, 'five are answered', () => answeredIds(few.received).length === 5)
  t.deepEqual(events, ['callerClosed'])
})

test('guards against a response that does not fit into memory looking complete', async (t) => {
  const { passedOn, events, connectCaller } = await setUp(t, {}, new BufferBudget(1_000_000))
  const caller = connectCaller()
  caller.socket.pause()
  caller.socket.write(requests(1, 2))
  await until(t, 'two are passed on', () => passedOn.length === 2)
  answer(passedOn[1]!, 'x'.repeat(400_000))
  answer(passedOn[0]!, 'x'.repeat(700_000))
  caller.socket.resume()
  await until(t, 'the connection is closed', () => caller.isClosed)
  t.true(caller.received.length < 700_000)
  t.true(passedOn.every(({ isCancelled }) => isCancelled))
  t.deepEqual(events, ['callerClosed'])
})

test('guards against a caller without a request keeping its connection by sending empty lines', async (t) => {
  const { server, timers, events, connectCaller } = await setUp(t)
  const caller = connectCaller()
  await until(t, 'it is connected', () => server.connections === 1)
  for (let i = 0; i < 10; i++) {
    caller.socket.write('\r\n')
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(1_000)
  }
  await until(t, 'the connection is closed', () => caller.isClosed)
  t.deepEqual(events, ['callerClosed'])
})

test('guards against a request that is running being broken off because its caller is silent', async (t) => {
  const { timers, passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write(requests(1, 1))
  await until(t, 'it is passed on', () => passedOn.length === 1)
  timers.advance(60_000)
  answer(passedOn[0]!)
  await until(t, 'it is answered', () => answeredIds(caller.received).length === 1)
  t.false(caller.isClosed)
})

test('guards against a body that stops before its end holding its connection, and against its request being run', async (t) => {
  const { timers, passedOn, connectCaller } = await setUp(t)
  const caller = connectCaller()
  caller.socket.write('POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nContent-Length: 100\r\n\r\nhalf')
  await once(caller.socket, 'connect')
  for (let i = 0; i < MAX_POLLS && !caller.isClosed; i++) {
    timers.advance(1_000)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
  t.true(caller.received.startsWith('HTTP/1.1 408'), caller.received)
  t.deepEqual(passedOn, [])
})

test('guards against callers without a complete request keeping others from connecting', async (t) => {
  const { server, timers, passedOn, connectCaller } = await setUp(t, { maxConnections: 3 })
  const busy = connectCaller()
  busy.socket.write(requests(1, 1))
  await until(t, 'a request is passed on', () => passedOn.length === 1)
  const quiet = [connectCaller(), connectCaller()]
  await until(t, 'all are connected', () => server.connections === 3)
  timers.advance(1_000)
  const another = connectCaller()
  another.socket.write(requests(2, 2))
  await until(t, 'the other request is passed on', () => passedOn.length === 2)
  for (const request of passedOn) answer(request)
  await until(t, 'both are answered', () => answeredIds(busy.received + another.received).length === 2)
  t.is(quiet.filter(({ isClosed }) => isClosed).length, 1)
})
