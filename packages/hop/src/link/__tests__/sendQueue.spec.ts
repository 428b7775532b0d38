import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { SendQueue, type Transfer } from '../sendQueue.js'
import { CONTROL_URGENCY } from '../urgency.js'

const BYTES_PER_MS = 1_000

/** Records in `log` when it was sent to its end. */
class TestTransfer implements Transfer {
  isConnectionBlocked = false
  readonly #onEnd: () => void

  constructor (readonly urgency: number, public remaining: number, onEnd: () => void) {
    this.#onEnd = onEnd
  }

  isBlocked (): boolean {
    return this.isConnectionBlocked
  }

  write (maxBytes: number): number {
    const bytes = Math.min(this.remaining, maxBytes)
    this.remaining -= bytes
    if (this.remaining === 0) this.#onEnd()
    return bytes
  }
}

function setUp () {
  const timers = new VirtualTimers()
  const queue = new SendQueue({ timers, bytesPerMs: BYTES_PER_MS })
  const sentAt: Record<string, number> = {}
  const submit = (name: string, urgency: number, bytes: number): { transfer: TestTransfer, drop: () => void } => {
    const transfer = new TestTransfer(urgency, bytes, () => { sentAt[name] = Math.round(timers.now()) })
    return { transfer, drop: queue.submit(transfer) }
  }
  return { timers, queue, sentAt, submit }
}

test('guards against a small urgent message waiting for the large ones before it, and against more being given out than the link carries', (t) => {
  const { timers, sentAt, submit } = setUp()
  for (const name of ['large 1', 'large 2', 'large 3']) submit(name, 2, 100_000)
  timers.advance(100)
  submit('small, as urgent as the large ones', 2, 2_000)
  submit('ping', CONTROL_URGENCY, 20)
  timers.advance(1_000)
  t.snapshot(sentAt)
})

test('guards against a less urgent message being starved by a stream of urgent ones', (t) => {
  const { timers, sentAt, submit } = setUp()
  submit('first', 1, 40_000)
  submit('less urgent', 2, 50_000)
  const stop = timers.every(5, () => submit('urgent', 1, 6_000))
  timers.advance(2_000)
  stop()
  t.true(sentAt['less urgent']! < 1_000, `${sentAt['less urgent']}`)
})

test('guards against a connection that takes nothing holding up the others, and against bytes for a caller who has left', (t) => {
  const { timers, queue, sentAt, submit } = setUp()
  submit('first', 1, 100_000)
  const blocked = submit('blocked', 1, 10_000)
  const left = submit('caller left', 1, 100_000)
  submit('last', 1, 10_000)
  blocked.transfer.isConnectionBlocked = true
  left.drop()
  timers.advance(200)
  t.deepEqual(Object.keys(sentAt), ['first', 'last'])
  blocked.transfer.isConnectionBlocked = false
  queue.resume()
  timers.advance(50)
  t.deepEqual(Object.keys(sentAt), ['first', 'last', 'blocked'])
  t.is(queue.waiting, 0)
})

test('guards against a transfer that fails stopping all others', (t) => {
  const { timers, queue, sentAt, submit } = setUp()
  submit('first', 1, 60_000)
  queue.submit({ urgency: 1, remaining: 100, isBlocked: () => false, write: () => { throw new Error('not writable') } })
  submit('last', 1, 10_000)
  t.throws(() => timers.advance(200), { message: 'not writable' })
  timers.advance(200)
  t.deepEqual(Object.keys(sentAt), ['first', 'last'])
})
