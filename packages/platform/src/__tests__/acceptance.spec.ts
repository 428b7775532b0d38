import test from 'ava'
import { createChange, ChangeConflict, checkConfig, ConfigInvalid, MAX_HEAD_BUNDLES, toObjects, type Change, type ConfigInput } from '@lentilwheel/config'
import { accountKey } from '../account.js'
import { encodeJson } from '../platformClient.js'
import { acceptChange, HEAD_KEY, loadSnapshot, readHead, type StoredHead } from '../configStore.js'
import { PlatformConflict, PlatformOutcomeUnknown, PlatformUnreachable } from '../errors.js'
import { encodeHead, MAX_HEAD_BYTES } from '../headCodec.js'
import { MemoryPlatformClient, type WriteFault } from './memoryPlatformClient.js'

type Timeouts = Record<string, string>

/** Creates a configuration with one service for each name, with its timeout, and one route to each. */
function createConfig (timeouts: Timeouts): ConfigInput {
  const entries = Object.entries(timeouts)
  return {
    services: Object.fromEntries(entries.map(([name, timeout]) => [name, { versions: ['v1'], current: 'v1', timeout }])),
    routes: Object.fromEntries(entries.map(([name]) => [name, { service: name, path: `/${name}` }]))
  }
}

function changeTimeouts (base: StoredHead, id: string, timeouts: Timeouts): Change {
  return createChange(base.head, toObjects(checkConfig(createConfig(timeouts))), { id, author: id, acceptedAt: 0 })
}

async function setup () {
  const client = new MemoryPlatformClient()
  const empty = await readHead(client)
  await acceptChange(client, empty, changeTimeouts(empty, 'first', { a: '1s', b: '1s' }))
  return { client, base: await readHead(client) }
}

async function loadCurrent (client: MemoryPlatformClient) {
  return await loadSnapshot(client, (await readHead(client)).head)
}

const WRITE_FAULTS: { key: string, fault: WriteFault, settled: boolean, code?: string }[] = [
  { key: HEAD_KEY, fault: 'answerLost', settled: false },
  { key: HEAD_KEY, fault: 'requestLost', settled: false },
  { key: 'config/bundle/', fault: 'answerLost', settled: false },
  { key: 'config/bundle/', fault: 'requestLost', settled: false, code: 'platform-outcome-unknown' },
  { key: HEAD_KEY, fault: 'unreachable', settled: false, code: 'platform-unreachable' }
]

/** Guards against a change that is accepted twice, or whose outcome is reported wrongly, after a failed write. */
for (const { key, fault, code } of WRITE_FAULTS) {
  test(`${fault} at ${key}: the change is accepted once or not at all`, async (t) => {
    const { client, base } = await setup()
    client.faultByPrefix.set(key, fault)
    const result = acceptChange(client, base, changeTimeouts(base, 'x', { a: '2s', b: '1s' }))
    if (code) await t.throwsAsync(result, { any: true, code })
    else t.is((await result).version, 2)
    const { head } = await readHead(client)
    t.is(head.version, code ? 1 : 2)
    t.is(head.changes.filter((change) => change.id === 'x').length, code ? 0 : 1)
  })
}

test('an outcome that can\'t be read back is reported as unknown, and a retry finds the change accepted', async (t) => {
  const { client, base } = await setup()
  const change = changeTimeouts(base, 'x', { a: '2s', b: '1s' })
  client.faultByPrefix.set(HEAD_KEY, 'answerLost')
  client.beforePut = async (key) => { client.isReadFailing = key === HEAD_KEY }
  await t.throwsAsync(acceptChange(client, base, change), { any: true, instanceOf: PlatformOutcomeUnknown })
  client.beforePut = async () => {}
  client.isReadFailing = false
  t.deepEqual(await acceptChange(client, await readHead(client), change), { version: 2, wasAlreadyAccepted: true })
})

const RACES: { name: string, other: Timeouts, result: 'both' | 'conflict' | 'refused' }[] = [
  { name: 'other objects', other: { a: '1s', b: '9s' }, result: 'both' },
  { name: 'the same object', other: { a: '9s', b: '1s' }, result: 'conflict' },
  { name: 'removal of what the change needs', other: { b: '1s' }, result: 'conflict' }
]

/** Guards against a concurrent change that is lost or overwritten. */
for (const { name, other, result } of RACES) {
  test(`two operators write concurrently, the first changes ${name}: ${result}`, async (t) => {
    const { client, base } = await setup()
    const rival = new MemoryPlatformClient(client.store)
    client.beforePut = async (key) => {
      if (key !== HEAD_KEY) return
      client.beforePut = async () => {}
      await acceptChange(rival, base, changeTimeouts(base, 'rival', other))
    }
    const mine = acceptChange(client, base, changeTimeouts(base, 'mine', { a: '2s', b: '1s' }))
    if (result === 'conflict') {
      const err = await t.throwsAsync(mine, { any: true, instanceOf: ChangeConflict })
      t.is((err as unknown as ChangeConflict).conflicting.id, 'rival')
      return
    }
    t.is((await mine).version, 3)
    const { services } = (await loadCurrent(client)).config
    t.deepEqual([services['a']!.timeout, services['b']!.timeout], [2_000, 9_000])
  })
}

