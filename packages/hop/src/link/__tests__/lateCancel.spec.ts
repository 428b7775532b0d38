import test from 'ava'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { NodeTimers, SeededRandom } from '@lentilwheel/core'
import { ALWAYS_BEHIND, NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { LoopLag } from '../../daemon/nodeLoopLag.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { packCall } from '../codec.js'
import type { CallMessage, HopReply } from '../messages.js'
import { FRAME_KINDS } from '../frames.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { NodeHopServer } from '../nodeHopServer.js'
import { SendQueue } from '../sendQueue.js'

const timers = new NodeTimers(new SeededRandom(1))

function callMessage (key: string): CallMessage {
  return {
    key, requestId: key, incarnation: 1, mode: 'now', service: 's', targetId: 'i', route: 'r', method: 'GET', url: '/', headers: [], body: new Uint8Array(), deadlineMs: 1_000, targetLatencyMs: 600, priority: 1, idempotent: true, nested: false, repeat: false, suspect: false
  }
}

/** Keys of the calls that the handler is offered when three are sent and the second is cancelled at once. */
async function offeredKeys (lag: Pick<LoopLag, 'whenRead'>): Promise<string[]> {
  const offered: string[] = []
  const handler = { offer: ({ key }) => { offered.push(key) }, cancel: () => {}, onSenderDisconnect: () => {} } as Partial<InboundHandler> as InboundHandler
  const server = new NodeHopServer({ address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), timers, queue: unlimitedQueue(), handler, log: new NoopCallLog(), lag, onSync: (message) => message, onQuota: () => {}, isUp: () => true, deltaSince: () => undefined })
  await server.listen()
  const peer = new FrameSocket(connect(server.port, '127.0.0.1'), { timers, queue: unlimitedQueue(), onFrame: () => {}, onClose: () => {} })
  sendThreeCalls(peer)
  while (!offered.includes('c3')) await sleep(5)
  peer.end()
  server.close()
  return offered
}

function sendThreeCalls (peer: FrameSocket): void {
  for (const id of [1, 2, 3]) peer.send([FRAME_KINDS.call, id, packCall(callMessage(`c${id}`))])
  peer.send([FRAME_KINDS.cancel, 2])
}

test('guards against a call being run that its sender has already cancelled, because the event loop was behind', async (t) => {
  t.deepEqual(await offeredKeys(ALWAYS_BEHIND), ['c1', 'c3'])
})

test('guards against calls being delayed while the event loop is not behind', async (t) => {
  t.deepEqual(await offeredKeys(NO_LAG), ['c1', 'c2', 'c3'])
})

test('guards against the rest of an answer being sent that nobody waits for any more', async (t) => {
  const queue = new SendQueue({ timers, bytesPerMs: 100 })
  const reply: HopReply = { kind: 'response', status: 200, headers: [], body: new Uint8Array(200_000), unframed: false }
  const handler = { offer: (_message, done) => done(reply), cancel: () => {}, onSenderDisconnect: () => {} } as Partial<InboundHandler> as InboundHandler
  const server = new NodeHopServer({ address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), timers, queue, handler, log: new NoopCallLog(), lag: NO_LAG, onSync: (message) => message, onQuota: () => {}, isUp: () => true, deltaSince: () => undefined })
  await server.listen()
  const kinds: number[] = []
  const peer = new FrameSocket(connect(server.port, '127.0.0.1'), {
    timers,
    queue: unlimitedQueue(),
    onFrame: ([kind]) => {
      kinds.push(kind)
      if (kind === FRAME_KINDS.answered) peer.send([FRAME_KINDS.cancel, 1])
    },
    onClose: () => {}
  })
  peer.send([FRAME_KINDS.call, 1, packCall(callMessage('c1'))])
  while (!kinds.includes(FRAME_KINDS.answered) || queue.waiting > 0) await sleep(5)
  peer.send([FRAME_KINDS.ping, 0])
  while (!kinds.includes(FRAME_KINDS.pong)) await sleep(5)
  t.deepEqual(kinds, [FRAME_KINDS.answered, FRAME_KINDS.pong])
  peer.end()
  server.close()
})
