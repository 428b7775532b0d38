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
