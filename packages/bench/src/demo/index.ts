import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'yaml'
import { request } from 'undici'
import type { FakeTarget } from '@lentilwheel/testkit'
import { waitFor } from '../processes.js'
import { Callers, type CallCounts } from './callers.js'
import { kitaboshiConfig } from './kitaboshi.js'
import { DemoCluster } from './demoCluster.js'

/** Time from the start of the two moves to their deadline; the shortest ramp takes about 17 s. */
const MOVE_MS = 30_000
const HOLD = '4s'
const END_TIMEOUT_MS = 45_000
/** Share of the calls that the bad version of the orders service fails. */
const FAILED_SHARE = 0.3

/** A move in a daemon's `/status?scope=fleet` response. */
interface FleetMove {
  id: string
  outcome?: string
}

/** A check of the demo failed. */
class DemoError extends Error {}

function ensure (condition: boolean, message: string): void {
  if (!condition) throw new DemoError(message)
}

/** The Kitaboshi example configuration, with a move of showroom to a good version and of orders to a bad one. */
function configWithMoves (now: number): string {
  const by = new Date(now + MOVE_MS).toISOString()
  const input = kitaboshiConfig().toInput()
  return stringify({
    ...input,
    moves: {
      showroomV2: { service: 'showroom', from: 'v1', to: 'v2', by, hold: HOLD },
      ordersV2: { service: 'orders', from: 'v1', to: 'v2', by, hold: HOLD }
    }
  })
}

function failSomeOrders (target: FakeTarget): void {
  let count = 0
  target.responseStatus = () => ++count % 10 < FAILED_SHARE * 10 ? 500 : 200
}

async function startCluster (cluster: DemoCluster): Promise<void> {
  await cluster.start()
  for (const service of ['showroom', 'orders', 'workroom']) await cluster.startTargets(service, 'v1')
  await cluster.startTargets('showroom', 'v2')
  await cluster.startTargets('orders', 'v2', failSomeOrders)
  for (const service of ['showroom', 'orders']) await cluster.waitForTargets(service, 'v2')
}

/** Applies the configuration and makes one call through a daemon. */
async function applyAndCall (cluster: DemoCluster): Promise<void> {
  const file = join(cluster.group.dir, 'kitaboshi.yaml')
  writeFileSync(file, kitaboshiConfig().toYaml())
  ensure((await cluster.runCli('check', file)).code === 0, 'check rejected the configuration')
  ensure((await cluster.runCli('apply', file)).code === 0, 'apply failed for the configuration')
  const res = await request(`http://127.0.0.1:${cluster.daemons[0]!.ports.proxy}/catalogue/wigs`)
  console.log(`\ncall through d1: ${res.statusCode} ${await res.body.text()}`)
  ensure(res.statusCode === 200, 'the call was not answered')
  ensure((await cluster.runCli('explain', 'placeOrder')).code === 0, 'explain failed')
}

/** Applies a configuration with an error, which the CLI must reject. */
async function applyInvalidConfig (cluster: DemoCluster): Promise<void> {
  const file = join(cluster.group.dir, 'broken.yaml')
  writeFileSync(file, kitaboshiConfig().toYaml().replace('service: orders', 'service: order'))
  ensure((await cluster.runCli('apply', file)).code === 1, 'a configuration with a route to a missing service was accepted')
}

/** Runs both moves to their end under load; with `platformDown` the platform is stopped as soon as it has accepted them. */
async function runMoves (cluster: DemoCluster, platformDown: boolean): Promise<CallCounts> {
  const file = join(cluster.group.dir, 'moves.yaml')
  writeFileSync(file, configWithMoves(Date.now()))
  const callers = new Callers(cluster.daemons)
  callers.start()
  try {
    ensure((await cluster.runCli('apply', file)).code === 0, 'apply failed for the moves')
    if (platformDown) await stopPlatform(cluster)
    await waitFor('both moves to end', async () => {
      const rows = await readMoves(cluster)
      return rows.length === 2 && rows.every((row) => row.outcome !== undefined)
    }, END_TIMEOUT_MS)
  } finally {
    await callers.stop()
  }
  return callers.counts
}

