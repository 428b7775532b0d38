import type { Random } from '@lentilwheel/core'

export interface StoreBackoff {
  minMs: number
  maxMs: number
}

/**
 * Delay before a call to the store is repeated, in milliseconds: exponential up to `maxMs`, times 0.5 to 1.5, so that daemons which lost
 * the store together don't come back together. `failures` counts from 0.
 */
export function storeBackoffMs (failures: number, { minMs, maxMs }: StoreBackoff, random: Random): number {
  return Math.min(maxMs, minMs * 2 ** failures) * (0.5 + random.next())
}
