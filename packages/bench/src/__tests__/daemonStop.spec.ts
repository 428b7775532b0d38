import { PassThrough } from 'node:stream'
import test from 'ava'
import { Agent, request } from 'undici'
import { FakeTarget } from '@lentilwheel/testkit'
import { waitFor } from '../processes.js'
import { FleetHarness, TIMEOUT_MS } from './fleetHarness.js'

const CALLERS = 20
const TARGET_DELAY_MS = 20

const harness = new FleetHarness({ drainSeconds: 300 })
test.before(async () => await harness.start())
test.after.always(async () => await harness.stop())

async function startTarget (daemon: number): Promise<FakeTarget> {
  const { ports } = harness.fleet.daemons[daemon]!
  const target = new FakeTarget({
    service: 'service0', version: 'v1', slots: 1_000, daemonUrl: `http://127.0.0.1:${ports.target}`
  })
  target.delayMs = () => TARGET_DELAY_MS
  await target.start()
  return target
}

async function readyTargets (daemon: number): Promise<number> {
  const { targets } = await harness.fleet.status(daemon)
  return targets.reduce((sum, { ready }) => sum + ready, 0)
}

type Outcome = 'answered' | 'notRun' | 'notConnected' | 'broken'

/** Sends non-idempotent calls until the daemon rejects one or refuses the connection. */
async function callUntilClosed (caller: number, url: string, outcomes: Map<string, Outcome>): Promise<void> {
  const agent = new Agent({ connections: 1 })
  for (let i = 0; ; i++) {
    const id = `c${caller}-${i}`
    const outcome = await callOnce(agent, url, id)
    outcomes.set(id, outcome)
    if (outcome !== 'answered') break
  }
  await agent.close()
}

async function callOnce (dispatcher: Agent, url: string, id: string): Promise<Outcome> {
  try {
    const res = await request(url, { dispatcher, method: 'POST', headers: { 'x-request-id': id }, body: 'order' })
    const text = await res.body.text()
    if (res.headers['x-lentilwheel-not-run'] === '1') return 'notRun'
    return res.statusCode === 200 && (JSON.parse(text) as { id: string }).id === id ? 'answered' : 'broken'
  } catch (err) {
    // No call was sent if the connection was not established.
    return (err as NodeJS.ErrnoException).syscall === 'connect' ? 'notConnected' : 'broken'
  }
}

/** Guards against a graceful stop that breaks calls off or runs them twice, also when SIGTERM comes a second time. */
test.serial('SIGTERM under load breaks off no call, and the targets of the daemon leave first', async (t) => {
  t.is((await harness.apply()).code, 0)
  const targets = [await startTarget(0), await startTarget(1)]
  t.teardown(async () => { await Promise.all(targets.map(async (target) => await target.kill())) })
  await waitFor('both targets on every daemon', async () =>
    (await Promise.all(harness.fleet.daemons.map(async (_, i) => await readyTargets(i)))).every((n) => n === 2), TIMEOUT_MS)
  const { ports, process } = harness.fleet.daemons[0]!
  const url = `http://127.0.0.1:${ports.proxy}/service0/0/x`
  const exited = new Promise<number | null>((resolve) => process.once('exit', resolve))

  const body = new PassThrough()
  const openCall = request(url, { method: 'POST', headers: { 'x-request-id': 'held' }, body })
  body.write('first half')
  const outcomes = new Map<string, Outcome>()
  const callers = Array.from({ length: CALLERS }, async (_, i) => await callUntilClosed(i, url, outcomes))
  await waitFor('calls to be answered', async () => outcomes.size > 10 * CALLERS, TIMEOUT_MS)

  process.kill('SIGTERM')
  await waitFor('its target to leave', async () => await readyTargets(1) === 1, TIMEOUT_MS)
  t.is(process.exitCode, null, 'the daemon waits for the open call')
  await Promise.all(callers)
  process.kill('SIGTERM')
  body.end('second half')
  const response = await openCall
  t.is(response.statusCode, 200)
  t.is((await response.body.json() as { id: string }).id, 'held')
  t.is(await exited, 0)

  const runs = (id: string): number => targets.reduce((sum, target) => sum + (target.runs.get(id) ?? 0), 0)
  t.is(runs('held'), 1)
  for (const [id, outcome] of outcomes) {
    t.not(outcome, 'broken', id)
    t.is(runs(id), outcome === 'answered' ? 1 : 0, `${id} ${outcome}`)
  }
})
