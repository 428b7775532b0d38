import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { LoopLag } from '../nodeLoopLag.js'

/** Timers whose clock goes on while none of them is served, as in a process that gets no processor time. */
class StalledTimers extends VirtualTimers {
  stalledMs = 0

  override now (): number {
    return super.now() + this.stalledMs
  }
}

test('guards against an event loop that is behind not being noticed, before and after its next tick', (t) => {
  const timers = new StalledTimers()
  const lag = new LoopLag(timers)
  timers.advance(1_000)
  t.false(lag.isBehind)
  timers.stalledMs = 100
  t.true(lag.isBehind)
  timers.advance(100)
  t.true(lag.isBehind)
  timers.advance(600)
  t.false(lag.isBehind)
})
