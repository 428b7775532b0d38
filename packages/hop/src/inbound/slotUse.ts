interface Used {
  slotMs: number
  at: number
}

/** Time after which what was used counts half. */
const HALF_LIFE_MS = 400

/** How many slots the requests of each urgency use, over the last moments. */
export class SlotUse {
  readonly #used = new Map<number, Used>()

  /** A request gave its slot back. */
  add (urgency: number, ms: number, now: number): void {
    this.#at(urgency, now).slotMs += ms
  }

  /** Slots used by requests that go before one of this urgency. */
  before (urgency: number, now: number): number {
    let slotMs = 0
    for (const other of this.#used.keys()) if (other < urgency) slotMs += this.#at(other, now).slotMs
    return slotMs * Math.LN2 / HALF_LIFE_MS
  }

  #at (urgency: number, now: number): Used {
    let used = this.#used.get(urgency)
    if (!used) this.#used.set(urgency, used = { slotMs: 0, at: now })
    used.slotMs *= 0.5 ** ((now - used.at) / HALF_LIFE_MS)
    used.at = now
    return used
  }
}
