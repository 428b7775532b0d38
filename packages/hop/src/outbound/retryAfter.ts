import type { Random } from '@lentilwheel/core'

/** A request that is refused without having run. */
export interface Refused {
  targetLatencyMs: number
  /** Milliseconds that the caller still waits; Infinity when it doesn't say. */
  leftMs: number
  /** Whether the caller has been refused before. */
  isAgain: boolean
}

interface Range {
  min: number
  max: number
}

/** Wait after a first refusal, as a part of the target latency: the answer can still come within it. */
const FIRST_WAIT: Range = { min: 1 / 6, max: 1 / 3 }
/** Wait after a later one, as a part of the time left, as callers wait no longer than a third of it. */
const LATER_WAIT: Range = { min: 0.15, max: 0.3 }
const MIN_WAIT_MS = 20

/** Milliseconds after which a refused caller should come back, spread so that callers don't come back together. */
export function retryAfterMs ({ targetLatencyMs, leftMs, isAgain }: Refused, random: Random): number {
  const [range, of] = isAgain && Number.isFinite(leftMs) ? [LATER_WAIT, leftMs] : [FIRST_WAIT, targetLatencyMs]
  return Math.max(MIN_WAIT_MS, of * (range.min + (range.max - range.min) * random.next()))
}

/** A caller that has this part of the usual time or more makes its first attempt. */
const FIRST_PART = 0.97
/** Part of the longest time seen that each request leaves, so that a route's callers may become less patient. */
const KEEP = 0.9999

/** Tells callers that come back from those that are new: they have less time left than callers of their route have at first. */
export class Patience {
  readonly #longest = new Map<string, number>()

  /** Takes in a request; true if its caller seems to have been here before. */
  isAgain (route: string, deadlineMs: number): boolean {
    if (!Number.isFinite(deadlineMs)) return false
    const longest = Math.max(deadlineMs, (this.#longest.get(route) ?? 0) * KEEP)
    this.#longest.set(route, longest)
    return deadlineMs < FIRST_PART * longest
  }

  retain (routes: ReadonlySet<string>): void {
    for (const name of this.#longest.keys()) if (!routes.has(name)) this.#longest.delete(name)
  }
}
