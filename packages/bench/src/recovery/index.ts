import { NodeTimers, NoopMetrics, SeededRandom } from '@lentilwheel/core'
import { HttpPlatformClient } from '@lentilwheel/platform'
import { FakePlatformServer, FakeTarget } from '@lentilwheel/testkit'
import { applyConfig, fleetConfig } from '../fleet/changes.js'
import { DaemonFleet } from '../fleet/daemonFleet.js'
import type { Bench, ReportProgress } from '../options.js'
import { LoadGenerator } from './loadGenerator.js'
import { createChangeApplier, FAULTS, SERVICE_COUNT, type Fault, type FaultContext } from './faults.js'
import { RateSampler } from './rateSampler.js'

const DEFAULT_DAEMONS = 60
/** Fleet size that the peaks are extrapolated to. */
const DESIGN_FLEET_SIZE = 3_000
const RECOVERY_TIMEOUT_MS = 60_000
/** Pause before each fault and after its recovery. */
const SETTLE_MS = 5_000
const TARGET_COUNT = 4

interface FaultRow {
  fault: string
  inForceAgainMs: number
  callsSent: number
  callsFailed: number
  peakPlatformReadsPerSec: number
  peakPlatformWritesPerSec: number
  /** The peaks scaled to 3,000 daemons, as if they grew in proportion to the size of the fleet. */
  peakPlatformReadsAt3000: number
  peakPlatformWritesAt3000: number
  peakBytesPerDaemonPerSec: number
  reverts: number
}

/** Recovery bench: injects each fault into a fleet under load and measures how long it takes until all daemons are ready again. */
export const run: Bench = async (opts, report) => {
  const daemons = opts.daemons ?? DEFAULT_DAEMONS
  const platform = new FakePlatformServer()
  const url = await platform.listen()
  const random = new SeededRandom(opts.seed)
  const client = new HttpPlatformClient({
    url, timers: new NodeTimers(random), metrics: new NoopMetrics(), timeoutMs: 10_000
  })
  const fleet = new DaemonFleet(url)
  const targets: FakeTarget[] = []
  try {
    await applyConfig(client, fleetConfig(SERVICE_COUNT), 'base')
    report(`starting ${daemons} daemons`)
    await fleet.start(daemons)
    await fleet.waitForVersion(1, RECOVERY_TIMEOUT_MS)
    targets.push(...await startTargets(fleet))
    const ctx = { fleet, platform, client, applyChange: createChangeApplier(client) }
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

async function startTargets (fleet: DaemonFleet): Promise<FakeTarget[]> {
  const targets: FakeTarget[] = []
  for (let i = 0; i < TARGET_COUNT; i++) {
    const daemonUrl = `http://127.0.0.1:${fleet.daemons[i]!.ports.target}`
    const target = new FakeTarget({ service: 'service0', version: 'v1', daemonUrl, name: `t${i}` })
    await target.start()
    targets.push(target)
  }
  return targets
}

async function measureFault (ctx: FaultContext, fault: Fault, random: SeededRandom, report: ReportProgress): Promise<FaultRow> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
  report(fault.name)
  const before = await readDaemonRuns(ctx.fleet)
  const load = new LoadGenerator(ctx.fleet, random)
  const sampler = new RateSampler(ctx.fleet, ctx.platform)
  load.start()
  sampler.start()
  const { version } = await fault.inject(ctx)
  const startedAt = Date.now()
  await ctx.fleet.waitForVersion(version, RECOVERY_TIMEOUT_MS)
  const inForceAgainMs = Date.now() - startedAt
  ctx.platform.mode = 'up'
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
  sampler.stop()
  await load.stop()
  const scale = DESIGN_FLEET_SIZE / ctx.fleet.daemons.length
  return {
    fault: fault.name,
    inForceAgainMs,
    callsSent: load.sent,
    callsFailed: load.failed,
    peakPlatformReadsPerSec: sampler.peakReadsPerSec,
    peakPlatformWritesPerSec: sampler.peakWritesPerSec,
    peakPlatformReadsAt3000: Math.ceil(sampler.peakReadsPerSec * scale),
    peakPlatformWritesAt3000: Math.ceil(sampler.peakWritesPerSec * scale),
    peakBytesPerDaemonPerSec: sampler.peakBytesPerDaemonPerSec,
    reverts: await countReverts(ctx.fleet, before)
  }
}

/** The version that a daemon has applied, and the process that runs it. */
interface DaemonRun {
  version: number
  pid: number | undefined
}

async function readDaemonRuns (fleet: DaemonFleet): Promise<DaemonRun[]> {
  const statuses = await fleet.statuses()
  return statuses.map((status, i) => ({ version: status?.version ?? 0, pid: fleet.daemons[i]!.process.pid }))
}

/** Counts the daemons that went back to a lower version during the fault or the recovery, also over a restart. */
async function countReverts (fleet: DaemonFleet, before: readonly DaemonRun[]): Promise<number> {
  let reverts = 0
  for (let i = 0; i < fleet.daemons.length; i++) {
    const versions = (await fleet.events(i))
      .filter((event) => event.type === 'versionInForce')
      .map((event) => event.fields.version ?? 0)
    const isRestarted = fleet.daemons[i]!.process.pid !== before[i]!.pid
    const appliedVersions = isRestarted ? [before[i]!.version, ...versions] : versions
    if (appliedVersions.some((version, k) => k > 0 && version < appliedVersions[k - 1]!)) reverts++
  }
  return reverts
}