async function stopPlatform (cluster: DemoCluster): Promise<void> {
  console.log('\nthe platform goes down')
  cluster.platform.mode = 'down'
  ensure((await cluster.runCli('moves')).code === 3, 'moves did not exit with the code for an unreachable platform')
  ensure((await cluster.runCli('status', ...viaDaemon(cluster))).code === 0, 'status failed against a daemon')
  ensure((await cluster.runCli('moves', ...viaDaemon(cluster))).code === 0, 'moves failed against a daemon')
}

/** Checks that a daemon reports the outcomes while the platform is down, and the platform after it is back. */
async function restorePlatform (cluster: DemoCluster): Promise<void> {
  checkOutcomes('a daemon', (await cluster.runCli('moves', ...viaDaemon(cluster), '--json')).stdout)
  console.log('\nthe platform comes back')
  cluster.platform.mode = 'up'
  let report = ''
  const platform = ['--platform', cluster.platformUrl]
  await waitFor('the platform to report both outcomes', async () => {
    report = (await cluster.group.runCli(['moves', '--json', ...platform])).stdout
    return (JSON.parse(report) as { moves: ReportedMove[] }).moves.every(({ state }) => state === 'done' || state === 'taken back')
  }, END_TIMEOUT_MS)
  checkOutcomes('the platform', report)
}

/** A move in the output of `lentilwheel moves --json`. */
interface ReportedMove {
  id: string
  state: string
}

function checkOutcomes (source: string, report: string): void {
  const { moves } = JSON.parse(report) as { moves: ReportedMove[] }
  const states = Object.fromEntries(moves.map(({ id, state }) => [id, state]))
  ensure(states['showroomV2'] === 'done', `${source} reports the good move as ${states['showroomV2']}`)
  ensure(states['ordersV2'] === 'taken back', `${source} reports the bad move as ${states['ordersV2']}`)
}

function viaDaemon (cluster: DemoCluster): string[] {
  return ['--daemon', `127.0.0.1:${cluster.daemons[0]!.ports.admin}`]
}

async function readMoves (cluster: DemoCluster): Promise<FleetMove[]> {
  const admin = `127.0.0.1:${cluster.daemons[0]!.ports.admin}`
  const res = await request(`http://${admin}/status?scope=fleet`)
  return (await res.body.json() as { moves: FleetMove[] }).moves
}

/** Number of requests that ran on the targets more than once. */
function countDuplicates (targets: readonly FakeTarget[]): number {
  const runs = new Map<string, number>()
  for (const target of targets) {
    for (const [id, n] of target.runs) runs.set(id, (runs.get(id) ?? 0) + n)
  }
  return [...runs.values()].filter((n) => n > 1).length
}

/** Runs the demo: a configuration, a rejected one, and a good and a bad move under load. */
async function runDemo (platformDown: boolean): Promise<void> {
  const cluster = new DemoCluster()
  try {
    await startCluster(cluster)
    await applyAndCall(cluster)
    await applyInvalidConfig(cluster)
    const counts = await runMoves(cluster, platformDown)
    if (platformDown) await restorePlatform(cluster)
    const outcomes = Object.fromEntries((await readMoves(cluster)).map((row) => [row.id, row.outcome]))
    await cluster.runCli('status')
    await cluster.runCli('moves')
    await cluster.runCli('timeline', ...viaDaemon(cluster), '--move', 'ordersV2')
    const duplicates = countDuplicates(cluster.targets)
    console.log(`\ncalls: ${JSON.stringify({ ...counts, duplicates })}`)
    ensure(outcomes['showroomV2'] === 'done', `the good move ended as ${outcomes['showroomV2']}`)
    ensure(outcomes['ordersV2'] === 'takenBack', `the bad move ended as ${outcomes['ordersV2']}`)
    ensure(duplicates === 0, `${duplicates} requests ran more than once`)
    ensure(counts.wrongAnswer + counts.broken === 0, 'some callers got a wrong or broken response')
  } finally {
    await cluster.stop()
  }
}

try {
  await runDemo(process.argv.includes('--platform-down'))
  console.log('demo: ok')
} catch (err) {
  console.error(`demo: failed: ${(err as Error).message}`)
  process.exitCode = 1
}
