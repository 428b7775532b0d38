import type { Timers } from '@lentilwheel/core'

const TICK_MS = 50
/** Delay of a tick from which on the event loop counts as behind. */
const LAG_MS = 20
/** Time for which it still does after a late tick, while what has arrived in between is being read. */
const RECOVERY_MS = 500

/**
 * Tells when the event loop is behind, as in a process that gets too little processor time. What was read then may be long
 * outdated: the cancellation or the end of a connection that followed may be waiting to be read as well.
 */
export class LoopLag {
  readonly #timers: Pick<Timers, 'now' | 'every'>
  #lastTickAt: number
  #behindUntil = -Infinity

  constructor (timers: Pick<Timers, 'now' | 'every'>) {
    this.#timers = timers
    this.#lastTickAt = timers.now()
    timers.every(TICK_MS, () => this.#onTick())
  }

  /** Calls `fn` at once; if the loop is behind, after everything that has arrived by now has been read. */
  whenRead (fn: () => void): void {
    if (this.isBehind) runAfterReading(fn)
    else fn()
  }

  get isBehind (): boolean {
    const now = this.#timers.now()
    return now < this.#behindUntil || now - this.#lastTickAt > TICK_MS + LAG_MS
  }

  #onTick (): void {
    const now = this.#timers.now()
    if (now - this.#lastTickAt > TICK_MS + LAG_MS) this.#behindUntil = now + RECOVERY_MS
    this.#lastTickAt = now
  }
}

/** Calls `fn` once the events of this turn of the event loop have been handled. */
export function runAfterTurn (fn: () => void): void {
  setImmediate(fn)
}

/** Calls `fn` after everything that has arrived by now has been read. */
export function runAfterReading (fn: () => void): void {
  // The first callback runs before the loop polls for input again, the second one after that.
  setImmediate(() => setImmediate(fn))
}
