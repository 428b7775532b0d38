import test from 'ava'
import { createServer, type AddressInfo } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NoopCallLog } from '../../observe/callLog.js'
import { FRAME_KINDS, FrameSocket } from '../nodeFrameSocket.js'
import { PeerConnection } from '../nodePeerConnection.js'

const IDLE_PING_MS = 3_000

test('guards against pinging the peer with every call, and against not pinging it while a call waits for a silent peer', async (t) => {
  const timers = new VirtualTimers()
  const receivedKinds: number[] = []
  const serverSockets: FrameSocket[] = []
  const call: { sentAt?: number } = {}
  let onReceived = (): void => {}
  const server = createServer((socket) => {
    serverSockets.push(new FrameSocket(socket, {
      timers,
      onFrame: ([kind]) => {
        receivedKinds.push(kind)
        onReceived()
      },
      onClose: () => {}
    }))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => server.close())
  let onConnected = (): void => {}
  const connected = new Promise<void>((resolve) => { onConnected = resolve })
  const connection = new PeerConnection({
    peer: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, timers, log: new NoopCallLog(), isPersistent: true, oldestCallSentAt: () => call.sentAt, idlePingMs: () => IDLE_PING_MS, onStateChange: () => onConnected()
  })
  t.teardown(() => connection.close())
  connection.keepAlive()
  await connected
  timers.advance(IDLE_PING_MS - 500)
  const callReceived = new Promise<void>((resolve) => { onReceived = resolve })
  call.sentAt = timers.now()
  connection.request(FRAME_KINDS.call, 'x', () => {})
  await callReceived
  connection.keepAlive()
  timers.advance(200)
  connection.keepAlive()
  t.deepEqual(receivedKinds, [FRAME_KINDS.call], 'silence before the call must not cause a ping')
  const pingReceived = new Promise<void>((resolve) => { onReceived = resolve })
  timers.advance(100)
  connection.keepAlive()
  await pingReceived
  t.deepEqual(receivedKinds, [FRAME_KINDS.call, FRAME_KINDS.ping])
})
