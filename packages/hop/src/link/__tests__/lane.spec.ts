import test from 'ava'
import { createServer, type AddressInfo } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NoCallLog } from '../../observe/callLog.js'
import { FRAMES, FrameSocket } from '../nodeFrameSocket.js'
import { Lane } from '../nodeLane.js'

const IDLE_PROBE_MS = 3_000

test('guards against a question for a sign of life with every call, and against none when a call waits in silence', async (t) => {
  const timers = new VirtualTimers()
  const kinds: number[] = []
  const sockets: FrameSocket[] = []
  const call: { sentAt?: number } = {}
  let heard = (): void => {}
  const server = createServer((socket) => {
    sockets.push(new FrameSocket(socket, {
      timers,
      onFrame: ([kind]) => {
        kinds.push(kind)
        heard()
      },
      onClose: () => {}
    }))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => server.close())
  let connected = (): void => {}
  const isConnected = new Promise<void>((resolve) => { connected = resolve })
  const lane = new Lane({
    peer: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, timers, log: new NoCallLog(), keep: true, waitingSince: () => call.sentAt, idleProbeMs: () => IDLE_PROBE_MS, onState: () => connected()
  })
  t.teardown(() => lane.close())
  lane.upkeep()
  await isConnected
  timers.advance(IDLE_PROBE_MS - 500)
  const sent = new Promise<void>((resolve) => { heard = resolve })
  call.sentAt = timers.now()
  lane.ask(FRAMES.call, 'x', () => {})
  await sent
  lane.upkeep()
  timers.advance(200)
  lane.upkeep()
  t.deepEqual(kinds, [FRAMES.call], 'the link was silent before the call, which tells nothing')
  const probed = new Promise<void>((resolve) => { heard = resolve })
  timers.advance(100)
  lane.upkeep()
  await probed
  t.deepEqual(kinds, [FRAMES.call, FRAMES.ping])
})
