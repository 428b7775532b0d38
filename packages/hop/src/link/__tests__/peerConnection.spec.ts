import test, { type ExecutionContext } from 'ava'
import { createServer, type AddressInfo } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { unlimitedQueue } from '../../__tests__/fixtures.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { packIdentity } from '../codec.js'
import { FRAME_KINDS } from '../frames.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { PeerConnection, type ExchangeOutcome } from '../nodePeerConnection.js'

const IDLE_PING_MS = 3_000
/** Time in which a peer has to answer a ping. */
const PING_TIMEOUT_MS = 800

/** A connection to a peer that tells which daemon it is, reads everything and answers nothing else. */
class Harness {
  readonly timers = new VirtualTimers()
  readonly receivedKinds: number[] = []
  silent = 0
  readonly connection: PeerConnection
  #onReceived = (): void => {}
  readonly #connected: Promise<void>

  private constructor (port: number) {
    let onConnected = (): void => {}
    this.#connected = new Promise<void>((resolve) => { onConnected = resolve })
    this.connection = new PeerConnection({
      peer: 'p', address: '127.0.0.1', port, timers: this.timers, log: new NoopCallLog(), queue: unlimitedQueue(), isPersistent: true, idlePingMs: () => IDLE_PING_MS, onStateChange: () => onConnected(), onSilent: () => { this.silent++ }
    })
  }

  static async start (t: ExecutionContext): Promise<Harness> {
    const server = createServer((socket) => {
      const frames = new FrameSocket(socket, {
        timers: harness.timers,
        queue: unlimitedQueue(),
        onFrame: ([kind, exchangeId]) => {
          if (kind === FRAME_KINDS.hello) return frames.send([FRAME_KINDS.reply, exchangeId, packIdentity({ host: 'p', incarnation: 1 })])
          harness.receivedKinds.push(kind)
          harness.#onReceived()
        },
        onClose: () => {}
      })
      t.teardown(() => frames.destroy('end of the test'))
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const harness = new Harness((server.address() as AddressInfo).port)
    t.teardown(() => {
      harness.connection.close()
      server.close()
    })
    harness.connection.keepAlive()
    await harness.#connected
    return harness
  }

  /** Does a step and waits until the peer has received what it sends. */
  async received (step: () => void): Promise<void> {
    const received = new Promise<void>((resolve) => { this.#onReceived = resolve })
    step()
    await received
  }
}

test('guards against pinging the peer with every call, and against not pinging it while a call waits for a silent peer', async (t) => {
  const harness = await Harness.start(t)
  const { timers, connection, receivedKinds } = harness
  timers.advance(IDLE_PING_MS - 500)
  await harness.received(() => { connection.request(FRAME_KINDS.call, 'x', () => {}) })
  connection.keepAlive()
  timers.advance(200)
  connection.keepAlive()
  t.deepEqual(receivedKinds, [FRAME_KINDS.call], 'silence before the call must not cause a ping')
  timers.advance(100)
  await harness.received(() => connection.keepAlive())
  t.deepEqual(receivedKinds, [FRAME_KINDS.call, FRAME_KINDS.ping])
})

test('guards against a message to a peer being lost on a silent connection that stays in use', async (t) => {
  const harness = await Harness.start(t)
  const { timers, connection } = harness
  let onOutcome = (_outcome: ExchangeOutcome): void => {}
  const outcome = new Promise<ExchangeOutcome>((resolve) => { onOutcome = resolve })
  await harness.received(() => { connection.request(FRAME_KINDS.sync, 'x', onOutcome) })
  timers.advance(300)
  await harness.received(() => connection.keepAlive())
  timers.advance(PING_TIMEOUT_MS + 100)
  connection.keepAlive()
  t.is(harness.silent, 1)
  t.deepEqual(await outcome, { kind: 'broken', mayHaveArrived: true })
})

test('guards against a silent connection being found out only by the call that needs it', async (t) => {
  const harness = await Harness.start(t)
  const { timers, connection } = harness
  timers.advance(1_000)
  await harness.received(() => connection.check())
  t.deepEqual(harness.receivedKinds, [FRAME_KINDS.ping])
  timers.advance(PING_TIMEOUT_MS + 100)
  connection.keepAlive()
  t.is(harness.silent, 1)
})
