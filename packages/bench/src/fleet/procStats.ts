import { readFileSync } from 'node:fs'

/** CPU time and resident memory of a process. */
export interface ProcStats {
  cpuMs: number
  rssMb: number
}

/** Unit of the CPU times in `/proc/PID/stat`; Linux reports 100 ticks a second to user space on every machine. */
const CLOCK_TICKS_PER_SECOND = 100
const PAGE_BYTES = 4096

/** Reads the figures of a running process from Linux's `/proc`. */
export function readProcStats (pid: number): ProcStats {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
  return { cpuMs: ticks * 1000 / CLOCK_TICKS_PER_SECOND, rssMb: pages * PAGE_BYTES / 1024 ** 2 }
}

/** Median and maximum, rounded to the given decimals. */
export function medianAndMax (values: readonly number[], decimals = 2): { p50: number, max: number } {
  const sorted = values.toSorted((a, b) => a - b)
  return { p50: round(quantile(sorted, 0.5), decimals), max: round(sorted.at(-1) ?? 0, decimals) }
}

/** Quantile of values in ascending order, by the nearest-rank method; 0 without values. */
export function quantile (sorted: readonly number[], q: number): number {
  return sorted[Math.max(0, Math.ceil(q * sorted.length) - 1)] ?? 0
}

export function round (value: number, decimals = 2): number {
  return Number(value.toFixed(decimals))
}
