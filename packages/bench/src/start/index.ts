import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readProcStats, summarize } from '../fleet/procStats.js'
import type { Bench } from '../options.js'
import { freePorts, sleep } from '../processes.js'

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url))
const STARTS = 7
/** Time after which a start is over and the daemon idles. */
const SETTLE_MS = 1_500
const NODE_OPTIONS = ['--max-old-space-size=200', '--max-semi-space-size=8']

/** Processor time and memory of a start of the bundled daemon, without peers and with the store away. */
export const run: Bench = async (_opts, say) => {
  const child = spawn(process.execPath, ['platform/build.js'], { cwd: ROOT, stdio: 'inherit' })
  if (await exitOf(child) !== 0) throw new Error('the daemon could not be bundled')
  const stats = []
  for (let i = 0; i < STARTS; i++) {
    stats.push(await startOnce())
    say(`start ${i + 1}: ${JSON.stringify(stats.at(-1))}`)
  }
  return {
    starts: STARTS,
    cpuMs: summarize(stats.map(({ cpuMs }) => cpuMs), 0),
    rssMb: summarize(stats.map(({ rssMb }) => rssMb), 1)
  }
}

async function startOnce (): Promise<{ cpuMs: number, rssMb: number }> {
  const dir = mkdtempSync(join(tmpdir(), 'lentilwheel-start-'))
  const file = join(dir, 'settings.json')
  writeFileSync(file, JSON.stringify(await settings()))
  const daemon = spawn(process.execPath, [...NODE_OPTIONS, 'target/lentilwheeld.cjs'], {
    cwd: ROOT, env: { ...process.env, LENTILWHEEL_SETTINGS: file }, stdio: ['ignore', 'ignore', 'inherit']
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

async function settings (): Promise<object> {
  const ip = '127.0.0.1'
  // Ports are handed out downwards, so the metrics port, one above that between daemons, is the one before it.
  const [outbound, ready, control, app, store, metrics, hop] = await freePorts(7)
  if (metrics !== hop! + 1) return await settings()
  return {
    node_name: 'bench-1',
    zone: 'bench',
    ip,
    listen: { outbound: `${ip}:${outbound}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
    internal_ports: [hop, hop! + 1],
    heartbeat_interval_ms: 1_500,
    app_address: `${ip}:${app}`,
    service: 'bench',
    bounds: { grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 56 },
    platform: { address: `${ip}:${store}` }
  }
}

async function exitOf (child: ChildProcess): Promise<number | null> {
  return await new Promise((resolve) => child.once('exit', resolve))
}
