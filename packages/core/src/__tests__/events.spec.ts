import test from 'ava'
import { compareEvents, EventLog, HybridClock } from '../events.js'
import { VirtualTimers } from '../virtualTimers.js'

/** Guards against events that are put in the wrong order because the host's clock was set back. */
test('timestamps do not decrease when the wall clock is set back', (t) => {
  const timers = new VirtualTimers(1_000)
  const clock = new HybridClock(timers)
  const first = clock.tick()
  timers.stepWall(-500)
  const second = clock.tick()
  timers.stepWall(1_000)
  t.deepEqual([first, second, clock.tick()], [
    { wallMs: 1_000, counter: 0 }, { wallMs: 1_000, counter: 1 }, { wallMs: 1_500, counter: 0 }
  ])
})

/** Guards against one host with a wrong clock that moves the timeline of the whole fleet into the future. */
test('a remote timestamp advances the clock unless it is far ahead', (t) => {
  const clock = new HybridClock(new VirtualTimers(1_000))
  clock.observe({ wallMs: 3_000, counter: 7 })
  t.deepEqual(clock.tick(), { wallMs: 3_000, counter: 8 })
  clock.observe({ wallMs: 60_000, counter: 0 })
  t.deepEqual(clock.tick(), { wallMs: 3_000, counter: 9 })
})

test('the log keeps the newest events and returns those after a sequence number', (t) => {
  const log = new EventLog({ daemon: 'd1', timers: new VirtualTimers(), capacity: 3 })
  for (let version = 1; version <= 5; version++) log.record('versionInForce', { version }, `change${version}`)
  t.deepEqual(log.since(0).map((event) => event.fields.version), [3, 4, 5])
  t.deepEqual(log.since(4).map((event) => event.id), ['d1#5'])
})

test('merging the events of several daemons gives the same order whatever the order of input', (t) => {
  const timers = new VirtualTimers()
  const logs = ['d1', 'd2'].map((daemon) => new EventLog({ daemon, timers }))
  for (let i = 0; i < 12; i++) logs[i % 2]!.record('daemonReady')
  const all = logs.flatMap((log) => log.since(0))
  const merged = all.toSorted(compareEvents).map((event) => event.id)
  t.deepEqual(all.toReversed().toSorted(compareEvents).map((event) => event.id), merged)
  t.snapshot(merged)
})
