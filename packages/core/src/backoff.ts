import type { Random } from './random.js'

/** Delay before attempt `attempt` (from 0): exponential, capped, with full jitter above half of the step. */
export function backoffMs (attempt: number, opts: { baseMs: number, capMs: number }, random: Random): number {
  const step = Math.min(opts.capMs, opts.baseMs * 2 ** Math.min(attempt, 30))
  return step / 2 + random.next() * step / 2
}
