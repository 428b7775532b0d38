import test, { type ExecutionContext } from 'ava'
import { setTimeout as delay } from 'node:timers/promises'
import { BufferBudget } from '../../buffers/bufferBudget.js'
import { errorCode, VirtualTimers } from '@lentilwheel/core'
import { SendQueue } from '../../link/sendQueue.js'
import { answer, POLL_MS, requests, setUp, until, type Caller, type Setup } from './callerSetup.js'

// How connections of callers end. The responses are larger than what the system keeps for a connection, so that a reset loses a part of them.

const BODY = 'x'.repeat(8 * 1024 * 1024)
/** Taken by the system as a whole, though the caller has read nothing of it. */
const TAKEN_BODY = 'x'.repeat(2 * 1024 * 1024)
const SEND_INTERVAL_MS = 5
/** A response without a length is larger than those that the system holds before it, so that at some number of them it has room for them alone. */
const UNFRAMED_BYTES = 900_000
const HELD_BYTES = 500_000
/** Longer than the other tests here, with their large strings, may keep this process busy, so that no connection counts as idle for that. */
const LONG_IDLE_MS = 600_000
/** Time in which the system takes a response if it has room. */
const TAKE_MS = 100

/** Requests and bodies that keep arriving until the caller sees the end of its connection, or until it can't write any more. */
async function keepSending ({ socket }: Caller, text: string): Promise<void> {
  while (socket.writable && !socket.readableEnded) {
    socket.write(text)
    await delay(SEND_INTERVAL_MS)
  }
}

/** Waits until the caller has read everything, which it does in pieces, with pauses that let the server end the connection before. */
async function readSlowly (t: ExecutionContext, caller: Caller): Promise<void> {
  caller.socket.on('data', () => {
    caller.socket.pause()
    setTimeout(() => caller.socket.resume(), 1)
  })
  caller.socket.resume()
  await until(t, 'the connection is closed', () => caller.isClosed)
}

/** The queue of a link that carries nothing. */
function narrowQueue (): SendQueue {
  return new SendQueue({ timers: new VirtualTimers(), bytesPerMs: 0.001 })
}

function connectPaused ({ connectCaller }: Setup): Caller {
  const caller = connectCaller()
  caller.socket.pause()
  return caller
}

for (const behind of ['requests', 'a body', 'bytes that are no request'] as const) {
  test(`guards against a planned stop cutting off responses because of what arrives behind them: ${behind}`, async (t) => {
    const setup = await setUp(t, { maxUnreadBytes: Infinity })
    const { server, passedOn } = setup
    const caller = connectPaused(setup)
    caller.socket.write(requests(1, 2))
    await until(t, 'two are passed on', () => passedOn.length === 2)
    server.startStopping()
    answer(passedOn[1]!, 'answer to r2;')
    const text = { requests: requests(3, 5), 'a body': 'y'.repeat(10_000), 'bytes that are no request': '\x00\x01\r\n\r\n' }[behind]
    if (behind === 'a body') caller.socket.write('POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r3\r\nContent-Length: 900000000\r\n\r\n')
    const sending = keepSending(caller, text)
    answer(passedOn[0]!, BODY)
    await readSlowly(t, caller)
    await sending
    t.is(caller.errorCode, undefined)
    t.is(caller.received.match(/x/g)?.length, BODY.length)
    t.true(caller.received.endsWith('answer to r2;'))
    t.is(passedOn.length, 2)
  })
}

test('guards against the end of a planned stop cutting off a response that its caller is still reading, where another request crosses it', async (t) => {
  const setup = await setUp(t, { maxUnreadBytes: Infinity })
  const { server, passedOn } = setup
  const caller = connectPaused(setup)
  caller.socket.write(requests(1, 1))
  await until(t, 'it is passed on', () => passedOn.length === 1)
  answer(passedOn[0]!, TAKEN_BODY)
  await until(t, 'the system has taken the response', () => server.inFlight === 0)
  server.startStopping()
  server.close()
  await delay(50)
  const sending = keepSending(caller, requests(2, 3))
  let isClosed = false
  const closing = server.whenClosed().then(() => { isClosed = true })
  await delay(50)
  t.false(isClosed)
  await readSlowly(t, caller)
  await sending
  await closing
  t.is(caller.errorCode, undefined)
  // A request that arrived before the end is refused behind the response.
  const body = caller.received.slice(caller.received.indexOf('\r\n\r\n')).trimStart()
  t.is(/^x*/.exec(body)![0].length, TAKEN_BODY.length)
})

