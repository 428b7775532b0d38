import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { stringify } from 'yaml'
import { request } from 'undici'
import type { TargetServer } from '@lentilwheel/testkit'
import { waitFor } from '../processes.js'
import { Callers, type CallCounts } from './callers.js'
import { kitaboshiConfig } from './kitaboshi.js'
import { DemoCluster } from './site.js'

/** Time that the two moves get; the shortest ramp takes about 17 s. */
const MOVE_MS = 30_000
const HOLD = '4s'
const END_TIMEOUT_MS = 45_000
/** Share of orders that the bad version fails. */
const FAILED_SHARE = 0.3

interface FleetMove {
  id: string
  outcome?: string
}

class DemoError extends Error {}

function ensure (holds: boolean, what: string): void {
  if (!holds) throw new DemoError(what)
}

/** The shipped configuration, with a good move of the showroom and a bad one of the orders service. */
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

function failSomeOrders (target: TargetServer): void {
  let count = 0
  target.answerStatus = () => ++count % 10 < FAILED_SHARE * 10 ? 500 : 200
}

async function startCluster (site: DemoCluster): Promise<void> {
  await site.start()
  for (const service of ['showroom', 'orders', 'workroom']) await site.startTargets(service, 'v1')
  await site.startTargets('showroom', 'v2')
  await site.startTargets('orders', 'v2', failSomeOrders)
  for (const service of ['showroom', 'orders']) await site.waitForTargets(service, 'v2')
}

/** Applies the configuration and makes one call by it. */
async function applyAndCall (site: DemoCluster): Promise<void> {
  const file = join(site.group.dir, 'kitaboshi.yaml')
  writeFileSync(file, kitaboshiConfig().toYaml())
  ensure((await site.runCli('check', file)).code === 0, 'check refused the configuration')
  ensure((await site.runCli('apply', file)).code === 0, 'apply did not bring the configuration into force')
  const res = await request(`http://127.0.0.1:${site.daemons[0]!.ports.proxy}/catalogue/wigs`)
  console.log(`\ncall through d1: ${res.statusCode} ${await res.body.text()}`)
  ensure(res.statusCode === 200, 'the call was not answered')
  ensure((await site.runCli('explain', 'placeOrder')).code === 0, 'explain failed')
}

async function applyInvalidConfig (site: DemoCluster): Promise<void> {
  const file = join(site.group.dir, 'broken.yaml')
  writeFileSync(file, kitaboshiConfig().toYaml().replace('service: orders', 'service: order'))
  ensure((await site.runCli('apply', file)).code === 1, 'a configuration with a route to a missing service was accepted')
}

/** Runs both moves to their end under load, on request with the platform down from their acceptance on. */
async function runMoves (site: DemoCluster, platformDown: boolean): Promise<CallCounts> {
  const file = join(site.group.dir, 'moves.yaml')
  writeFileSync(file, configWithMoves(Date.now()))
  const callers = new Callers(site.daemons)
  callers.start()
  try {
    ensure((await site.runCli('apply', file)).code === 0, 'apply did not bring the moves into force')
    if (platformDown) await stopPlatform(site)
    await waitFor('both moves to end', async () => {
      const rows = await readMoves(site)
      return rows.length === 2 && rows.every((row) => row.outcome !== undefined)
    }, END_TIMEOUT_MS)
  } finally {
    await callers.stop()
  }
  return callers.counts
}

async function stopPlatform (site: DemoCluster): Promise<void> {
  console.log('\nthe platform goes down')
  site.platform.mode = 'down'
  ensure((await site.runCli('moves')).code === 3, 'moves did not say that the platform is down')
  ensure((await site.runCli('status', ...viaDaemon(site))).code === 0, 'status cannot be read from a daemon')
  ensure((await site.runCli('moves', ...viaDaemon(site))).code === 0, 'moves cannot be read from a daemon')
}

/** With the platform still down a daemon must report the ends, and the platform must once it is back. */
async function restorePlatform (site: DemoCluster): Promise<void> {
  checkOutcomes('a daemon', (await site.runCli('moves', ...viaDaemon(site), '--json')).stdout)
  console.log('\nthe platform comes back')
  site.platform.mode = 'up'
  let told = ''
  const platform = ['--platform', site.platformUrl]
  await waitFor('the platform to have both ends', async () => {
    told = (await site.group.runCli(['moves', '--json', ...platform])).stdout
    return (JSON.parse(told) as { moves: ReportedMove[] }).moves.every(({ state }) => state === 'done' || state === 'taken back')
  }, END_TIMEOUT_MS)
  checkOutcomes('the platform', told)
}

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

function viaDaemon (site: DemoCluster): string[] {
  return ['--daemon', `127.0.0.1:${site.daemons[0]!.ports.admin}`]
}

async function readMoves (site: DemoCluster): Promise<FleetMove[]> {
  const admin = `127.0.0.1:${site.daemons[0]!.ports.admin}`
  const res = await request(`http://${admin}/status?scope=fleet`)
  return (await res.body.json() as { moves: FleetMove[] }).moves
}

/** Runs of non-idempotent requests beyond the first. */
function countDuplicates (targets: readonly TargetServer[]): number {
  const runs = new Map<string, number>()
  for (const target of targets) {
    for (const [id, n] of target.runs) runs.set(id, (runs.get(id) ?? 0) + n)
  }
  return [...runs.values()].filter((n) => n > 1).length
}

async function runDemo (platformDown: boolean): Promise<void> {
  const site = new DemoCluster()
  try {
    await startCluster(site)
    await applyAndCall(site)
    await applyInvalidConfig(site)
    const counts = await runMoves(site, platformDown)
    if (platformDown) await restorePlatform(site)
    const outcomes = Object.fromEntries((await readMoves(site)).map((row) => [row.id, row.outcome]))
    await site.runCli('status')
    await site.runCli('moves')
    await site.runCli('timeline', ...viaDaemon(site), '--move', 'ordersV2')
    const duplicates = countDuplicates(site.targets)
    console.log(`\ncalls: ${JSON.stringify({ ...counts, duplicates })}`)
    ensure(outcomes['showroomV2'] === 'done', `the good move ended as ${outcomes['showroomV2']}`)
    ensure(outcomes['ordersV2'] === 'takenBack', `the bad move ended as ${outcomes['ordersV2']}`)
    ensure(duplicates === 0, `${duplicates} requests ran more than once`)
    ensure(counts.wrongAnswer + counts.broken === 0, 'some callers got a wrong or broken answer')
  } finally {
    await site.stop()
  }
}

try {
  await runDemo(process.argv.includes('--platform-down'))
  console.log('demo: ok')
} catch (err) {
  console.error(`demo: failed: ${(err as Error).message}`)
  process.exitCode = 1
}