test('a change that is valid alone but not with the one accepted before is rejected', async (t) => {
  const { client, base } = await setup()
  const removal = changeTimeouts(base, 'removal', { a: '1s' })
  const withRoute = toObjects(checkConfig({ ...createConfig({ a: '1s', b: '1s' }), routes: { ...createConfig({ a: '1s', b: '1s' }).routes, more: { service: 'b', path: '/more' } } }))
  const addition = createChange(base.head, withRoute, { id: 'addition', author: 'x', acceptedAt: 0 })
  await acceptChange(client, base, removal)
  await t.throwsAsync(acceptChange(client, base, addition), { any: true, instanceOf: ConfigInvalid })
  t.is((await readHead(client)).head.version, 2)
})

test('of many concurrent changes each is accepted exactly once', async (t) => {
  const { client, base } = await setup()
  const names = Array.from({ length: 6 }, (_, i) => `n${i}`)
  await Promise.all(names.map(async (name) => {
    const change = changeTimeouts(base, name, { a: '1s', b: '1s', [name]: '1s' })
    await acceptChange(new MemoryPlatformClient(client.store), base, change)
  }))
  t.deepEqual(Object.keys((await loadCurrent(client)).config.services).sort(), ['a', 'b', ...names])
  t.is((await readHead(client)).head.version, 7)
})

/** Guards against a change made on an old head that fails because its bundles have been compacted meanwhile. */
test('bundles are compacted and obsolete ones removed, and a change made on an old head is still accepted', async (t) => {
  const { client } = await setup()
  let early: StoredHead | undefined
  for (let n = 2; n <= MAX_HEAD_BUNDLES + 3; n++) {
    const base = await readHead(client)
    if (n === MAX_HEAD_BUNDLES) early = base
    await acceptChange(client, base, changeTimeouts(base, `c${n}`, { a: `${n}s`, b: '1s' }))
    t.true((await readHead(client)).head.bundles.length <= MAX_HEAD_BUNDLES)
  }
  const { head } = await readHead(client)
  t.is(client.store.list('config/bundle/').length, head.bundles.length)
  t.is((await loadCurrent(client)).config.services['a']!.timeout, (MAX_HEAD_BUNDLES + 3) * 1_000)
  const late = await acceptChange(client, early!, changeTimeouts(early!, 'late', { a: `${MAX_HEAD_BUNDLES - 1}s`, b: '7s' }))
  t.is(late.version, MAX_HEAD_BUNDLES + 4)
})

/** Guards against a new version that daemons ignore because a restored head has a lower version than theirs. */
test('after a head was restored from a backup, the next version is above the active ones', async (t) => {
  const { client, base } = await setup()
  const account = { dataCentre: 'x', at: 0, members: 3, inForce: { 6: 1, 8: 2 }, lagging: [], refusals: [] }
  client.store.put(accountKey('x'), encodeJson(account), 0)
  client.store.put(accountKey('broken'), encodeJson('?'), 0)
  t.is((await acceptChange(client, base, changeTimeouts(base, 'next', { a: '3s', b: '1s' }))).version, 9)
})

/** Guards against a head that exceeds the platform's limit of 1 MB for a value. */
test('a head of 22,000 objects fits because it drops what the oldest changes replaced', async (t) => {
  const objects = Object.fromEntries(Array.from({ length: 22_000 }, (_, i) => [`route/some-route-${i}`, `${i}`.padStart(32, '0')]))
  const replaced = Object.fromEntries(Object.keys(objects).map((key, i) => [key, `${i * 7919}`.padStart(32, 'f')]))
  const changes = Array.from({ length: 20 }, (_, i) => ({ id: `c${i}`, version: i, acceptedAt: 0, author: 'a', replaced }))
  const client = new MemoryPlatformClient()
  const value = encodeHead({ version: 20, rootHash: 'r', objects, bundles: [], changes })
  t.true(value.length <= MAX_HEAD_BYTES)
  client.store.put(HEAD_KEY, value, 0)
  const { head } = await readHead(client)
  t.deepEqual(head.objects, objects)
  t.deepEqual(head.changes.map((change) => change.id), changes.map((change) => change.id))
  t.deepEqual(head.changes.at(-1)!.replaced, replaced)
  t.deepEqual(head.changes[0]!.replaced, {})
})

test('a change that always meets other writes fails with a conflict', async (t) => {
  const { client, base } = await setup()
  client.beforePut = async (key) => {
    if (key === HEAD_KEY) client.store.restore(HEAD_KEY, client.store.get(HEAD_KEY)!.value)
  }
  await t.throwsAsync(acceptChange(client, base, changeTimeouts(base, 'x', { a: '2s', b: '1s' })), { any: true, instanceOf: PlatformConflict })
  client.isReadFailing = true
  await t.throwsAsync(readHead(client), { any: true, instanceOf: PlatformUnreachable })
})
