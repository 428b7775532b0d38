import test from 'ava'
import { request } from 'undici'
import { applyChange, canonicalJson, hashText, makeObject } from '@lentilwheel/config'
import {
  bundleKey, decodeHead, decodeLease, encodeHead, HEAD_KEY, LEASE_PREFIX, readHead
} from '@lentilwheel/platform'
import { sumCounter } from '../fleet/fleet.js'
import { freePorts, waitFor } from '../processes.js'
import { FleetRig, LIMIT_MS } from './fleetRig.js'

const rig = new FleetRig()
test.before(async () => await rig.start())
test.after.always(async () => await rig.stop())

const all = (): number[] => rig.fleet.daemons.map((_, i) => i)

test.serial('an apply while the platform is down changes nothing and says so', async (t) => {
  t.is((await rig.apply()).code, 0)
  await rig.inForce(1)
  rig.platform.mode = 'down'
  const { code, stderr } = await rig.apply()
  rig.platform.mode = 'up'
  t.is(code, 3)
  t.regex(stderr, /platform/)
  t.is((await readHead(rig.client)).head.version, 1)
  const after = await rig.apply()
  t.is(after.code, 0)
  t.regex(after.stdout, /Version 2 is in force on all 8 daemons/)
  await rig.inForce(2)
  await rig.checkHistory(t)
})

test.serial('an apply whose answer is lost is accepted once and reported as accepted', async (t) => {
  rig.platform.loseNextAnswer.add(HEAD_KEY)
  const { code, stdout } = await rig.apply('--change-id', 'lost-answer')
  t.is(code, 0)
  t.regex(stdout, /Accepted as version 3 \(change lost-answer\)/)
  t.false(rig.platform.loseNextAnswer.has(HEAD_KEY), 'the answer was lost')
  const { head } = await readHead(rig.client)
  t.deepEqual(head.changes.filter(({ id }) => id === 'lost-answer').map(({ version }) => version), [3])
  await rig.inForce(3)
  await rig.checkHistory(t)
})

/** Ids of those that hold the leases of a data centre. */
function holders (dataCentre: string): string[] {
  return rig.platform.store.list(`${LEASE_PREFIX}${dataCentre}/`).map(([key, { value, revision }]) =>
    decodeLease({ key, value, revision })?.holder ?? '')
}

test.serial('a relay paused beyond its lease steps down, catches up and writes nothing stale', async (t) => {
  await waitFor('dc1 to have two relays', async () => holders('dc1').filter((id) => id !== '').length === 2, LIMIT_MS)
  const paused = all().find((i) => rig.fleet.daemons[i]!.id === holders('dc1')[0])!
  const { id, process } = rig.fleet.daemons[paused]!
  const others = all().filter((i) => i !== paused)
  process.kill('SIGSTOP')
  t.is((await rig.apply('--no-wait')).code, 0)
  await rig.inForce(4, others)
  await waitFor('another daemon to take the lease', async () => !holders('dc1').includes(id), LIMIT_MS)
  await rig.apply('--no-wait')
  await rig.inForce(5, others)
  const written: Record<string, number[]> = {}
  const stopListening = rig.platform.store.listen((key, { value }) => {
    const content = key === HEAD_KEY ? decodeHead(value) : JSON.parse(new TextDecoder().decode(value)) as { token: number }
    const order = written[key] ??= []
    order.push('version' in content ? content.version : content.token)
  })
  process.kill('SIGCONT')
  await waitFor('the paused relay to step down', async () =>
    (await rig.fleet.events(paused)).some(({ type }) => type === 'leaseLost'), LIMIT_MS)
  await rig.inForce(5)
  t.false(holders('dc1').includes(id))
  const told = await rig.apply()
  t.is(told.code, 0)
  t.regex(told.stdout, /in force on all 8 daemons/)
  stopListening()
  for (const [key, order] of Object.entries(written)) {
    t.deepEqual(order, order.toSorted((a, b) => a - b), `${key} was written by a former holder`)
  }
  await rig.checkHistory(t)
})

