import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { NodeTimers, SeededRandom } from '@lentilwheel/core'
import { NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import { BufferBudget } from '../../buffers/bufferBudget.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { encode, packCall, unpackReply } from '../codec.js'
import { FRAME_KINDS, readFrameHeader, type Frame } from '../frames.js'
import type { CallMessage, HopReply } from '../messages.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { NodeHopServer } from '../nodeHopServer.js'
import { PartAssembler } from '../partAssembler.js'

const timers = new NodeTimers(new SeededRandom(1))
const BUDGET_BYTES = 1_000_000

function call (key: string, bodyBytes: number): CallMessage {
  return {
    key, requestId: key, incarnation: 1, mode: 'queue', service: 's', targetId: 't', route: 'r', method: 'POST', url: '/', headers: [], body: new Uint8Array(bodyBytes), deadlineMs: 1_000, targetLatencyMs: 100, priority: 1, idempotent: true, nested: false, repeat: false, suspect: false
  }
}

/** A server that takes calls and answers none until told, and a peer connected to it. */
async function setUp (t: ExecutionContext): Promise<{ budget: BufferBudget, server: NodeHopServer, taken: Map<string, (reply: HopReply) => void>, socket: Socket, peer: FrameSocket, replies: Map<number, HopReply> }> {
  const budget = new BufferBudget(BUDGET_BYTES, 0.25)
  const taken = new Map<string, (reply: HopReply) => void>()
  const handler: Partial<InboundHandler> = { offer: (message, reply) => { taken.set(message.key, reply) }, onSenderDisconnect: () => {} }
  const server = new NodeHopServer({
    address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), lag: NO_LAG, queue: unlimitedQueue(), budget, timers, handler: handler as InboundHandler, log: new NoopCallLog(), onSync: (message) => message, onQuota: (_message, reply) => reply([]), isUp: () => true, deltaSince: () => undefined
  })
  await server.listen()
  const replies = new Map<number, HopReply>()
  const socket = connect(server.port, '127.0.0.1')
  const peer = new FrameSocket(socket, {
    timers, queue: unlimitedQueue(), onFrame: ([kind, id, payload]) => { if (kind === FRAME_KINDS.reply) replies.set(id, unpackReply(payload, 0)) }, onClose: () => {}
  })
  t.teardown(() => {
    peer.destroy('end of the test')
    server.close()
  })
  return { budget, server, taken, socket, peer, replies }
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5))
}

test('guards against bodies of calls taking more memory than there is, and against a call that was dropped counting as run', async (t) => {
  const { budget, taken, peer, replies } = await setUp(t)
  for (const [id, key] of ['a', 'b', 'c', 'd'].entries()) peer.send([FRAME_KINDS.call, id, packCall(call(key, 400_000))])
  await until(() => taken.size + replies.size === 4)
  t.deepEqual([...taken.keys()], ['a', 'b'])
  t.deepEqual([...replies.values()].map(({ kind, ...rest }) => [kind, (rest as { reason?: string }).reason]), [['notRun', 'busy'], ['notRun', 'busy']])
  for (const reply of taken.values()) reply({ kind: 'notRun', reason: 'shed' })
  await until(() => replies.size === 4)
  t.is(budget.totalBytes, 0)
  peer.send([FRAME_KINDS.call, 9, packCall(call('e', 400_000))])
  await until(() => taken.has('e'))
  peer.destroy('left')
  await until(() => budget.totalBytes === 0)
  t.pass()
})

test('guards against replies to a peer that reads nothing taking more memory than there is, and against one that was dropped counting as not run', async (t) => {
  const { budget, server, taken, socket, peer, replies } = await setUp(t)
  await once(socket, 'connect')
  socket.pause()
  const ids = Array.from({ length: 200 }, (_, id) => id)
  for (const id of ids) peer.send([FRAME_KINDS.call, id, packCall(call(`k${id}`, 0))])
  await until(() => taken.size === ids.length)
  for (const reply of taken.values()) {
    reply({ kind: 'response', status: 200, headers: [], body: new Uint8Array(200_000), unframed: false })
    await new Promise((resolve) => setImmediate(resolve))
  }
  t.true(budget.totalBytes <= BUDGET_BYTES)
  t.true(server.unsentBytes <= BUDGET_BYTES, String(server.unsentBytes))
  socket.resume()
  await until(() => replies.size === ids.length)
  const outcomes = new Set([...replies.values()].map((reply) => reply.kind === 'response' ? reply.body.length : reply.reason))
  t.deepEqual([...outcomes].sort(), [200_000, 'lost'])
  t.is(budget.totalBytes, 0)
})

test('guards against an incomplete message of a peer being kept although there is no memory for it', (t) => {
  const budget = new BufferBudget(100_000)
  const dropped: unknown[] = []
  const parts = new PartAssembler(1_000_000, budget, (firstPart) => dropped.push(readFrameHeader(firstPart)))
  const frame = encode([FRAME_KINDS.call, 70_000, new Uint8Array(90_000)] satisfies Frame)
  const other = encode([FRAME_KINDS.reply, 5, new Uint8Array(30_000)] satisfies Frame)
  t.is(parts.add(1, frame.subarray(0, 80_000), false, frame.length), undefined)
  t.is(parts.add(2, other.subarray(0, 25_000), false, other.length), undefined)
  t.deepEqual(dropped, [[FRAME_KINDS.call, 70_000]])
  t.is(parts.add(1, frame.subarray(80_000), true), undefined)
  t.true(parts.add(2, other.subarray(25_000), true)?.equals(other))
  t.is(budget.totalBytes, 0)
})

test('guards against the kind and the id of a dropped message being read wrongly', (t) => {
  const ids = [0, 127, 128, 255, 256, 65_535, 65_536, 4_000_000_000]
  t.deepEqual(ids.map((id) => readFrameHeader(encode([FRAME_KINDS.reply, id, null] satisfies Frame))), ids.map((id) => [FRAME_KINDS.reply, id]))
  t.is(readFrameHeader(encode('no frame')), undefined)
  t.is(readFrameHeader(new Uint8Array()), undefined)
})
