import test from 'ava'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { NodeTimers, SeededRandom } from '@lentilwheel/core'
import { NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { packCall } from '../codec.js'
import { FRAME_KINDS } from '../frames.js'
import type { CallMessage, HopReply } from '../messages.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { NodeHopServer } from '../nodeHopServer.js'
import { OpenSockets } from '../nodeOpenSockets.js'

const timers = new NodeTimers(new SeededRandom(1))
/** More than the system keeps for a connection, in replies that are not sent in parts. */
const CALLS = 60
const REPLY_BYTES = 200_000
const POLL_MS = 5

function callMessage (key: string): CallMessage {
  return {
    key, requestId: key, incarnation: 1, mode: 'now', service: 's', targetId: 'i', route: 'r', method: 'GET', url: '/', headers: [], body: new Uint8Array(), deadlineMs: 1_000, targetLatencyMs: 600, priority: 1, idempotent: true, nested: false, repeat: false, suspect: false
  }
}

test('guards against the end of a planned stop cutting off replies that another daemon is still reading, where its next calls cross it', async (t) => {
  const offered: string[] = []
  const handler = {
    offer: ({ key }: CallMessage, reply: (reply: HopReply) => void) => {
      offered.push(key)
      reply({ kind: 'response', status: 200, headers: [], body: new Uint8Array(REPLY_BYTES), unframed: false })
    },
    cancel: () => {},
    onSenderDisconnect: () => {}
  } as Partial<InboundHandler> as InboundHandler
  const openSockets = new OpenSockets()
  const server = new NodeHopServer({ address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), timers, queue: unlimitedQueue(), handler, log: new NoopCallLog(), lag: NO_LAG, openSockets, onSync: (message) => message, onQuota: () => {}, isUp: () => true, deltaSince: () => undefined })
  await server.listen()
  const replies = new Set<number>()
  const socket = connect(server.port, '127.0.0.1')
  const closeReasons: string[] = []
  const peer = new FrameSocket(socket, { timers, queue: unlimitedQueue(), onFrame: ([kind, id]) => { if (kind === FRAME_KINDS.reply) replies.add(id) }, onClose: (reason) => { closeReasons.push(reason) } })
  t.teardown(() => peer.destroy('end of the test'))
  socket.pause()
  for (let id = 1; id <= CALLS; id++) peer.send([FRAME_KINDS.call, id, packCall(callMessage(`c${id}`))])
  while (offered.length < CALLS) await delay(POLL_MS)
  server.close()
  let isClosed = false
  const closing = openSockets.whenEmpty().then(() => { isClosed = true })
  for (let id = CALLS + 1; closeReasons.length === 0; id++) {
    peer.send([FRAME_KINDS.call, id, packCall(callMessage(`c${id}`))])
    if (id === CALLS + 10) t.false(isClosed)
    if (id > CALLS + 10) socket.resume()
    await delay(POLL_MS)
  }
  await closing
  t.deepEqual(closeReasons, ['closed'])
  t.true(replies.size >= CALLS)
  t.deepEqual(Array.from({ length: CALLS }, (_, i) => replies.has(i + 1)), Array.from({ length: CALLS }, () => true))
})
