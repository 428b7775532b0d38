import type { Random, Timers } from '@lentilwheel/core'
import { storeBackoffMs, type StoreBackoff } from './storeBackoff.js'

export interface RetryOptions {
  timers: Pick<Timers, 'after'>
  random: Random
  /** Whether to give up. */
  isStopped (): boolean
  onFailure (err: unknown): void
}

const BACKOFF: StoreBackoff = { minMs: 200, maxMs: 2_000 }

/** Repeats a step with exponential backoff and jitter until it succeeds; for calls to a store that may be unavailable. */
export async function retryUntilDone (step: () => Promise<void>, { timers, random, isStopped, onFailure }: RetryOptions): Promise<void> {
  for (let failures = 0; !isStopped(); failures++) {
    try {
      return await step()
    } catch (err) {
      onFailure(err)
      await new Promise<void>((resolve) => { timers.after(storeBackoffMs(failures, BACKOFF, random), resolve) })
    }
  }
}
