import test from 'ava'
import { BodyBuffer } from '../bodyBuffer.js'
import { BufferPool, type BufferHolder } from '../bufferPool.js'

function holder (gaveUp: string[], name: string): BufferHolder {
  return { giveUp: (limit) => { gaveUp.push(`${name} at ${limit}`) } }
}

test('guards against one message without end costing others their place', (t) => {
  const gaveUp: string[] = []
  const pool = new BufferPool(100)
  const small = holder(gaveUp, 'small')
  const endless = holder(gaveUp, 'endless')
  pool.grow(endless, 80)
  pool.grow(small, 30)
  t.deepEqual(gaveUp, ['endless at 100'])
  t.is(pool.total, 30)
  pool.release(small)
  pool.release(small)
  t.is(pool.total, 0)
})

test('guards against many small pieces of a body taking more memory than the body', (t) => {
  const body = new BodyBuffer()
  for (let i = 0; i < 100_000; i++) body.append(Buffer.from([i % 256]))
  t.is(body.take().length, 100_000)
  t.is(body.take()[999], 999 % 256)
  t.true(body.capacity <= 2 * 100_000)
})
