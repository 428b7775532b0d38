import test from 'ava'
import { SeededRandom } from '@lentilwheel/core'
import { Admission, type SlotRequest } from '../admission.js'
import { FairQueue } from '../fairQueue.js'

interface Request {
  key: string
  arrivedAt: number
  urgency: number
  workspace?: string
}

let arrivals = 0

function request (key: string, workspace?: string, urgency = 1): Request {
  return { key, arrivedAt: ++arrivals, urgency, ...workspace === undefined ? {} : { workspace } }
}

function queueOf (...requests: Request[]): FairQueue<Request> {
  const queue = new FairQueue<Request>(({ urgency }) => urgency)
  for (const each of requests) queue.add(each)
  return queue
}

function takeAll (queue: FairQueue<Request>): string {
  const keys: string[] = []
  for (let next = queue.take(); next; next = queue.take()) keys.push(next.key)
  return keys.join(' ')
}

test('guards against the order of arrival being changed where there are no workspaces', (t) => {
  const random = new SeededRandom(7)
  const queue = queueOf()
  const waiting: Request[] = []
  for (let i = 0; i < 2_000; i++) {
    const step = random.next()
    const next = request(`r${i}`, undefined, Math.floor(3 * random.next()))
    if (step < 0.5) {
      t.is(queue.countAhead(next), waiting.filter(({ urgency }) => urgency <= next.urgency).length)
      t.is(queue.evictFor(next), undefined)
      queue.add(next)
      waiting.push(next)
    } else if (step < 0.55) {
      queue.recordStart(next)
    } else {
      waiting.sort((a, b) => a.urgency - b.urgency || a.arrivedAt - b.arrivedAt)
      t.is(queue.take(), waiting.shift())
    }
    t.is(queue.size, waiting.length)
  }
})

test('guards against a workspace with many requests taking the slots of the others', (t) => {
  const queue = queueOf(request('a1', 'a'), request('a2', 'a'), request('a3', 'a'), request('a4', 'a'), request('b1', 'b'), request('c1', 'c'), request('b2', 'b'))
  t.is(takeAll(queue), 'a1 b1 c1 a2 b2 a3 a4')
})

test('guards against fairness going before urgency', (t) => {
  const queue = queueOf(request('a1', 'a', 2), request('b1', 'b', 2), request('a2', 'a', 1), request('a3', 'a', 1), request('nested', undefined, -1))
  t.is(takeAll(queue), 'nested a2 a3 a1 b1')
})

test('guards against an idle workspace collecting credit', (t) => {
  const queue = queueOf(...Array.from({ length: 8 }, (_, i) => request(`a${i}`, 'a')))
  for (let i = 0; i < 4; i++) queue.take()
  for (let i = 0; i < 4; i++) queue.add(request(`b${i}`, 'b'))
  t.is(takeAll(queue), 'b0 a4 b1 a5 b2 a6 b3 a7')
})

test('guards against requests that start at once being left out of the share of their workspace', (t) => {
  const queue = queueOf()
  queue.recordStart(request('b0', 'b'))
  for (let i = 0; i < 3; i++) queue.recordStart(request(`a${i}`, 'a'))
  queue.add(request('a3', 'a'))
  queue.add(request('b1', 'b'))
  t.is(takeAll(queue), 'b1 a3')
})

test('guards against a wrong estimate of the requests before a new one', (t) => {
  const random = new SeededRandom(3)
  for (let round = 0; round < 200; round++) {
    const queue = queueOf()
    for (let i = 0; i < 20; i++) {
      const next = request(`r${i}`, random.pick(['a', 'b', 'c', undefined] as string[]), Math.floor(2 * random.next()))
      if (random.next() < 0.7) queue.add(next)
      else queue.take()
    }
    const last = request('last', random.pick(['a', 'd']))
    const ahead = queue.countAhead(last)
    queue.add(last)
    t.is(takeAll(queue).split(' ').indexOf('last'), ahead)
  }
})

test('guards against a workspace with few requests being refused for one with many', (t) => {
  const queue = queueOf(request('a1', 'a'), request('a2', 'a'), request('a3', 'a'), request('b1', 'b'))
  t.is(queue.evictFor(request('c1', 'c'))?.key, 'a3')
  t.is(queue.evictFor(request('a4', 'a')), undefined)
  t.is(queue.evictFor(request('b2', 'b')), undefined)
  t.is(queue.size, 3)
})

test('guards against state that grows with the number of workspaces', (t) => {
  const queue = queueOf()
  for (let i = 0; i < 5_000; i++) queue.recordStart(request(`r${i}`, `w${i}`))
  t.true(queue.flowCount <= 1_000, `${queue.flowCount}`)
})

function slotRequest (key: string, arrivedAt: number, workspace: string): SlotRequest {
  return { key, nested: false, priority: 1, targetLatencyMs: 600, deadlineAt: arrivedAt + 2_000, arrivedAt, deliveryMs: 0, workspace }
}

test('guards against a workspace that fills the queue keeping the requests of others out', (t) => {
  const admission = new Admission()
  admission.reset(2)
  for (let i = 0; i < 50; i++) admission.recordLatency(100, 600)
  const crowd = Array.from({ length: 12 }, (_, i) => admission.admit(slotRequest(`hot${i}`, 0, 'hot'), true, 0))
  t.true(crowd.includes('busy'), 'the queue must be full')
  t.is(admission.admit(slotRequest('other', 1, 'other'), true, 1), 'queued')
  const newest = `hot${crowd.lastIndexOf('queued')}`
  t.deepEqual(admission.takeEvicted().map(({ key }) => key), [newest])
  t.deepEqual(admission.takeEvicted(), [])
  admission.release(slotRequest('hot0', 0, 'hot'), 100, 100)
  t.deepEqual(admission.dequeueReady(100).map(({ key }) => key), ['other'])
})
