import { NodeTimers, NoopMetrics, SeededRandom } from '@lentilwheel/core'
import { HttpPlatformClient } from '@lentilwheel/platform'
import { FakePlatformServer, FakeTarget } from '@lentilwheel/testkit'
import { applyConfig, fleetConfig, type AcceptedChange } from '../fleet/changes.js'
import { DaemonFleet, sumCounter, type Counters } from '../fleet/daemonFleet.js'
import { readVersionHistory } from '../fleet/versionHistory.js'
import { quantile, round, medianAndMax } from '../fleet/procStats.js'
import type { Bench, BenchOptions, BenchResult, ReportProgress } from '../options.js'
import { sleep, waitFor } from '../processes.js'

const DEFAULT_DAEMONS = 60
const DEFAULT_SECONDS = 40
/** Number of services of a fleet of the design size. */
const SERVICE_COUNT = 150
const IDLE_SECONDS = 20
const CHANGE_INTERVAL_MS = 500
const APPLY_TIMEOUT_MS = 17_000
/** Pause after the start, until membership and start-up work no longer affect the idle figures. */
const SETTLE_MS = 10_000
const TARGET_CHANGE_COUNT = 5

/** Counters and resource use of all daemons at one time. */
interface Sample {
  at: number
  counters: (Counters | undefined)[]
  cpuMs: number[]
  reads: number
  writes: number
}

/** Convergence bench: measures how fast a fleet of daemon processes applies accepted changes, and at what cost. */
export const run: Bench = async (opts, report) => {
  const platform = new FakePlatformServer()
  const url = await platform.listen()
  const timers = new NodeTimers(new SeededRandom(opts.seed))
  const client = new HttpPlatformClient({ url, timers, metrics: new NoopMetrics() })
  const fleet = new DaemonFleet(url)
  try {
    return await measure(opts, report, { platform, client, fleet })
  } finally {
    await fleet.stop()
    await client.close()
    await platform.close()
  }
}

/** The running parts of the bench. */
interface BenchContext {
  platform: FakePlatformServer
  client: HttpPlatformClient
  fleet: DaemonFleet
}

async function measure (opts: BenchOptions, report: ReportProgress, ctx: BenchContext): Promise<BenchResult> {
  const { fleet, client } = ctx
  const daemons = opts.daemons ?? DEFAULT_DAEMONS
  const seconds = opts.seconds ?? DEFAULT_SECONDS
  await applyConfig(client, fleetConfig(SERVICE_COUNT), 'base')
  report(`starting ${daemons} daemons`)
  await fleet.start(daemons)
  await fleet.waitForVersion(1, APPLY_TIMEOUT_MS * 2)
  await sleep(SETTLE_MS)

  report(`idle for ${IDLE_SECONDS} s`)
  const idleStart = await takeSample(ctx)
  await sleep(IDLE_SECONDS * 1000)
  const idleEnd = await takeSample(ctx)
  const idle = resourceUse(idleStart, idleEnd)

  report(`changes for ${seconds} s`)
  const changes = await applyChanges(ctx, seconds)
  const busyEnd = await takeSample(ctx)
  const busy = resourceUse(idleEnd, busyEnd)

  const targetLeaveDelays = await measureTargetChanges(ctx, report)
  const history = await readVersionHistory(fleet, changes)
  const delays = history.delaysMs.toSorted((a, b) => a - b)
  const backgroundBytes = idle.totalBytesPerSec * busy.seconds
  const encodedBytes = changes.reduce((sum, change) => sum + change.encodedBytes, 0)
  return {
    settings: { daemons, seconds, services: SERVICE_COUNT, seed: opts.seed },
    daemons,
    changes: changes.length,
    p50Ms: quantile(delays, 0.5),
    p99Ms: quantile(delays, 0.99),
    maxMs: delays.at(-1) ?? 0,
    controlBytesPerDaemonPerSec: medianAndMax(idle.bytesPerSec, 0),
    bytesPerChangePerDaemon: round((busy.totalBytes - backgroundBytes) / changes.length / daemons, 0),
    encodedBytesPerChange: round(encodedBytes / changes.length, 0),
    cpuPercentPerDaemon: medianAndMax(idle.cpuPercent),
    cpuPercentPerDaemonUnderChange: medianAndMax(busy.cpuPercent),
    rssMb: medianAndMax(fleet.procStats().map((stats) => stats.rssMb), 1),
    platformReadsPerSec: round(idle.readsPerSec),
    platformWritesPerSec: round(idle.writesPerSec),
    platformReadsPerSecUnderChange: round(busy.readsPerSec),
    platformWritesPerSecUnderChange: round(busy.writesPerSec),
    idleBytesByMessage: bytesByMessage(idleStart, idleEnd, daemons),
    busyBytesByMessage: bytesByMessage(idleEnd, busyEnd, daemons),
    targetLeaveKnownMs: targetLeaveDelays,
    missing: history.missing,
    reverts: history.reverts,
    partialApplies: history.partialApplies
  }
}

