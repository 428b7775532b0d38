import { NodeTimers, NoMetrics, SeededRandom } from '@lentilwheel/core'
import { HttpPlatformClient } from '@lentilwheel/platform'
import { PlatformServer, TargetServer } from '@lentilwheel/testkit'
import { applyConfig, fleetConfig } from '../fleet/changes.js'
import { Fleet } from '../fleet/fleet.js'
import type { Bench, Report } from '../options.js'
import { CallLoad } from './callLoad.js'
import { changeMaker, FAULTS, SERVICE_COUNT, type Fault, type FaultContext } from './faults.js'
import { RateProbe } from './rateProbe.js'

const DEFAULT_DAEMONS = 60
const FLEET_SIZE = 3_000
const RECOVERY_LIMIT_MS = 60_000
const SETTLE_MS = 5_000
const TARGET_COUNT = 4

interface FaultRow {
  fault: string
  inForceAgainMs: number
  callsSent: number
  callsFailed: number
  peakPlatformReadsPerSec: number
  peakPlatformWritesPerSec: number
  /** Peaks at 3,000 daemons if they grew in proportion to the fleet. */
  peakPlatformReadsAt3000: number
  peakPlatformWritesAt3000: number
  peakBytesPerDaemonPerSec: number
  reverts: number
}

/** Measures how long the fleet takes to hold the accepted version again after each fault. */
export const run: Bench = async (opts, report) => {
  const daemons = opts.daemons ?? DEFAULT_DAEMONS
  const platform = new PlatformServer()
  const url = await platform.listen()
  const random = new SeededRandom(opts.seed)
  const client = new HttpPlatformClient({
    url, timers: new NodeTimers(random), metrics: new NoMetrics(), timeoutMs: 10_000
  })
  const fleet = new Fleet(url)
  const targets: TargetServer[] = []
  try {
    await applyConfig(client, fleetConfig(SERVICE_COUNT), 'base')
    report(`starting ${daemons} daemons`)
    await fleet.start(daemons)
    await fleet.waitInForce(1, RECOVERY_LIMIT_MS)
    targets.push(...await startTargets(fleet))
    const ctx = { fleet, platform, client, change: changeMaker(client) }
    const rows: FaultRow[] = []
    for (const fault of FAULTS) rows.push(await measureFault(ctx, fault, random, report))
    return { settings: { daemons, services: SERVICE_COUNT, seed: opts.seed }, rows }
  } finally {
    await Promise.all(targets.map(async (target) => await target.stop().catch(() => {})))
    await fleet.stop()
    await client.close()
    await platform.close()
  }
}

async function startTargets (fleet: Fleet): Promise<TargetServer[]> {
  const targets: TargetServer[] = []
  for (let i = 0; i < TARGET_COUNT; i++) {
    const daemonUrl = `http://127.0.0.1:${fleet.daemons[i]!.ports.target}`
    const target = new TargetServer({ service: 'service0', version: 'v1', daemonUrl, name: `t${i}` })
    await target.start()
    targets.push(target)
  }
  return targets
}

async function measureFault (ctx: FaultContext, fault: Fault, random: SeededRandom, report: Report): Promise<FaultRow> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
  report(fault.name)
  const before = await heldVersions(ctx.fleet)
  const load = new CallLoad(ctx.fleet, random)
  const probe = new RateProbe(ctx.fleet, ctx.platform)
  load.start()
  probe.start()
  const { version } = await fault.inflict(ctx)
  const startedAt = Date.now()
  await ctx.fleet.waitInForce(version, RECOVERY_LIMIT_MS)
  const inForceAgainMs = Date.now() - startedAt
  ctx.platform.mode = 'up'
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
  probe.stop()
  await load.stop()
  const scale = FLEET_SIZE / ctx.fleet.daemons.length
  return {
    fault: fault.name,
    inForceAgainMs,
    callsSent: load.sent,
    callsFailed: load.failed,
    peakPlatformReadsPerSec: probe.peakReadsPerSec,
    peakPlatformWritesPerSec: probe.peakWritesPerSec,
    peakPlatformReadsAt3000: Math.ceil(probe.peakReadsPerSec * scale),
    peakPlatformWritesAt3000: Math.ceil(probe.peakWritesPerSec * scale),
    peakBytesPerDaemonPerSec: probe.peakBytesPerDaemonPerSec,
    reverts: await countReverts(ctx.fleet, before)
  }
}

interface Held {
  version: number
  pid: number | undefined
}

async function heldVersions (fleet: Fleet): Promise<Held[]> {
  const statuses = await fleet.statuses()
  return statuses.map((status, i) => ({ version: status?.version ?? 0, pid: fleet.daemons[i]!.process.pid }))
}

/** Counts daemons that held, after the fault, a version lower than one they had held before; restarts included. */
async function countReverts (fleet: Fleet, before: readonly Held[]): Promise<number> {
  let reverts = 0
  for (let i = 0; i < fleet.daemons.length; i++) {
    const versions = (await fleet.events(i))
      .filter((event) => event.type === 'versionInForce')
      .map((event) => event.fields.version ?? 0)
    const restarted = fleet.daemons[i]!.process.pid !== before[i]!.pid
    const history = restarted ? [before[i]!.version, ...versions] : versions
    if (history.some((version, k) => k > 0 && version < history[k - 1]!)) reverts++
  }
  return reverts
}
