import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { NoopCallLog } from '../../observe/callLog.js'
import { closeConnections } from '../connectionClose.js'

const EXIT_AT = 4_000
const STEP_MS = 50

/** When a daemon exits whose callers and peers close their connections at the given times. */
async function exitTime ({ callersAt = 0, peersAt = 0, unsentUntil = 0 }: { callersAt?: number, peersAt?: number, unsentUntil?: number }): Promise<number> {
  const timers = new VirtualTimers()
  const startedAt = timers.now()
  const at = async (ms: number): Promise<void> => await new Promise((resolve) => { timers.after(Math.max(0, startedAt + ms - timers.now()), resolve) })
  const closedAt: number[] = []
  const closing = closeConnections({
    timers,
    log: new NoopCallLog(),
    exitAt: startedAt + EXIT_AT,
    callers: { connections: 0, close: () => {}, whenClosed: async () => await at(callersAt) },
    peers: { size: 0, get unsentBytes () { return timers.now() - startedAt < unsentUntil ? 1 : 0 }, whenEmpty: async () => await at(peersAt) },
    closePeers: () => {}
  }).then(() => closedAt.push(timers.now() - startedAt))
  while (closedAt.length === 0) {
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(STEP_MS)
  }
  await closing
  return closedAt[0]!
}

test('guards against a stopping daemon exiting while callers or peers still read, and against one that cannot be reached holding up its exit', async (t) => {
  t.snapshot([
    ['all close at once', await exitTime({})],
    ['a caller closes late', await exitTime({ callersAt: 2_000 })],
    ['a caller never closes', await exitTime({ callersAt: Infinity })],
    ['a peer closes late', await exitTime({ peersAt: 300 })],
    ['a peer never closes', await exitTime({ peersAt: Infinity })],
    ['a peer takes its replies late', await exitTime({ peersAt: 2_000, unsentUntil: 2_000 })],
    ['a peer never takes its replies', await exitTime({ peersAt: Infinity, unsentUntil: Infinity })]
  ])
})
