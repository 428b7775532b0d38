import { NodeTimers } from './nodeTimers.js'
import type { Random } from './random.js'
import type { Cancel, EveryOptions } from './timers.js'

/** Timers fire up to this much late, so that those due about the same time share one wake-up of the process. */
const TICK_MS = 10
/** Periodic work that comes this often or less keeps to a coarser grid, and shares its wake-ups too. */
const COARSE_PERIOD_MS = 50
const COARSE_TICK_MS = 50

interface Entry {
  fn: () => void
  tick: number
  cancelled: boolean
}

/**
 * Timers of a process with many short waits, most of which are cancelled: a cancelled timer costs no wake-up, and the
 * periodic work of all parts runs on one grid.
 */
export class TickTimers extends NodeTimers {
  readonly #random: Random
  readonly #ticks = new Map<number, Set<Entry>>()
  #armed: NodeJS.Timeout | undefined
  #armedTick = Infinity

  constructor (random: Random) {
    super(random)
    this.#random = random
  }

  override after (ms: number, fn: () => void): Cancel {
    const entry = this.#add(Math.ceil((this.now() + Math.max(0, ms)) / TICK_MS), fn)
    return () => this.#remove(entry)
  }

  override every (ms: number, fn: () => void, opts: EveryOptions = {}): Cancel {
    const jitter = opts.jitter ?? 0
    const grid = ms >= COARSE_PERIOD_MS ? COARSE_TICK_MS / TICK_MS : 1
    let entry: Entry
    const schedule = (): void => {
      const due = this.now() + ms * (1 + jitter * (2 * this.#random.next() - 1))
      const tick = Math.max(1, Math.round(due / (TICK_MS * grid))) * grid
      entry = this.#add(Math.max(tick, Math.floor(this.now() / TICK_MS) + 1), () => {
        schedule()
        fn()
      })
    }
    schedule()
    return () => this.#remove(entry)
  }

  #add (tick: number, fn: () => void): Entry {
    const entry: Entry = { fn, tick, cancelled: false }
    const held = this.#ticks.get(tick)
    if (held) held.add(entry)
    else this.#ticks.set(tick, new Set([entry]))
    if (tick < this.#armedTick) this.#arm(tick)
    return entry
  }

  #remove (entry: Entry): void {
    entry.cancelled = true
    const held = this.#ticks.get(entry.tick)
    if (held?.delete(entry) && held.size === 0) this.#ticks.delete(entry.tick)
  }

  #arm (tick: number): void {
    clearTimeout(this.#armed)
    this.#armedTick = tick
    this.#armed = setTimeout(() => this.#fire(), Math.max(1, Math.ceil(tick * TICK_MS - this.now())))
  }

  #fire (): void {
    this.#armedTick = Infinity
    const now = Math.floor(this.now() / TICK_MS)
    const due = [...this.#ticks.keys()].filter((tick) => tick <= now).sort((a, b) => a - b)
    for (const tick of due) this.#run(tick)
    let next = Infinity
    for (const tick of this.#ticks.keys()) if (tick < next) next = tick
    if (next < this.#armedTick) this.#arm(next)
  }

  #run (tick: number): void {
    const entries = this.#ticks.get(tick)
    this.#ticks.delete(tick)
    for (const entry of entries ?? []) if (!entry.cancelled) entry.fn()
  }
}
