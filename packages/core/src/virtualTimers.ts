import type { Cancel, Timers } from './timers.js'

interface Entry {
  at: number
  order: number
  fn: () => void
}

/** Timers whose clock moves only when told to; entries due at the same time fire in order of subscription. */
export class VirtualTimers implements Timers {
  #now = 0
  #order = 0
  #wallOffset: number
  #entries: Entry[] = []

  constructor (wallStart = 1_700_000_000_000) {
    this.#wallOffset = wallStart
  }

  now (): number {
    return this.#now
  }

  wallNow (): number {
    return this.#wallOffset + this.#now
  }

  /** Steps the wall clock without moving monotonic time. */
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

  /** Moves the clock forward and fires what falls due on the way. */
  advance (ms: number): void {
    const until = this.#now + ms
    for (let next = this.#entries[0]; next && next.at <= until; next = this.#entries[0]) {
      this.#entries.shift()
      this.#now = next.at
      next.fn()
    }
    this.#now = until
  }

  /** Like advance, but lets promise callbacks run between steps. */
  async advanceAsync (ms: number, stepMs = 10): Promise<void> {
    for (let left = ms; left > 0; left -= stepMs) {
      this.advance(Math.min(stepMs, left))
      await drainMicrotasks()
    }
  }

  #insert (entry: Entry): void {
    let index = this.#entries.length
    while (index > 0 && this.#entries[index - 1]!.at > entry.at) index--
    this.#entries.splice(index, 0, entry)
  }
}

const MICROTASK_ROUNDS = 20

async function drainMicrotasks (): Promise<void> {
  for (let i = 0; i < MICROTASK_ROUNDS; i++) await Promise.resolve()
}
