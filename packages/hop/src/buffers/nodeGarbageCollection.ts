import v8 from 'node:v8'
import vm from 'node:vm'

let cachedCollect: (() => void) | undefined

/**
 * Collects garbage if the process has more memory resident than a limit. The garbage collector knows nothing of the memory of the
 * host, and lets up to 64 MiB of unused buffers gather, more while processor time is short.
 */
export function collectAbove (residentBytes: number): void {
  if (ownResidentBytes() <= residentBytes) return
  cachedCollect ??= exposedCollect()
  cachedCollect()
}

/** 0 where a confined process can't read it; the garbage collector then runs as usual. */
function ownResidentBytes (): number {
  try {
    return process.memoryUsage.rss()
  } catch {
    return 0
  }
}

/** The function exists only in contexts that are created while the flag is set. */
function exposedCollect (): () => void {
  v8.setFlagsFromString('--expose-gc')
  const collect = vm.runInNewContext('gc') as () => void
  v8.setFlagsFromString('--no-expose-gc')
  return collect
}