test('guards against a request that has arrived by the end of a planned stop staying without an answer', async (t) => {
  const setup = await setUp(t)
  const { server, passedOn } = setup
  const [idle, late, reading] = [setup.connectCaller(), setup.connectCaller(), setup.connectCaller()]
  reading.socket.write('POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r2\r\nContent-Length: 100\r\n\r\nhalf')
  await until(t, 'all are connected, and a body is arriving', () => server.connections === 3 && server.inFlight === 1)
  server.startStopping()
  late.socket.write(requests(1, 1))
  await delay(50)
  server.close()
  answer(passedOn[0]!)
  await until(t, 'all are closed', () => [idle, late, reading].every(({ isClosed }) => isClosed))
  t.regex(late.received, /^HTTP\/1.1 200.*Connection: close.*answer to r1;$/si)
  t.regex(reading.received, /^HTTP\/1.1 503.*Connection: close.*Retry-After: 0\.050|^HTTP\/1.1 503.*Retry-After: 0\.050.*Connection: close/si)
  t.deepEqual([idle.received, idle.errorCode, late.errorCode, reading.errorCode], ['', undefined, undefined, undefined])
  await server.whenClosed()
})

const refusals: Record<string, { status: number, head: string, budgetBytes?: number }> = {
  'a body over the limit': { status: 413, head: 'POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nContent-Length: 2000000\r\n\r\n' },
  'a body that grows over the limit': { status: 413, head: 'POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n' },
  'a body that does not fit into memory': { status: 503, budgetBytes: 200_000, head: 'POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nContent-Length: 900000\r\n\r\n' },
  'a head over the limit': { status: 431, head: `GET /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nx-long: ${'x'.repeat(10_000)}\r\n\r\n` },
  'a head without end': { status: 431, head: 'GET /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nx-long: ' },
  'bytes that are no request': { status: 400, head: 'no request\r\n\r\n' },
  'bytes that are no chunk': { status: 400, head: 'POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nno chunk\r\n' }
}

for (const [name, { status, head, budgetBytes = Infinity }] of Object.entries(refusals)) {
  test(`guards against a caller that sends on losing the refusal of its request: ${name}`, async (t) => {
    const setup = await setUp(t, {}, new BufferBudget(budgetBytes))
    const caller = setup.connectCaller()
    caller.socket.write(head)
    await keepSending(caller, 'y'.repeat(50_000))
    await until(t, 'the connection is closed', () => caller.isClosed)
    t.true(caller.received.startsWith(`HTTP/1.1 ${status} `), caller.received.slice(0, 100))
    t.is(caller.errorCode, undefined)
    t.deepEqual(setup.passedOn, [])
  })
}

test('guards against a caller that has long been idle, and doesn\'t close its connection, holding up a planned stop', async (t) => {
  const { server, timers, connectCaller, passedOn } = await setUp(t)
  server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: 1_000_000, headerTimeoutMs: 1_000, idleTimeoutMs: 60_000 })
  const caller = connectCaller({ allowHalfOpen: true })
  caller.socket.write(requests(1, 1))
  await until(t, 'it is passed on', () => passedOn.length === 1)
  answer(passedOn[0]!)
  await until(t, 'it is answered', () => caller.received !== '')
  timers.advance(10_000)
  server.close()
  await until(t, 'its connection is ended', () => caller.socket.readableEnded)
  await delay(POLL_MS)
  timers.advance(1_000)
  await until(t, 'the connection is closed', () => server.connections === 0)
  t.pass()
})

test('guards against callers that have left in the middle of a body keeping their connections', async (t) => {
  const setup = await setUp(t)
  const { server } = setup
  const caller = setup.connectCaller()
  caller.socket.write('POST /a/ HTTP/1.1\r\nHost: h\r\nx-id: r1\r\nContent-Length: 100\r\n\r\nhalf')
  await until(t, 'a body is arriving', () => server.inFlight === 1)
  caller.socket.end()
  await until(t, 'the connection is closed', () => server.connections === 0)
  t.deepEqual([server.inFlight, caller.errorCode], [0, undefined])
})

