import type { Random } from './random.js'

/**
 * Delay before a retry: capped exponential backoff with equal jitter, which is one fixed half of the delay and one
 * random half. `attempt` counts from 0.
 */
export function backoffMs (attempt: number, opts: { baseMs: number, capMs: number }, random: Random): number {
  const maxDelay = Math.min(opts.capMs, opts.baseMs * 2 ** Math.min(attempt, 30))
  return maxDelay / 2 + random.next() * maxDelay / 2
}
