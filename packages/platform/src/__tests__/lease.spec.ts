import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { Lease } from '../lease.js'
import { MemoryPlatformClient } from './memoryPlatformClient.js'

const TTL_MS = 15_000

function setup () {
  const timers = new VirtualTimers()
  const client = new MemoryPlatformClient()
  const createLease = (id: string): Lease => {
    return new Lease({ client, timers, key: 'lease/x/0', holder: { id, address: `${id}:1` }, ttlMs: TTL_MS })
  }
  return { timers, client, a: createLease('a'), b: createLease('b'), createLease }
}

test('a lease has one holder, who keeps it by renewing it', async (t) => {
  const { timers, a, b } = setup()
  t.is(await a.acquireOrRenew(), 'taken')
  for (let i = 0; i < 10; i++) {
    t.is(await b.acquireOrRenew(), 'busy')
    timers.advance(5_000)
    t.is(await a.acquireOrRenew(), 'held')
  }
  t.is(b.observedHolder, 'a')
  t.is(a.token, 1)
})

/** Guards against two daemons that both act as holder after one of them was paused. */
test('a paused holder finds its lease expired by its own clock and can\'t renew it', async (t) => {
  const { timers, a, b } = setup()
  await a.acquireOrRenew()
  t.is(await b.acquireOrRenew(), 'busy')
  timers.advance(TTL_MS)
  t.is(a.token, undefined)
  t.is(await b.acquireOrRenew(), 'taken')
  t.is(b.token, 2)
  t.is(await a.acquireOrRenew(), 'lost')
  t.is(await a.acquireOrRenew(), 'busy')
})

/** Guards against a lease that expires early because the wall clock is set forward. */
test('a step of the wall clock does not expire a lease', async (t) => {
  const { timers, a, b } = setup()
  await a.acquireOrRenew()
  await b.acquireOrRenew()
  timers.stepWall(3_600_000)
  t.is(await b.acquireOrRenew(), 'busy')
  t.true(a.isHeld())
})

test('a released lease is free at once, and so is one that the same holder has from an earlier run', async (t) => {
  const { a, b, createLease } = setup()
  await a.acquireOrRenew()
  t.is(await createLease('a').acquireOrRenew(), 'taken')
  t.is(await a.acquireOrRenew(), 'lost')
  const again = createLease('a')
  await again.acquireOrRenew()
  await again.release()
  t.is(await b.acquireOrRenew(), 'taken')
  t.is(b.token, 4)
})

/** Guards against a lost response that is taken for a failed write, or for a successful one. */
test('after a lost response the lease is read back', async (t) => {
  const { client, a, b } = setup()
  client.faultByPrefix.set('lease/', 'answerLost')
  t.is(await a.acquireOrRenew(), 'taken')
  client.faultByPrefix.set('lease/', 'answerLost')
  t.is(await a.acquireOrRenew(), 'held')
  client.faultByPrefix.set('lease/', 'requestLost')
  t.is(await b.acquireOrRenew(), 'busy')
  await t.throwsAsync(a.acquireOrRenew(), { any: true, code: 'platform-outcome-unknown' })
  t.is(await a.acquireOrRenew(), 'held')
})

test('a lease object with invalid content is taken over', async (t) => {
  const { client, a } = setup()
  client.store.put('lease/x/0', new TextEncoder().encode('no lease'), 0)
  t.is(await a.acquireOrRenew(), 'taken')
})
