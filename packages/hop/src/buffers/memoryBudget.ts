import { BufferBudget } from './bufferBudget.js'
import { collectAbove } from './nodeGarbageCollection.js'

const BYTES_PER_MIB = 1024 * 1024
/** Memory of a host whose settings state none; a little more than the smallest hosts have. */
export const DEFAULT_MEMORY_BYTES = 256 * BYTES_PER_MIB
/** Memory of a process that holds nothing, and of buffers that wait for the garbage collector, which starts after 64 MiB of them. */
const RESERVED_BYTES = 150 * BYTES_PER_MIB
/** Part of the rest that may be held; copies on the way between buffers and what fragmentation wastes aren't counted. */
const HELD_SHARE = 0.5
/** Share of the memory from which on unused buffers are collected early. */
const COLLECT_SHARE = 0.6
/** Bytes that come in between two looks at the memory. */
const CHURN_BYTES = 8 * BYTES_PER_MIB
const MIN_BUDGET_BYTES = 16 * BYTES_PER_MIB
/** Share of the budget that others must hold before a holder is evicted. */
const MIN_OTHERS_SHARE = 0.25

/** Creates the budget for all bytes that a process with this much memory holds for callers, targets and other daemons. `now`: monotonic milliseconds. */
export function createMemoryBudget (memoryBytes: number, now?: () => number): BufferBudget {
  const limitBytes = Math.max(MIN_BUDGET_BYTES, (memoryBytes - RESERVED_BYTES) * HELD_SHARE)
  const churn = { bytes: CHURN_BYTES, onReached: () => collectAbove(memoryBytes * COLLECT_SHARE) }
  return new BufferBudget(Math.floor(limitBytes), MIN_OTHERS_SHARE, churn, now)
}
