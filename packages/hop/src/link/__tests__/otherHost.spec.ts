import test, { type ExecutionContext } from 'ava'
import { createServer, type AddressInfo } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { NO_LAG, unlimitedQueue } from '../../__tests__/fixtures.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { FRAME_KINDS } from '../frames.js'
import type { CallMessage, DaemonIdentity, HopReply, SyncMessage } from '../messages.js'
import { NodeHopServer } from '../nodeHopServer.js'
import { PeerConnection, type ExchangeOutcome } from '../nodePeerConnection.js'
import { NodePeerLink } from '../nodePeerLink.js'

/** Longer than the delay after another host's daemon has answered. */
const RETRY_MS = 31_000
const SYNC_MESSAGE: SyncMessage = { from: 'own', configVersion: 0, storeEpoch: 0, records: [], facts: [], orders: [], reports: [] }

function callMessage (key: string, idempotent: boolean): CallMessage {
  return {
    key, requestId: key, incarnation: 1, mode: 'now', service: 's', targetId: 'i', route: 'r', method: 'GET', url: '/', headers: [], body: new Uint8Array(), deadlineMs: 1_000, targetLatencyMs: 600, priority: 1, idempotent, nested: false, repeat: false, suspect: false
  }
}

/** A daemon's server on loopback; records what it handles. */
class Daemon {
  identity: DaemonIdentity
  readonly handled: string[] = []
  readonly #server: NodeHopServer
  readonly timers = new VirtualTimers()

  constructor (identity: DaemonIdentity, port = 0) {
    this.identity = identity
    const handler = {
      offer: ({ key }: CallMessage) => { this.handled.push(`call ${key}`) },
      settle: (key: string, _incarnation: number, reply: (reply: HopReply) => void) => {
        this.handled.push(`settle ${key}`)
        reply({ kind: 'failed', reason: 'lost' })
      },
      cancel: () => {},
      onSenderDisconnect: () => {}
    } as Partial<InboundHandler> as InboundHandler
    this.#server = new NodeHopServer({
      address: '127.0.0.1',
      port,
      identity: () => this.identity,
      timers: this.timers,
      queue: unlimitedQueue(),
      handler,
      log: new NoopCallLog(),
      lag: NO_LAG,
      isUp: () => true,
      deltaSince: () => undefined,
      onQuota: (_message, reply) => reply([]),
      onSync: (message) => {
        this.handled.push('sync')
        return message
      }
    })
  }

  async listen (): Promise<number> {
    await this.#server.listen()
    return this.#server.port
  }

  close (): void {
    this.#server.close()
  }
}

async function until (check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 2))
}

/** A link to the daemon of a host at a port. `states`: incarnations and undefined, as the link told them. */
function openLink (t: ExecutionContext, host: string, port: number): { link: NodePeerLink, timers: VirtualTimers, states: (number | undefined)[] } {
  const timers = new VirtualTimers()
  const states: (number | undefined)[] = []
  const link = new NodePeerLink({ host, address: '127.0.0.1', port, timers, log: new NoopCallLog(), queue: unlimitedQueue(), idlePingMs: () => 3_000, onStateChange: (_host, incarnation) => states.push(incarnation), onSilent: () => {} })
  t.teardown(() => link.close())
  link.keepAlive()
  return { link, timers, states }
}

async function startDaemon (t: ExecutionContext, identity: DaemonIdentity): Promise<{ daemon: Daemon, port: number }> {
  const daemon = new Daemon(identity)
  t.teardown(() => daemon.close())
  return { daemon, port: await daemon.listen() }
}

test('guards against a lost host counting as alive because the daemon of another host listens at its address', async (t) => {
  const { daemon, port } = await startDaemon(t, { host: 'new', incarnation: 7 })
  const { link, states } = openLink(t, 'lost', port)
  await until(() => states.length > 0)
  t.deepEqual(states, [undefined])
  t.false(link.isUp)
  t.true(link.isRefused, 'its daemon does not run, so it lends no quota any more')
  t.deepEqual(daemon.handled, [])
})

test('guards against a daemon counting as alive before it has said which one it is', async (t) => {
  const { port } = await startDaemon(t, { host: 'p', incarnation: 7 })
  const { link, states } = openLink(t, 'p', port)
  t.false(link.isUp)
  await until(() => states.length > 0)
  t.deepEqual(states, [7])
  t.true(link.isUp)
  t.false(link.isRefused)
})

for (const isBulky of [false, true]) {
  test(`guards against a request for a target of a lost host being handled by another host, or being lost: ${isBulky ? 'large' : 'small'} request`, async (t) => {
    const { daemon, port } = await startDaemon(t, { host: 'new', incarnation: 1 })
    const { link, states } = openLink(t, 'lost', port)
    const replies: HopReply[] = []
    link.call(callMessage('c', false), isBulky, (reply) => replies.push(reply), () => {})
    const sync = link.sync(SYNC_MESSAGE)
    await t.throwsAsync(sync, { any: true })
    await until(() => replies.length > 0 && states.length > 0)
    t.deepEqual(replies, [{ kind: 'notRun', reason: 'unsent' }])
    t.deepEqual(daemon.handled, [])
  })
}

test('guards against a request that may have run being called not run because its connection broke before the peer said which daemon it is', async (t) => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.destroy())
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => server.close())
  const { port } = server.address() as AddressInfo
  const connection = new PeerConnection({
    peer: 'p', address: '127.0.0.1', port, timers: new VirtualTimers(), log: new NoopCallLog(), queue: unlimitedQueue(), isPersistent: false, idlePingMs: () => 3_000, onStateChange: () => {}, onSilent: () => {}
  })
  t.teardown(() => connection.close())
  const outcome = await new Promise<ExchangeOutcome>((resolve) => { connection.request(FRAME_KINDS.call, 'x', resolve) })
  t.deepEqual(outcome, { kind: 'broken', mayHaveArrived: true })
})

test('guards against a host being lost for good once another host has had its address', async (t) => {
  const { daemon, port } = await startDaemon(t, { host: 'other', incarnation: 1 })
  const { link, timers, states } = openLink(t, 'p', port)
  await until(() => states.length === 1)
  daemon.identity = { host: 'p', incarnation: 2 }
  link.keepAlive()
  t.is(states.length, 1, 'the other host is not asked again and again')
  timers.advance(RETRY_MS)
  link.keepAlive()
  await until(() => states.length === 2)
  t.deepEqual(states, [undefined, 2])
})

test('guards against a host that is heard of again at its former address being reached late', async (t) => {
  const { daemon, port } = await startDaemon(t, { host: 'other', incarnation: 1 })
  const { link, states } = openLink(t, 'p', port)
  await until(() => states.length === 1)
  daemon.identity = { host: 'p', incarnation: 2 }
  link.reopen()
  await until(() => states.length === 2)
  t.true(link.isUp)
})
