const MICROSECONDS_PER_MS = 1_000

/** Processor time that this process has used since its start, in milliseconds. */
export function processorMs (): number {
  const { user, system } = process.cpuUsage()
  return Math.round((user + system) / MICROSECONDS_PER_MS)
}
