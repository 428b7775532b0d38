import type { Cancel, Timers } from './timers.js'

interface TimerEntry {
  at: number
  order: number
  fn: () => void
}

/**
 * Timers for tests and simulations, whose clock moves only by `advance`. Timers due at the same time fire in the order in
 * which they were set.
 */
export class VirtualTimers implements Timers {
  #now = 0
  #order = 0
  #wallOffset: number
  #entries: TimerEntry[] = []

  constructor (wallStartMs = 1_700_000_000_000) {
    this.#wallOffset = wallStartMs
  }

  now (): number {
    return this.#now
  }

  wallNow (): number {
    return this.#wallOffset + this.#now
  }

  /** Sets the wall clock forward or back without moving the monotonic clock. */
  stepWall (ms: number): void {
    this.#wallOffset += ms
  }

  after (ms: number, fn: () => void): Cancel {
    const entry = { at: this.#now + Math.max(0, ms), order: this.#order++, fn }
    this.#insert(entry)
    return () => {
      const index = this.#entries.indexOf(entry)
      if (index >= 0) this.#entries.splice(index, 1)
    }
  }

  every (ms: number, fn: () => void): Cancel {
    let cancel: Cancel
    const schedule = (): void => {
      cancel = this.after(ms, () => {
        schedule()
        fn()
      })
    }
    schedule()
    return () => cancel()
  }

  /** Moves the clock forward and fires the timers that become due. */
  advance (ms: number): void {
    const until = this.#now + ms
    for (let next = this.#entries[0]; next && next.at <= until; next = this.#entries[0]) {
      this.#entries.shift()
      this.#now = Math.max(this.#now, next.at)
      next.fn()
    }
    this.#now = until
  }

  /** Moves the clock forward without firing timers, as for a process that is suspended; they fire with the next `advance`. */
  suspend (ms: number): void {
    this.#now += ms
  }

  /** Like `advance`, but in steps, with promise callbacks run after each of them. */
  async advanceAsync (ms: number, stepMs = 10): Promise<void> {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= stepMs) {
      this.advance(Math.min(stepMs, remainingMs))
      await drainMicrotasks()
    }
  }

  #insert (entry: TimerEntry): void {
    let index = this.#entries.length
    while (index > 0 && this.#entries[index - 1]!.at > entry.at) index--
    this.#entries.splice(index, 0, entry)
  }
}

/** Number of chained promise callbacks that can run after each step. */
const MICROTASK_ROUNDS = 20

async function drainMicrotasks (): Promise<void> {
  for (let i = 0; i < MICROTASK_ROUNDS; i++) await Promise.resolve()
}
