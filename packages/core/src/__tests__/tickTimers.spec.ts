import test from 'ava'
import { SeededRandom, TickTimers } from '../index.js'

/** Waits until the event loop has run the given timers; the order is what is checked, never the time. */
async function after (timers: TickTimers, ms: number): Promise<void> {
  await new Promise<void>((resolve) => { timers.after(ms, resolve) })
}

test('guards against timers firing out of order or after they were cancelled', async (t) => {
  const timers = new TickTimers(new SeededRandom(1))
  const fired: string[] = []
  timers.after(60, () => fired.push('late'))
  timers.after(20, () => fired.push('early'))
  const cancelled = timers.after(30, () => fired.push('cancelled'))
  timers.after(0, () => fired.push('now'))
  cancelled()
  await after(timers, 100)
  t.deepEqual(fired, ['now', 'early', 'late'])
})

test('guards against a timer that is cancelled by another one of the same tick', async (t) => {
  const timers = new TickTimers(new SeededRandom(1))
  const fired: string[] = []
  let second = (): void => {}
  timers.after(5, () => {
    fired.push('first')
    second()
  })
  second = timers.after(5, () => fired.push('second'))
  await after(timers, 40)
  t.deepEqual(fired, ['first'])
})

test('guards against periodic work stopping, or going on after it was cancelled', async (t) => {
  const timers = new TickTimers(new SeededRandom(1))
  let runs = 0
  const stop = await new Promise<() => void>((resolve) => {
    const cancel = timers.every(20, () => { if (++runs === 3) resolve(cancel) }, { jitter: 0.2 })
  })
  stop()
  await after(timers, 120)
  t.is(runs, 3)
})
