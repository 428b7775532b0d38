import type { Random } from '@lentilwheel/core'

/** Caller's wait after a refusal: this, and up to as much again at random, so that callers don't come back together. */
const RETRY_AFTER_MS = 200

/** Milliseconds after which a refused caller should come back. */
export function retryAfterMs (random: Random): number {
  return RETRY_AFTER_MS * (1 + random.next())
}
