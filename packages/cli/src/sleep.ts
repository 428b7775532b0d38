import type { Timers } from '@lentilwheel/core'

/** Resolves after a delay on the given timers, which may be virtual. */
export async function sleep (timers: Timers, ms: number): Promise<void> {
  await new Promise<void>((resolve) => timers.after(ms, resolve))
}
