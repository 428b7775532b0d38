import test from 'ava'
import { MemoryMetrics, NodeTimers, SeededRandom, TokenBucket } from '@lentilwheel/core'
import { FakePlatformServer } from '@lentilwheel/testkit'
import { decodeMoveRecord, toMoveFacts, toMoveRecord } from '../moveRecord.js'
import { HttpPlatformClient, type HttpPlatformOptions } from '../nodeHttpPlatformClient.js'
import { encodeJson } from '../platformClient.js'

const value = new TextEncoder().encode('value')

async function setup (change: Partial<HttpPlatformOptions> = {}) {
  const server = new FakePlatformServer()
  const url = await server.listen()
  const timers = new NodeTimers(new SeededRandom(1))
  const metrics = new MemoryMetrics()
  return { server, timers, metrics, client: new HttpPlatformClient({ url, timers, metrics, watchTimeoutMs: 50, ...change }) }
}

test('every operation follows the object API', async (t) => {
  const { client, server, metrics } = await setup()
  t.is(await client.get('a/b c'), undefined)
  const revision = await client.put('a/b c', value, { ifRevision: 0 })
  await t.throwsAsync(client.put('a/b c', value, { ifRevision: 0 }), { any: true, code: 'platform-conflict' })
  t.deepEqual(await client.list('a/'), [{ key: 'a/b c', value, revision }])
  const signal = new AbortController().signal
  t.is((await client.watch('a/b c', 0, signal))?.revision, revision)
  t.is(await client.watch('a/b c', revision, signal), undefined)
  await t.throwsAsync(client.remove('a/b c', { ifRevision: 99 }), { any: true, code: 'platform-conflict' })
  await client.remove('a/b c', { ifRevision: revision })
  t.is(metrics.total('platform.calls'), 8)
  await client.close()
  await server.close()
})

/** Guards against a write with a lost response that is reported as failed, and a gateway's page that is taken for an object. */
test('each kind of failure has its own error', async (t) => {
  const { client, server } = await setup({ timeoutMs: 2_000 })
  server.loseNextResponse.add('a')
  await t.throwsAsync(client.put('a', value, { ifRevision: 0 }), { any: true, code: 'platform-outcome-unknown' })
  t.truthy(await client.get('a'))
  server.mode = 'html'
  await t.throwsAsync(client.get('a'), { any: true, code: 'platform-bad-answer' })
  server.mode = 'down'
  await t.throwsAsync(client.get('a'), { any: true, code: 'platform-unreachable' })
  await server.close()
  await t.throwsAsync(client.put('a', value, { ifRevision: 0 }), { any: true, code: 'platform-unreachable' })
  await client.close()
})

test('calls beyond the budget fail at once', async (t) => {
  const { client, server, metrics } = await setup({ budget: new TokenBucket({ perSecond: 0.001, burst: 2, now: 0 }) })
  await client.get('a')
  await client.get('a')
  await t.throwsAsync(client.get('a'), { any: true, code: 'platform-budget-exhausted' })
  t.is(metrics.total('platform.calls'), 2)
  await client.close()
  await server.close()
})

test('the facts of a move survive being stored, except the stage after a rollback', (t) => {
  const definition = { service: 's', from: 'v1', to: 'v2', by: '2026-01-01T00:00:00Z' }
  const stage = { kind: 'stage' as const, move: 'm', stage: 2, share: 0.05, at: 3 }
  const rollback = { kind: 'rollback' as const, move: 'm', reason: 'errors', at: 4, daemon: 'd' }
  const outcome = { kind: 'outcome' as const, move: 'm', outcome: 'takenBack' as const, reason: 'errors', at: 5 }
  const read = (facts: Parameters<typeof toMoveRecord>[2]) => toMoveFacts(decodeMoveRecord(encodeJson(toMoveRecord('m', definition, facts)))!)
  t.deepEqual(read({ stage }), [stage])
  t.deepEqual(read({ stage, rollback, outcome }), [rollback, outcome])
  t.is(toMoveRecord('m', definition, { stage, rollback }).share, 0)
  t.is(decodeMoveRecord(new TextEncoder().encode('<html>')), undefined)
})
