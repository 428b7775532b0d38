import test from 'ava'
import fc from 'fast-check'
import { DeadlineQueue, expectedWaitMs, type Waiting } from '../deadlineQueue.js'
import { IdleConnections } from '../idleConnections.js'
import { RetryBudget } from '../retryBudget.js'

type Item = Waiting & { id: number }

/** Guards against a queue that loses calls or starts one before another with an earlier deadline. */
test('the queue yields what is left in it by deadline', (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 50 }), fc.boolean())), (plan) => {
    const queue = new DeadlineQueue<Item>()
    const items = plan.map(([deadline], id): Item => ({ deadline, id, queueIndex: -1 }))
    for (const item of items) queue.push(item)
    const kept = items.filter((item, i) => {
      if (plan[i]![1]) queue.remove(item)
      return !plan[i]![1]
    })
    const order: number[] = []
    for (let item = queue.pop(); item; item = queue.pop()) order.push(item.deadline)
    t.deepEqual(order, kept.map((item) => item.deadline).sort((a, b) => a - b))
    t.true(items.every((item) => item.queueIndex === -1))
  }), { seed: 7, numRuns: 200 })
})

/** Guards against waiting behind more work than can be done. */
test('expected wait grows with the calls ahead', (t) => {
  t.deepEqual([expectedWaitMs(0, 2, 10), expectedWaitMs(3, 2, 10), expectedWaitMs(0, 0, 10)], [5, 20, Infinity])
})

/** Guards against retry storms: beyond the reserve, retries stay at their share of calls. */
test('the retry budget allows its share of calls', (t) => {
  const budget = new RetryBudget(0.1)
  let retries = 0
  for (let i = 0; i < 1_000; i++) {
    budget.earn()
    if (budget.tryTake()) retries++
  }
  t.true(retries >= 100 && retries <= 110, String(retries))
  t.false(new RetryBudget(0).tryTake())
})

/** Guards against connections that are kept for ever, and against closing one that is in use. */
test('idle connections are closed, busy ones and ones that read are kept', (t) => {
  const closed: string[] = []
  const socket = (name: string) => ({ bytesRead: 0, destroy: () => { closed.push(name) } })
  const [idle, busy, reading] = [socket('idle'), socket('busy'), socket('reading')]
  const connections = new IdleConnections<typeof idle>(100)
  for (const each of [idle, busy, reading]) connections.add(each, 0)
  for (let now = 50; now <= 200; now += 50) {
    reading.bytesRead += 10
    connections.sweep(now, (each) => each === busy)
    if (closed.length > 0) connections.remove(idle)
  }
  t.deepEqual(closed, ['idle'])
})
