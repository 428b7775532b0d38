import test from 'ava'
import { once } from 'node:events'
import { BufferBudget } from '../../buffers/bufferBudget.js'
import { answer, answeredIds, ids, MAX_POLLS, POLL_MS, requests, setUp, until } from './callerSetup.js'

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
