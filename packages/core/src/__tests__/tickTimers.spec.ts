import test from 'ava'
import { SeededRandom, TickTimers } from '../index.js'

/** Timers whose clock can be stopped, so that a pause of the process doesn't come between two timers that are set together. */
class StoppableTimers extends TickTimers {
  #stoppedAt: number | undefined

  stopClock (): void {
    this.#stoppedAt = super.now()
  }

  startClock (): void {
    this.#stoppedAt = undefined
  }

  override now (): number {
    return this.#stoppedAt ?? super.now()
  }
}

/** Waits for a timer of the timers under test. The tests check only the order of calls, never their times. */
async function waitFor (timers: TickTimers, ms: number): Promise<void> {
  await new Promise<void>((resolve) => { timers.after(ms, resolve) })
}

test('timers fire in order and not after they were cancelled', async (t) => {
  const timers = new StoppableTimers(new SeededRandom(1))
  const fired: string[] = []
  timers.stopClock()
  timers.after(60, () => fired.push('late'))
  timers.after(20, () => fired.push('early'))
  const cancel = timers.after(30, () => fired.push('cancelled'))
  timers.after(0, () => fired.push('now'))
  cancel()
  timers.startClock()
  await waitFor(timers, 100)
  t.deepEqual(fired, ['now', 'early', 'late'])
})

test('a timer cancelled by another one of the same tick does not fire', async (t) => {
  const timers = new TickTimers(new SeededRandom(1))
  const fired: string[] = []
  let cancelSecond = (): void => {}
  timers.after(5, () => {
    fired.push('first')
    cancelSecond()
  })
  cancelSecond = timers.after(5, () => fired.push('second'))
  await waitFor(timers, 40)
  t.deepEqual(fired, ['first'])
})

test('a periodic timer repeats until it is cancelled', async (t) => {
  const timers = new TickTimers(new SeededRandom(1))
  let runs = 0
  const stop = await new Promise<() => void>((resolve) => {
    const cancel = timers.every(20, () => { if (++runs === 3) resolve(cancel) }, { jitter: 0.2 })
  })
  stop()
  await waitFor(timers, 120)
  t.is(runs, 3)
})
