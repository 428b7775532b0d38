import type { Cancel, Timers, VirtualTimers } from '@lentilwheel/core'

/** Timers of one process on a host, which can be paused and killed and whose wall clock may be wrong. */
export class FakeHost implements Timers {
  readonly timers: VirtualTimers
  wallOffsetMs = 0
  #state: 'running' | 'paused' | 'dead' = 'running'
  #deferred: (() => void)[] = []

  constructor (timers: VirtualTimers) {
    this.timers = timers
  }

  get isDead (): boolean {
    return this.#state === 'dead'
  }

  kill (): void {
    this.#state = 'dead'
    this.#deferred = []
  }

  /** Like SIGSTOP: callbacks wait until `resume`, while time passes. */
  pause (): void {
    this.#state = 'paused'
  }

  resume (): void {
    this.#state = 'running'
    for (const fn of this.#deferred.splice(0)) fn()
  }

  /** Runs a callback now if the process runs, on `resume` if it is paused, and never if it is dead. */
  run (fn: () => void): void {
    if (this.#state === 'running') fn()
    if (this.#state === 'paused') this.#deferred.push(fn)
  }

  now (): number {
    return this.timers.now()
  }

  wallNow (): number {
    return this.timers.wallNow() + this.wallOffsetMs
  }

  after (ms: number, fn: () => void): Cancel {
    let isCancelled = false
    const cancel = this.timers.after(ms, () => this.run(() => { if (!isCancelled) fn() }))
    return () => {
      isCancelled = true
      cancel()
    }
  }

  every (ms: number, fn: () => void): Cancel {
    let cancel: Cancel = () => {}
    const schedule = (): void => {
      cancel = this.after(ms, () => {
        schedule()
        fn()
      })
    }
    schedule()
    return () => cancel()
  }
}
