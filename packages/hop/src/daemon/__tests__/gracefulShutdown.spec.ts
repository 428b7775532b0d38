import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { GracefulShutdown } from '../gracefulShutdown.js'

const GRACE_MS = 6_000

/** Plays a stop with a steady stream of requests, each of which is in flight for `requestMs`; returns what happened when. */
async function stop (requestMs: number): Promise<string[]> {
  const timers = new VirtualTimers()
  const startedAt = timers.now()
  const events: string[] = []
  const record = (what: string): void => { events.push(`${what} at ${timers.now() - startedAt}`) }
  let isRefusing = false
  const server = {
    get lastRequestAt () { return timers.now() },
    startStopping: () => record('asks callers to leave'),
    refuseLaterThan: (endsAt: number) => record(`refuses what ends after ${endsAt - startedAt}`),
    startRefusing: () => {
      isRefusing = true
      record('refuses all')
    }
  }
  let refusedAt = Infinity
  const inFlight = (): number => {
    if (isRefusing && refusedAt === Infinity) refusedAt = timers.now()
    return timers.now() < refusedAt + requestMs ? 1 : 0
  }
  const { done } = new GracefulShutdown({ timers, graceMs: GRACE_MS, server, tellPeers: () => record('peers are told'), inFlight })
  done.then((outcome) => record(outcome))
  for (let elapsedMs = 0; elapsedMs < GRACE_MS; elapsedMs += 50) {
    timers.advance(50)
    await Promise.resolve()
    await Promise.resolve()
  }
  return events
}

test('guards against a planned stop taking requests that may outlast it', async (t) => {
  t.snapshot({ short: await stop(300), long: await stop(30_000) })
})
