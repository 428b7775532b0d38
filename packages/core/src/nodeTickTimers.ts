import { NodeTimers } from './nodeTimers.js'
import type { Random } from './random.js'
import type { Cancel, EveryOptions } from './timers.js'

/** One-shot timers fire up to this much late, so that those due at about the same time share one wake-up. */
const TICK_MS = 10
/** Periodic timers with at least this period are rounded to multiples of COARSE_TICK_MS, to share wake-ups too. */
const COARSE_PERIOD_MS = 50
const COARSE_TICK_MS = 50

interface TimerEntry {
  fn: () => void
  tick: number
  isCancelled: boolean
}

/**
 * Timers for a process with many short timeouts, most of which are cancelled. Due times are rounded to ticks and a single
 * Node.js timer waits for the next tick. A cancelled timer costs no wake-up, and periodic timers share theirs.
 */
export class TickTimers extends NodeTimers {
  readonly #random: Random
  readonly #entriesByTick = new Map<number, Set<TimerEntry>>()
  #timeout: NodeJS.Timeout | undefined
  #nextTick = Infinity

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
    const ticksPerStep = ms >= COARSE_PERIOD_MS ? COARSE_TICK_MS / TICK_MS : 1
    let entry: TimerEntry
    const schedule = (): void => {
      const dueAt = this.now() + ms * (1 + jitter * (2 * this.#random.next() - 1))
      const tick = Math.max(1, Math.round(dueAt / (TICK_MS * ticksPerStep))) * ticksPerStep
      entry = this.#add(Math.max(tick, Math.floor(this.now() / TICK_MS) + 1), () => {
        schedule()
        fn()
      })
    }
    schedule()
    return () => this.#remove(entry)
  }

  #add (tick: number, fn: () => void): TimerEntry {
    const entry: TimerEntry = { fn, tick, isCancelled: false }
    const entries = this.#entriesByTick.get(tick)
    if (entries) entries.add(entry)
    else this.#entriesByTick.set(tick, new Set([entry]))
    if (tick < this.#nextTick) this.#schedule(tick)
    return entry
  }

  #remove (entry: TimerEntry): void {
    entry.isCancelled = true
    const entries = this.#entriesByTick.get(entry.tick)
    if (entries?.delete(entry) && entries.size === 0) this.#entriesByTick.delete(entry.tick)
  }

  #schedule (tick: number): void {
    clearTimeout(this.#timeout)
    this.#nextTick = tick
    this.#timeout = setTimeout(() => this.#runDue(), Math.max(1, Math.ceil(tick * TICK_MS - this.now())))
  }

  #runDue (): void {
    this.#nextTick = Infinity
    const currentTick = Math.floor(this.now() / TICK_MS)
    const dueTicks = [...this.#entriesByTick.keys()].filter((tick) => tick <= currentTick).sort((a, b) => a - b)
    for (const tick of dueTicks) this.#runTick(tick)
    let next = Infinity
    for (const tick of this.#entriesByTick.keys()) if (tick < next) next = tick
    if (next < this.#nextTick) this.#schedule(next)
  }

  #runTick (tick: number): void {
    const entries = this.#entriesByTick.get(tick)
    this.#entriesByTick.delete(tick)
    for (const entry of entries ?? []) if (!entry.isCancelled) entry.fn()
  }
}
