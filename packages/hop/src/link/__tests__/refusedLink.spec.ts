import test, { type ExecutionContext } from 'ava'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { unlimitedQueue } from '../../__tests__/fixtures.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { packIdentity } from '../codec.js'
import { FRAME_KINDS } from '../frames.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { NodePeerLink } from '../nodePeerLink.js'

/** A server that tells which daemon it is and answers nothing else. */
async function listening (port: number): Promise<Server> {
  const timers = new VirtualTimers()
  const server = createServer((socket) => {
    const frames = new FrameSocket(socket, {
      timers,
      queue: unlimitedQueue(),
      onFrame: ([, exchangeId]) => { frames.send([FRAME_KINDS.reply, exchangeId, packIdentity({ host: 'p', incarnation: 1 })]) },
      onClose: () => {}
    })
  })
  await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
  return server
}

/** A link to a port at which nothing listens; `changed` resolves at the next change of its state. */
async function refusedLink (t: ExecutionContext): Promise<{ link: NodePeerLink, port: number, changed: () => Promise<void> }> {
  const server = await listening(0)
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  let onChange = (): void => {}
  const link = new NodePeerLink({ host: 'p', address: '127.0.0.1', port, timers: new VirtualTimers(), log: new NoopCallLog(), queue: unlimitedQueue(), idlePingMs: () => 3_000, onStateChange: () => onChange(), onSilent: () => {} })
  t.teardown(() => link.close())
  const changed = async (): Promise<void> => await new Promise<void>((resolve) => { onChange = resolve })
  const ended = changed()
  link.keepAlive()
  await ended
  return { link, port, changed }
}

test('guards against a daemon that has ended being taken for one that is cut off', async (t) => {
  const { link } = await refusedLink(t)
  t.true(link.isRefused)
})

test('guards against a daemon that was heard of again being connected to only after the delay for failed attempts', async (t) => {
  const { link, port, changed } = await refusedLink(t)
  const server = await listening(port)
  t.teardown(() => server.close())
  const connected = changed()
  link.keepAlive()
  t.true(link.isRefused, 'the delay after the failed attempt is not over')
  link.reopen()
  await connected
  t.true(link.isUp)
  t.false(link.isRefused)
})