/** Publishes changes half a second apart, and after every tenth waits until all daemons have applied it. */
async function applyChanges ({ client, fleet }: BenchContext, seconds: number): Promise<AcceptedChange[]> {
  const changes: AcceptedChange[] = []
  const revisions = new Map<number, number>()
  const until = Date.now() + seconds * 1000
  for (let i = 0; Date.now() < until; i++) {
    const service = (i * 7) % SERVICE_COUNT
    revisions.set(service, (revisions.get(service) ?? 0) + 1)
    const change = await applyConfig(client, fleetConfig(SERVICE_COUNT, revisions), `change-${i}`)
    changes.push(change)
    await sleep(CHANGE_INTERVAL_MS)
    if (i % 10 === 9) await fleet.waitForVersion(change.version, APPLY_TIMEOUT_MS)
  }
  await fleet.waitForVersion(changes.at(-1)!.version, APPLY_TIMEOUT_MS)
  return changes
}

/** Starts and stops targets, and measures the time from the stop until no daemon lists the target any more. */
async function measureTargetChanges ({ fleet }: BenchContext, report: ReportProgress): Promise<{ p50: number, max: number }> {
  report('targets that announce themselves and leave')
  const delays: number[] = []
  const hasTargets = (count: number) => async (): Promise<boolean> =>
    (await fleet.statuses()).every((status) => status?.targets.reduce((sum, { ready }) => sum + ready, 0) === count)
  for (let i = 0; i < TARGET_CHANGE_COUNT; i++) {
    const daemon = fleet.daemons[(i * 5) % fleet.daemons.length]!
    const target = new FakeTarget({
      service: 'service0', version: 'v1', daemonUrl: `http://127.0.0.1:${daemon.ports.target}`
    })
    await target.start()
    await waitFor('the target to be known everywhere', hasTargets(1), APPLY_TIMEOUT_MS)
    const startedAt = Date.now()
    await target.stop()
    await waitFor('the target to be gone everywhere', hasTargets(0), APPLY_TIMEOUT_MS)
    delays.push(Date.now() - startedAt)
  }
  return medianAndMax(delays, 0)
}

async function takeSample ({ fleet, platform }: BenchContext): Promise<Sample> {
  return {
    at: Date.now(),
    counters: await fleet.counters(),
    cpuMs: fleet.procStats().map((stats) => stats.cpuMs),
    reads: platform.counts.reads,
    writes: platform.counts.writes
  }
}

/** Traffic and CPU use between two samples: totals, per second and per daemon. */
function resourceUse (from: Sample, to: Sample) {
  const seconds = (to.at - from.at) / 1000
  const bytes = to.counters.map((counters, i) =>
    sumCounter(counters, 'mesh.bytes_sent') - sumCounter(from.counters[i], 'mesh.bytes_sent'))
  const totalBytes = bytes.reduce((sum, n) => sum + n, 0)
  return {
    seconds,
    totalBytes,
    totalBytesPerSec: totalBytes / seconds,
    bytesPerSec: bytes.map((n) => n / seconds),
    cpuPercent: to.cpuMs.map((ms, i) => (ms - from.cpuMs[i]!) / seconds / 10),
    readsPerSec: (to.reads - from.reads) / seconds,
    writesPerSec: (to.writes - from.writes) / seconds
  }
}

/** Average bytes that a daemon sent per second, by mesh message type. */
function bytesByMessage (from: Sample, to: Sample, daemons: number): Record<string, number> {
  const seconds = (to.at - from.at) / 1000
  const sums: Record<string, number> = {}
  to.counters.forEach((counters, i) => {
    for (const [key, n] of Object.entries(counters ?? {})) {
      const message = /^mesh\.bytes_sent\{message=([^,}]+)/.exec(key)?.[1]
      if (message === undefined) continue
      sums[message] = (sums[message] ?? 0) + n - (from.counters[i]?.[key] ?? 0)
    }
  })
  return Object.fromEntries(Object.entries(sums).map(([message, n]) => [message, round(n / seconds / daemons, 1)]))
}