test.serial('all relays killed at once with a change under way', async (t) => {
  const { head } = await readHead(rig.client)
  const killed = (await rig.fleet.statuses()).flatMap((status, i) => status?.relay ? [i] : [])
  t.true(killed.length >= 4 && killed.length < 8)
  const applied = rig.apply('--no-wait')
  await waitFor('the change to be accepted', async () =>
    (await readHead(rig.client)).head.version > head.version, LIMIT_MS)
  await rig.killAndRestart(killed)
  t.is((await applied).code, 0)
  await rig.inForce(head.version + 1)
  await rig.toldEverywhere(head.version + 1)
  await rig.checkHistory(t)
})

test.serial('half of all daemons killed and restarted at once', async (t) => {
  await rig.killAndRestart(all().filter((i) => i % 2 === 0))
  const { code, stdout } = await rig.apply()
  t.is(code, 0, stdout)
  const version = await rig.noteAccepted()
  await rig.inForce(version)
  await rig.toldEverywhere(version)
  await rig.checkHistory(t)
})

test.serial('a daemon restarted with the platform down serves only what its peers hold', async (t) => {
  const version = await rig.noteAccepted()
  const peers = all().slice(0, -1)
  const last = peers.length
  rig.platform.mode = 'down'
  await rig.kill([last])
  for (const i of peers) rig.fleet.daemons[i]!.process.kill('SIGSTOP')
  try {
    rig.fleet.restart(last)
    await rig.fleet.waitUp([last])
    const res = await request(`http://127.0.0.1:${rig.fleet.daemons[last]!.ports.proxy}/service1/1/x`)
    await res.body.dump()
    t.is(res.statusCode, 503)
    t.is(res.headers['x-lentilwheel-not-run'], '1')
    const ready = await request(`http://127.0.0.1:${rig.fleet.daemons[last]!.ports.admin}/readyz`)
    t.is(ready.statusCode, 503)
    t.not(await ready.body.text(), '')
  } finally {
    for (const i of peers) rig.fleet.daemons[i]!.process.kill('SIGCONT')
  }
  await rig.inForce(version, [last])
  rig.platform.mode = 'up'
  await rig.inForce(version)
  await rig.checkHistory(t)
})

test.serial('a daemon with a wrong mesh key gets nothing and changes nothing', async (t) => {
  const [proxy, admin, target, mesh, nowhere] = await freePorts(5) as [number, number, number, number, number]
  const stranger = rig.fleet.group.startDaemon('stranger', {
    dataCentre: 'dc1',
    platform: { url: `http://127.0.0.1:${nowhere}` },
    seeds: rig.fleet.daemons.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.mesh}`),
    meshKey: 'key-of-another-fleet',
    log: 'off'
  }, { proxy, admin, target, mesh })
  await waitFor('daemons to drop what the stranger sends', async () =>
    (await rig.fleet.counters()).some((counters) => sumCounter(counters, 'mesh.dropped') > 0), LIMIT_MS)
  const before = await rig.noteAccepted()
  const { code, stdout } = await rig.apply()
  t.is(code, 0)
  t.regex(stdout, /all 8 daemons/)
  await rig.inForce(before + 1)
  const answer = await request(`http://127.0.0.1:${admin}/status`)
  const status = await answer.body.json() as { version: number, ready: boolean, members: number }
  t.is(status.version, 0)
  t.false(status.ready)
  t.is(status.members, 1)
  for (const other of await rig.fleet.statuses()) t.is(other?.members, 8)
  stranger.process.kill('SIGKILL')
  await rig.checkHistory(t)
})

test.serial('a version that daemons refuse leaves the old one in force and is named', async (t) => {
  const { head, revision } = await readHead(rig.client)
  const open = makeObject('route/open', { service: 'missing', path: '/open' } as never)
  const bundle = canonicalJson([open])
  const change = { id: 'open-route', author: 'tester', acceptedAt: Date.now(), put: [open], remove: [] }
  rig.platform.store.put(bundleKey(hashText(bundle)), new TextEncoder().encode(bundle), 0)
  rig.platform.store.put(HEAD_KEY, encodeHead(applyChange(head, change, [hashText(bundle)])), revision)
  await waitFor('the refusal to be told', async () =>
    (await rig.cli('refusals', '--json')).stdout.includes('open-route'), LIMIT_MS)
  const told = await rig.cli('refusals')
  t.is(told.code, 0)
  t.regex(told.stdout, /missing/)
  await rig.inForce(head.version)
  await rig.checkHistory(t)
})
