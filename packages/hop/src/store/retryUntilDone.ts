import type { Random, Timers } from '@lentilwheel/core'

export interface RetryOptions {
  timers: Pick<Timers, 'after'>
  random: Random
  /** Whether to give up. */
  isStopped (): boolean
  onFailure (err: unknown): void
}

const MIN_RETRY_MS = 200
const MAX_RETRY_MS = 2_000

/** Repeats a step with exponential backoff and jitter until it succeeds; for calls to a store that may be unavailable. */
export async function retryUntilDone (step: () => Promise<void>, { timers, random, isStopped, onFailure }: RetryOptions): Promise<void> {
  for (let failures = 0; !isStopped(); failures++) {
    try {
      return await step()
    } catch (err) {
      onFailure(err)
      const backoffMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** Math.min(failures, 6)) * (0.5 + random.next())
      await new Promise<void>((resolve) => { timers.after(backoffMs, resolve) })
    }
  }
}
