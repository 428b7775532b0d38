import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { NodeTimers, SeededRandom } from '@lentilwheel/core'
import { unlimitedQueue } from '../../__tests__/fixtures.js'
import { FRAME_KINDS, type Frame } from '../frames.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { SendQueue } from '../sendQueue.js'

const timers = new NodeTimers(new SeededRandom(1))
const LARGE = new Uint8Array(100_000).fill(7)

/** Two ends of a connection; the sending one has a narrow link. */
async function connectPair (t: ExecutionContext, onFrame: (frame: Frame) => void): Promise<FrameSocket> {
  const server = createServer((socket) => { receiver = new FrameSocket(socket, { timers, queue: unlimitedQueue(), onFrame, onClose: () => {} }) })
  let receiver: FrameSocket | undefined
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const socket: Socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  await once(socket, 'connect')
  t.teardown(() => {
    receiver?.destroy('end of the test')
    socket.destroy()
    server.close()
  })
  return new FrameSocket(socket, { timers, queue: new SendQueue({ timers, bytesPerMs: 500 }), onFrame: () => {}, onClose: () => {} })
}

test('guards against a small frame waiting for a large one on the same connection, and against parts of frames being mixed up', async (t) => {
  const frames: Frame[] = []
  await new Promise<void>((resolve) => {
    connectPair(t, (frame) => { if (frames.push(frame) === 4) resolve() }).then((peer) => {
      peer.send([FRAME_KINDS.reply, 1, LARGE], 2)
      peer.send([FRAME_KINDS.reply, 2, LARGE.subarray(0, 60_000)], 1)
      peer.send([FRAME_KINDS.reply, 3, 'small'], 2)
      peer.send([FRAME_KINDS.pong, 0])
    })
  })
  t.deepEqual(frames.map(([kind, id]) => [kind, id]), [[FRAME_KINDS.pong, 0], [FRAME_KINDS.reply, 2], [FRAME_KINDS.reply, 3], [FRAME_KINDS.reply, 1]])
  t.deepEqual(frames.map(([, , payload]) => payload instanceof Uint8Array ? payload.length : payload), [undefined, 60_000, 'small', LARGE.length])
})

test('guards against the rest of a frame being sent that was revoked, and against its parts ending up in another one', async (t) => {
  const frames: Frame[] = []
  await new Promise<void>((resolve) => {
    connectPair(t, (frame) => { if (frames.push(frame) === 1) resolve() }).then((peer) => {
      const revoked = peer.send([FRAME_KINDS.reply, 1, LARGE], 1)
      t.true(revoked.isWaiting)
      t.true(revoked.revoke())
      t.false(revoked.isWaiting)
      t.true(revoked.revoke())
      peer.send([FRAME_KINDS.reply, 2, LARGE.subarray(0, 50_000)], 1)
    })
  })
  t.deepEqual(frames.map(([, id]) => id), [2])
  t.deepEqual(Buffer.from(frames[0]![2] as Uint8Array), Buffer.from(LARGE.subarray(0, 50_000)))
})
