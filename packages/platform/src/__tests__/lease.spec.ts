import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { Lease } from '../lease.js'
import { MemoryClient } from './memoryClient.js'

const TTL_MS = 15_000

function prepared () {
  const timers = new VirtualTimers()
  const client = new MemoryClient()
  const leaseOf = (id: string): Lease => {
    return new Lease({ client, timers, key: 'lease/x/0', holder: { id, address: `${id}:1` }, ttlMs: TTL_MS })
  }
  return { timers, client, a: leaseOf('a'), b: leaseOf('b'), leaseOf }
}

test('a lease has one holder, who keeps it by renewing', async (t) => {
  const { timers, a, b } = prepared()
  t.is(await a.step(), 'taken')
  for (let i = 0; i < 10; i++) {
    t.is(await b.step(), 'busy')
    timers.advance(5_000)
    t.is(await a.step(), 'held')
  }
  t.is(b.seenHolder, 'a')
  t.is(a.token, 1)
})

test('a paused holder loses its lease, knows it by its own clock, and can\'t renew it', async (t) => {
  const { timers, a, b } = prepared()
  await a.step()
  t.is(await b.step(), 'busy')
  timers.advance(TTL_MS)
  t.is(a.token, undefined)
  t.is(await b.step(), 'taken')
  t.is(b.token, 2)
  t.is(await a.step(), 'lost')
  t.is(await a.step(), 'busy')
})

test('a wall clock that steps changes nothing', async (t) => {
  const { timers, a, b } = prepared()
  await a.step()
  await b.step()
  timers.stepWall(3_600_000)
  t.is(await b.step(), 'busy')
  t.true(a.isHeld())
})

test('a lease given back is free at once, and so is one of an earlier run', async (t) => {
  const { a, b, leaseOf } = prepared()
  await a.step()
  t.is(await leaseOf('a').step(), 'taken')
  t.is(await a.step(), 'lost')
  const again = leaseOf('a')
  await again.step()
  await again.release()
  t.is(await b.step(), 'taken')
  t.is(b.token, 4)
})

test('a lost answer is settled by reading back', async (t) => {
  const { client, a, b } = prepared()
  client.faults.set('lease/', 'answerLost')
  t.is(await a.step(), 'taken')
  client.faults.set('lease/', 'answerLost')
  t.is(await a.step(), 'held')
  client.faults.set('lease/', 'requestLost')
  t.is(await b.step(), 'busy')
  await t.throwsAsync(a.step(), { any: true, code: 'platform-outcome-unknown' })
  t.is(await a.step(), 'held')
})

test('a lease object with other content is taken over', async (t) => {
  const { client, a } = prepared()
  client.store.put('lease/x/0', new TextEncoder().encode('no lease'), 0)
  t.is(await a.step(), 'taken')
})
