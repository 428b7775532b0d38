import test from 'ava'
import fc from 'fast-check'
import { DeadlineQueue, expectedWaitMs, type QueueItem } from '../deadlineQueue.js'
import { IdleConnectionSweeper } from '../idleConnectionSweeper.js'
import { RetryBudget } from '../retryBudget.js'

type Item = QueueItem & { id: number }

/** Guards against a queue that loses calls or yields one before another with an earlier deadline. */
test('the queue yields its items in order of their deadlines', (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 50 }), fc.boolean())), (plan) => {
    const queue = new DeadlineQueue<Item>()
    const items = plan.map(([deadline], id): Item => ({ deadline, id, queueIndex: -1 }))
    for (const item of items) queue.push(item)
    const remaining = items.filter((item, i) => {
      if (plan[i]![1]) queue.remove(item)
      return !plan[i]![1]
    })
    const order: number[] = []
    for (let item = queue.pop(); item; item = queue.pop()) order.push(item.deadline)
    t.deepEqual(order, remaining.map((item) => item.deadline).sort((a, b) => a - b))
    t.true(items.every((item) => item.queueIndex === -1))
  }), { seed: 7, numRuns: 200 })
})

/** Guards against queueing calls that can't be done by their deadline. */
test('the expected wait grows with the calls ahead', (t) => {
  t.deepEqual([expectedWaitMs(0, 2, 10), expectedWaitMs(3, 2, 10), expectedWaitMs(0, 0, 10)], [5, 20, Infinity])
})

/** Guards against retry storms: beyond the initial balance, retries stay at their share of the calls. */
test('the retry budget limits retries to their share of the calls', (t) => {
  const budget = new RetryBudget(0.1)
  let retries = 0
  for (let i = 0; i < 1_000; i++) {
    budget.deposit()
    if (budget.tryWithdraw()) retries++
  }
  t.true(retries >= 100 && retries <= 110, String(retries))
  t.false(new RetryBudget(0).tryWithdraw())
})

/** Guards against idle connections that are never closed, and against closing one that is in use. */
test('idle connections are closed, busy ones and ones that receive data are kept', (t) => {
  const closed: string[] = []
  const socket = (name: string) => ({ bytesRead: 0, destroy: () => { closed.push(name) } })
  const [idle, busy, reading] = [socket('idle'), socket('busy'), socket('reading')]
  const sweeper = new IdleConnectionSweeper<typeof idle>(100)
  for (const each of [idle, busy, reading]) sweeper.add(each, 0)
  for (let now = 50; now <= 200; now += 50) {
    reading.bytesRead += 10
    sweeper.sweep(now, (each) => each === busy)
    if (closed.length > 0) sweeper.remove(idle)
  }
  t.deepEqual(closed, ['idle'])
})
