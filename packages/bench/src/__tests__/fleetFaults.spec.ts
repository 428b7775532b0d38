import test from 'ava'
import { request } from 'undici'
import { applyChange, canonicalJson, hashText, makeObject } from '@lentilwheel/config'
import {
  bundleKey, decodeHead, decodeLease, encodeHead, HEAD_KEY, LEASE_PREFIX, readHead
} from '@lentilwheel/platform'
import { sumCounter } from '../fleet/daemonFleet.js'
import { findFreePorts, waitFor } from '../processes.js'
import { FleetHarness, TIMEOUT_MS } from './fleetHarness.js'

const harness = new FleetHarness()
test.before(async () => await harness.start())
test.after.always(async () => await harness.stop())

const allIndexes = (): number[] => harness.fleet.daemons.map((_, i) => i)

test.serial('an apply while the platform is down fails and changes nothing', async (t) => {
  t.is((await harness.apply()).code, 0)
  await harness.waitForVersion(1)
  harness.platform.mode = 'down'
  const { code, stderr } = await harness.apply()
  harness.platform.mode = 'up'
  t.is(code, 3)
  t.regex(stderr, /platform/)
  t.is((await readHead(harness.client)).head.version, 1)
  const after = await harness.apply()
  t.is(after.code, 0)
  t.regex(after.stdout, /Version 2 is in force on all 8 daemons/)
  await harness.waitForVersion(2)
  await harness.checkHistory(t)
})

test.serial('an apply whose response is lost is accepted once and reported as accepted', async (t) => {
  harness.platform.loseNextResponse.add(HEAD_KEY)
  const { code, stdout } = await harness.apply('--change-id', 'lost-answer')
  t.is(code, 0)
  t.regex(stdout, /Accepted as version 3 \(change lost-answer\)/)
  t.false(harness.platform.loseNextResponse.has(HEAD_KEY), 'the response was lost')
  const { head } = await readHead(harness.client)
  t.deepEqual(head.changes.filter(({ id }) => id === 'lost-answer').map(({ version }) => version), [3])
  await harness.waitForVersion(3)
  await harness.checkHistory(t)
})

/** Ids of the daemons that hold the leases of a data centre; empty for a lease without a holder. */
function leaseHolders (dataCentre: string): string[] {
  return harness.platform.store.list(`${LEASE_PREFIX}${dataCentre}/`).map(([key, { value, revision }]) =>
    decodeLease({ key, value, revision })?.holder ?? '')
}

test.serial('a relay paused until its lease expires steps down, catches up and writes nothing stale', async (t) => {
  await waitFor('dc1 to have two relays', async () => leaseHolders('dc1').filter((id) => id !== '').length === 2, TIMEOUT_MS)
  const paused = allIndexes().find((i) => harness.fleet.daemons[i]!.id === leaseHolders('dc1')[0])!
  const { id, process } = harness.fleet.daemons[paused]!
  const others = allIndexes().filter((i) => i !== paused)
  process.kill('SIGSTOP')
  t.is((await harness.apply('--no-wait')).code, 0)
  await harness.waitForVersion(4, others)
  await waitFor('another daemon to take the lease', async () => !leaseHolders('dc1').includes(id), TIMEOUT_MS)
  await harness.apply('--no-wait')
  await harness.waitForVersion(5, others)
  const written: Record<string, number[]> = {}
  const stopListening = harness.platform.store.listen((key, { value }) => {
    const content = key === HEAD_KEY ? decodeHead(value) : JSON.parse(new TextDecoder().decode(value)) as { token: number }
    const writes = written[key] ??= []
    writes.push('version' in content ? content.version : content.token)
  })
  process.kill('SIGCONT')
  await waitFor('the paused relay to step down', async () =>
    (await harness.fleet.events(paused)).some(({ type }) => type === 'leaseLost'), TIMEOUT_MS)
  await harness.waitForVersion(5)
  t.false(leaseHolders('dc1').includes(id))
  const report = await harness.apply()
  t.is(report.code, 0)
  t.regex(report.stdout, /in force on all 8 daemons/)
  stopListening()
  for (const [key, writes] of Object.entries(written)) {
    t.deepEqual(writes, writes.toSorted((a, b) => a - b), `${key} was written by a former holder`)
  }
  await harness.checkHistory(t)
})

