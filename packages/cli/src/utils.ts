import type { Timers } from '@lentilwheel/core'

/** Resolves after a time of the timer service. */
export async function sleep (timers: Timers, ms: number): Promise<void> {
  await new Promise<void>((resolve) => timers.after(ms, resolve))
}
