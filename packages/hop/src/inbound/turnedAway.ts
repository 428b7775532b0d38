/** How far requests of one priority are turned away. */
export interface Pressure {
  priority: number
  /** Part of the requests that are turned away, 0 to 1. */
  share: number
}

interface Count {
  asked: number
  away: number
  at: number
}

/** Time after which a request counts half. */
const HALF_LIFE_MS = 500
/** Requests that must have been counted before their share says anything. */
const MIN_ASKED = 3
/** A smaller share is taken as the fate of single requests. */
const MIN_SHARE = 0.03

/** Shares of the requests of each priority that one target turned away lately. */
export class TurnedAway {
  readonly #counts = new Map<number, Count>()

  asked (priority: number, now: number): void {
    this.#at(priority, now).asked++
  }

  /** Counts a request that was asked for before as turned away. */
  away (priority: number, now: number): void {
    this.#at(priority, now).away++
  }

  clear (): void {
    this.#counts.clear()
  }

  /** The most urgent priority that is turned away; undefined when none is. */
  worst (now: number): Pressure | undefined {
    let worst: Pressure | undefined
    for (const priority of this.#counts.keys()) {
      if (worst && priority > worst.priority) continue
      const { asked, away } = this.#at(priority, now)
      const share = Math.min(1, away / asked)
      if (asked >= MIN_ASKED && share >= MIN_SHARE) worst = { priority, share }
    }
    return worst
  }

  #at (priority: number, now: number): Count {
    let count = this.#counts.get(priority)
    if (!count) this.#counts.set(priority, count = { asked: 0, away: 0, at: now })
    const keep = 0.5 ** ((now - count.at) / HALF_LIFE_MS)
    count.asked *= keep
    count.away *= keep
    count.at = now
    return count
  }
}