test.serial('all relays killed at once with a change under way', async (t) => {
  const { head } = await readHead(harness.client)
  const killed = (await harness.fleet.statuses()).flatMap((status, i) => status?.relay ? [i] : [])
  t.true(killed.length >= 4 && killed.length < 8)
  const applied = harness.apply('--no-wait')
  await waitFor('the change to be accepted', async () =>
    (await readHead(harness.client)).head.version > head.version, TIMEOUT_MS)
  await harness.killAndRestart(killed)
  t.is((await applied).code, 0)
  await harness.waitForVersion(head.version + 1)
  await harness.waitForReportedVersion(head.version + 1)
  await harness.checkHistory(t)
})

test.serial('half of all daemons killed and restarted at once', async (t) => {
  await harness.killAndRestart(allIndexes().filter((i) => i % 2 === 0))
  const { code, stdout } = await harness.apply()
  t.is(code, 0, stdout)
  const version = await harness.recordAccepted()
  await harness.waitForVersion(version)
  await harness.waitForReportedVersion(version)
  await harness.checkHistory(t)
})

test.serial('a daemon restarted while the platform is down serves only the version of its peers', async (t) => {
  const version = await harness.recordAccepted()
  const peers = allIndexes().slice(0, -1)
  const last = peers.length
  harness.platform.mode = 'down'
  await harness.kill([last])
  for (const i of peers) harness.fleet.daemons[i]!.process.kill('SIGSTOP')
  try {
    harness.fleet.restart(last)
    await harness.fleet.waitHealthy([last])
    const res = await request(`http://127.0.0.1:${harness.fleet.daemons[last]!.ports.proxy}/service1/1/x`)
    await res.body.dump()
    t.is(res.statusCode, 503)
    t.is(res.headers['x-lentilwheel-not-run'], '1')
    const ready = await request(`http://127.0.0.1:${harness.fleet.daemons[last]!.ports.admin}/readyz`)
    t.is(ready.statusCode, 503)
    t.not(await ready.body.text(), '')
  } finally {
    for (const i of peers) harness.fleet.daemons[i]!.process.kill('SIGCONT')
  }
  await harness.waitForVersion(version, [last])
  harness.platform.mode = 'up'
  await harness.waitForVersion(version)
  await harness.checkHistory(t)
})

test.serial('a daemon with a wrong mesh key gets no configuration and changes nothing', async (t) => {
  const [proxy, admin, target, mesh, closedPort] = await findFreePorts(5) as [number, number, number, number, number]
  const foreignDaemon = harness.fleet.group.startDaemon('stranger', {
    dataCentre: 'dc1',
    platform: { url: `http://127.0.0.1:${closedPort}` },
    seeds: harness.fleet.daemons.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.mesh}`),
    meshKey: 'key-of-another-fleet',
    log: 'off'
  }, { proxy, admin, target, mesh })
  await waitFor('daemons to drop messages of the foreign daemon', async () =>
    (await harness.fleet.counters()).some((counters) => sumCounter(counters, 'mesh.dropped') > 0), TIMEOUT_MS)
  const before = await harness.recordAccepted()
  const { code, stdout } = await harness.apply()
  t.is(code, 0)
  t.regex(stdout, /all 8 daemons/)
  await harness.waitForVersion(before + 1)
  const response = await request(`http://127.0.0.1:${admin}/status`)
  const status = await response.body.json() as { version: number, ready: boolean, members: number }
  t.is(status.version, 0)
  t.false(status.ready)
  t.is(status.members, 1)
  for (const other of await harness.fleet.statuses()) t.is(other?.members, 8)
  harness.fleet.group.end(foreignDaemon.process, 'SIGKILL')
  await harness.checkHistory(t)
})

test.serial('a version that daemons refuse leaves the old one active and is reported', async (t) => {
  const { head, revision } = await readHead(harness.client)
  const invalidRoute = makeObject('route/open', { service: 'missing', path: '/open' } as never)
  const bundle = canonicalJson([invalidRoute])
  const change = { id: 'open-route', author: 'tester', acceptedAt: Date.now(), put: [invalidRoute], remove: [] }
  harness.platform.store.put(bundleKey(hashText(bundle)), new TextEncoder().encode(bundle), 0)
  harness.platform.store.put(HEAD_KEY, encodeHead(applyChange(head, change, [hashText(bundle)])), revision)
  await waitFor('the refused change to be reported', async () =>
    (await harness.cli('refusals', '--json')).stdout.includes('open-route'), TIMEOUT_MS)
  const report = await harness.cli('refusals')
  t.is(report.code, 0)
  t.regex(report.stdout, /missing/)
  await harness.waitForVersion(head.version)
  await harness.checkHistory(t)
})