test('guards against a caller that never closes its connection keeping it open', async (t) => {
  const setup = await setUp(t)
  const { server, timers, events } = setup
  const caller = setup.connectCaller({ allowHalfOpen: true })
  caller.socket.write('no request\r\n\r\n')
  await until(t, 'it is refused', () => caller.received.startsWith('HTTP/1.1 400'))
  await until(t, 'its connection is ended', () => caller.socket.readableEnded)
  await until(t, 'the connection is closed', () => {
    caller.socket.write('more')
    timers.advance(1_000)
    return server.connections === 0
  })
  t.deepEqual(events, ['badInput', 'callerClosed'])
})

for (const bytes of [1, 500_000]) {
  test(`guards against the end of the process cutting off a response without a length, so that it looks complete: ${bytes} bytes`, async (t) => {
    const setup = await setUp(t, { maxUnreadBytes: Infinity }, undefined, narrowQueue())
    const caller = connectPaused(setup)
    caller.socket.write(requests(1, 1))
    await until(t, 'it is passed on', () => setup.passedOn.length === 1)
    answer(setup.passedOn[0]!, 'x'.repeat(bytes), true)
    // All of it left the process at once, though the link is narrow.
    t.is(setup.server.inFlight, 1)
    await new Promise((resolve) => setImmediate(resolve))
    t.is(setup.server.inFlight, 0)
    await readSlowly(t, caller)
    t.is(caller.errorCode, undefined)
    t.regex(caller.received, /^HTTP\/1.1 200 OK\r\n(?!.*Content-Length|.*Transfer-Encoding).*\r\n\r\nx+$/s)
    t.is(caller.received.match(/x/g)?.length, bytes)
  })
}

const notTaken = {
  'too long': (id: string, { passedOn }: Setup) => answer(passedOn.find((request) => request.id === id)!, BODY, true),
  'behind another': (id: string, { passedOn }: Setup) => answer(passedOn.find((request) => request.id === id)!, 'x', true)
}

for (const [name, answerTo] of Object.entries(notTaken)) {
  test(`guards against a response without a length being passed on that may be cut off without a sign: ${name}`, async (t) => {
    const setup = await setUp(t)
    const caller = setup.connectCaller()
    caller.socket.write(requests(1, 2))
    await until(t, 'two are passed on', () => setup.passedOn.length === 2)
    t.throws(() => answerTo('r2', setup), { any: true })
    setup.passedOn[1]!.res.reject(502, 'notForwardable')
    answer(setup.passedOn[0]!)
    await until(t, 'both are answered', () => caller.received.includes('notForwardable'))
    t.deepEqual(caller.received.match(/HTTP\/1.1 \d+/g), ['HTTP/1.1 200', 'HTTP/1.1 502'])
  })
}

test('guards against a response without a length looking complete, where the system takes only a part of it at once', async (t) => {
  const outcomes = new Set<string>()
  // The system takes less at once the more it holds of earlier responses; at some point it has room for these, but not for the last.
  for (let held = 0; !outcomes.has('reset') && !outcomes.has('no room'); held++) outcomes.add(await outcomeBehind(t, held))
  t.deepEqual([...outcomes], ['whole', 'reset'])
})

/** What becomes of a response without a length behind a number of others that the system holds as their caller doesn't read. */
async function outcomeBehind (t: ExecutionContext, held: number): Promise<string> {
  const setup = await setUp(t, { maxUnreadBytes: Infinity })
  const { passedOn, server } = setup
  server.setLimits({ maxHeaderBytes: 8_192, maxBodyBytes: 1_000_000, headerTimeoutMs: LONG_IDLE_MS, idleTimeoutMs: LONG_IDLE_MS })
  const caller = connectPaused(setup)
  for (let i = 0; i <= held; i++) {
    caller.socket.write(requests(i, i))
    await until(t, 'it is passed on', () => passedOn.length > i)
    if (i < held) answer(passedOn[i]!, 'y'.repeat(HELD_BYTES))
    await delay(TAKE_MS)
    if (i < held && server.inFlight > 0) return 'no room'
  }
  try {
    answer(passedOn[held]!, 'x'.repeat(UNFRAMED_BYTES), true)
  } catch (err) {
    passedOn[held]!.res.reject(502, errorCode(err))
  }
  await readSlowly(t, caller)
  const isWhole = caller.received.match(/x/g)?.length === UNFRAMED_BYTES
  return caller.errorCode === 'ECONNRESET' ? 'reset' : isWhole && caller.errorCode === undefined ? 'whole' : 'looks complete'
}
