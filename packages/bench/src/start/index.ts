import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { exampleSettings } from '@lentilwheel/machines'
import { readProcStats, medianAndMax } from '../fleet/procStats.js'
import type { Bench } from '../options.js'
import { findFreePorts, sleep } from '../processes.js'

const ROOT_DIR = fileURLToPath(new URL('../../../../', import.meta.url))
const START_COUNT = 7
/** Time after the spawn at which a daemon has started and is idle. */
const SETTLE_MS = 1_500
/** The heap limits that the deployment starts daemons with (`deploy/system.toml`). */
const NODE_OPTIONS = ['--max-old-space-size=200', '--max-semi-space-size=8']

/**
 * Start bench: bundles the daemon and measures the CPU time and memory of its start, without peers and with the
 * store unavailable.
 */
export const run: Bench = async (_opts, report) => {
  const child = spawn(process.execPath, ['platform/build.js'], { cwd: ROOT_DIR, stdio: 'inherit' })
  if (await exitOf(child) !== 0) throw new Error('the daemon could not be bundled')
  const stats = []
  for (let i = 0; i < START_COUNT; i++) {
    stats.push(await startOnce())
    report(`start ${i + 1}: ${JSON.stringify(stats.at(-1))}`)
  }
  return {
    starts: START_COUNT,
    cpuMs: medianAndMax(stats.map(({ cpuMs }) => cpuMs), 0),
    rssMb: medianAndMax(stats.map(({ rssMb }) => rssMb), 1)
  }
}

async function startOnce (): Promise<{ cpuMs: number, rssMb: number }> {
  const dir = mkdtempSync(join(tmpdir(), 'lentilwheel-start-'))
  const file = join(dir, 'settings.json')
  writeFileSync(file, JSON.stringify(await daemonSettings()))
  const daemon = spawn(process.execPath, [...NODE_OPTIONS, 'target/lentilwheeld.cjs'], {
    cwd: ROOT_DIR, env: { ...process.env, LENTILWHEEL_SETTINGS: file }, stdio: ['ignore', 'ignore', 'inherit']
  })
  try {
    await sleep(SETTLE_MS)
    return readProcStats(daemon.pid!)
  } finally {
    daemon.kill('SIGKILL')
    await exitOf(daemon)
    rmSync(dir, { recursive: true })
  }
}

async function daemonSettings (): Promise<object> {
  const ip = '127.0.0.1'
  // The daemon uses the port above the internal one for metrics. Ports are returned in descending order, so the
  // internal port is directly below the metrics port unless a port between them was in use; then new ports are tried.
  const [outbound, ready, control, target, store, metrics, internal] = await findFreePorts(7) as [number, number, number, number, number, number, number]
  if (metrics !== internal + 1) return await daemonSettings()
  const ports = { outbound, ready, control, target, internal }
  return exampleSettings({ host: 'bench-1', dataCentre: 'dc', ip, ports, store: `${ip}:${store}`, service: 'bench', graceS: 6, heartbeatMs: 1_500 })
}

async function exitOf (child: ChildProcess): Promise<number | null> {
  return await new Promise((resolve) => child.once('exit', resolve))
}
