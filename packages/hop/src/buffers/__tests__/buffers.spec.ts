import test from 'ava'
import { BodyBuffer } from '../bodyBuffer.js'
import { BufferBudget, type BufferHolder } from '../bufferBudget.js'

function holder (evicted: string[], name: string): BufferHolder {
  return { evict: (limit) => { evicted.push(`${name} at ${limit}`) } }
}

test('guards against one message without end using up the buffer space of the others', (t) => {
  const evicted: string[] = []
  const budget = new BufferBudget(100)
  const small = holder(evicted, 'small')
  const endless = holder(evicted, 'endless')
  budget.grow(endless, 80)
  budget.grow(small, 30)
  t.deepEqual(evicted, ['endless at 100'])
  t.is(budget.totalBytes, 30)
  budget.release(small)
  budget.release(small)
  t.is(budget.totalBytes, 0)
})

test('guards against a body of many small chunks taking more than twice its size in memory', (t) => {
  const body = new BodyBuffer()
  for (let i = 0; i < 100_000; i++) body.append(Buffer.from([i % 256]))
  t.is(body.take().length, 100_000)
  t.is(body.take()[999], 999 % 256)
  t.true(body.capacity <= 2 * 100_000)
})

test('guards against a single long message being dropped while there is little else', (t) => {
  const evicted: string[] = []
  const budget = new BufferBudget(100, 0.25)
  const long = holder(evicted, 'long')
  const small = holder(evicted, 'small')
  budget.grow(long, 150)
  budget.grow(small, 20)
  t.deepEqual(evicted, [])
  t.false(budget.hasRoom(1))
  budget.grow(small, 10)
  t.deepEqual(evicted, ['long at 100'])
  t.is(budget.totalBytes, 30)
})

test('guards against messages being dropped for bytes that are reserved and cannot be given up', (t) => {
  const evicted: string[] = []
  const budget = new BufferBudget(100, 0.25)
  budget.reserve(150)
  budget.grow(holder(evicted, 'small'), 20)
  budget.grow(holder(evicted, 'other'), 20)
  t.deepEqual(evicted, [])
  budget.grow(holder(evicted, 'large'), 30)
  t.deepEqual(evicted, ['large at 100'])
  budget.unreserve(150)
  t.is(budget.totalBytes, 40)
})

test('guards against bytes of an evicted holder being freed twice', (t) => {
  const budget = new BufferBudget(100)
  const large = holder([], 'large')
  budget.grow(large, 200)
  budget.shrink(large, 200)
  t.is(budget.totalBytes, 0)
  budget.grow(large, 50)
  budget.shrink(large, 20)
  t.is(budget.totalBytes, 30)
})

test('guards against a long body of known length being put together wrongly or taking more than its length', (t) => {
  const bytes = Buffer.from(Array.from({ length: 2_000_000 }, (_, i) => i % 251))
  for (const chunkBytes of [1_000, 65_536, 700_000]) {
    const body = new BodyBuffer(bytes.length)
    for (let offset = 0; offset < bytes.length; offset += chunkBytes) body.append(bytes.subarray(offset, offset + chunkBytes))
    t.true(body.take().equals(bytes))
    t.true(body.capacity <= bytes.length)
  }
})

test('guards against many holders that each take little and keep it driving out what has just come', (t) => {
  const evicted: string[] = []
  let now = 0
  const budget = new BufferBudget(1_000, 0.25, undefined, () => now)
  for (let i = 0; i < 10; i++, now += 10) budget.grow(holder(evicted, `stalled ${i}`), 100)
  for (now = 5_000; now < 6_000; now += 100) {
    const answer = holder(evicted, `answer at ${now}`)
    budget.grow(answer, 250)
    now += 100
    budget.release(answer)
  }
  t.deepEqual(evicted, ['stalled 0 at 1000', 'stalled 1 at 1000', 'stalled 2 at 1000'])
})

test('guards against a holder whose bytes come and go counting as one that keeps them', (t) => {
  const evicted: string[] = []
  let now = 0
  const budget = new BufferBudget(1_000, 0.25, undefined, () => now)
  const busy = holder(evicted, 'busy')
  const stalled = holder(evicted, 'stalled')
  budget.grow(busy, 500)
  now = 5_000
  budget.grow(stalled, 400)
  for (; now < 8_000; now += 100) {
    budget.shrink(busy, 400)
    budget.grow(busy, 400)
  }
  budget.grow(busy, 200)
  t.deepEqual(evicted, ['stalled at 1000'])
})
