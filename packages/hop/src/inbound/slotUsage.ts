interface Usage {
  slotMs: number
  updatedAt: number
}

/** Time after which past usage counts half. */
const HALF_LIFE_MS = 400

/** Average number of slots that requests of each urgency recently held; past usage decays exponentially. */
export class SlotUsage {
  readonly #usage = new Map<number, Usage>()

  /** Counts a request that held a slot for `ms`. */
  add (urgency: number, ms: number, now: number): void {
    this.#decayed(urgency, now).slotMs += ms
  }

  /** Slots held by requests that are more urgent than `urgency`. */
  slotsOfMoreUrgent (urgency: number, now: number): number {
    let slotMs = 0
    for (const other of this.#usage.keys()) if (other < urgency) slotMs += this.#decayed(other, now).slotMs
    return slotMs * Math.LN2 / HALF_LIFE_MS
  }

  #decayed (urgency: number, now: number): Usage {
    let usage = this.#usage.get(urgency)
    if (!usage) this.#usage.set(urgency, usage = { slotMs: 0, updatedAt: now })
    usage.slotMs *= 0.5 ** ((now - usage.updatedAt) / HALF_LIFE_MS)
    usage.updatedAt = now
    return usage
  }
}
