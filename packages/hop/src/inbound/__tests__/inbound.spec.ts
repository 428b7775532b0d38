import test from 'ava'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { Admission, type SlotRequest } from '../admission.js'
import { CallRegistry } from '../callRegistry.js'
import { LocalTarget, type Announcement } from '../localTarget.js'
import { classifyMessage } from '../classifyMessage.js'
import type { HopReply } from '../../link/messages.js'

function slotRequest (key: string, overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { key, nested: false, priority: 1, targetLatencyMs: 600, deadlineAt: 2_000, arrivedAt: 0, deliveryMs: 0, ...overrides }
}

test('guards against more requests at the target than it has slots', (t) => {
  const admission = new Admission()
  admission.reset(2)
  t.deepEqual(['a', 'b', 'c'].map((key) => admission.admit(slotRequest(key), true, 0)), ['start', 'start', 'queued'])
  t.deepEqual(admission.dequeueReady(100), [])
  admission.release(slotRequest('a'), 100, 100)
  t.deepEqual(admission.dequeueReady(100).map(({ key }) => key), ['c'])
  t.is(admission.running, 2)
})

test('guards against a request being started whose answer would wait for the link while another host may have room', (t) => {
  const admission = new Admission()
  admission.reset(2)
  const waitsFor = (deliveryMs: number, overrides: Partial<SlotRequest> = {}): SlotRequest => slotRequest('a', { deliveryMs, ...overrides })
  t.is(admission.admit(waitsFor(300), false, 0), 'busy')
  t.is(admission.admit(waitsFor(300), true, 0), 'start', 'it ends in time')
  t.is(admission.admit(waitsFor(900), true, 0), 'busy', 'it would be late')
  t.is(admission.admit(waitsFor(300, { nested: true }), false, 0), 'start', 'without it the work of another request is lost')
})

test('guards against nested calls waiting behind new requests', (t) => {
  const admission = new Admission()
  admission.reset(4)
  for (const key of ['1', '2', '3', '4']) admission.admit(slotRequest(key), true, 0)
  admission.admit(slotRequest('low', { priority: 2 }), true, 0)
  admission.admit(slotRequest('high', { priority: 1, arrivedAt: 1 }), true, 1)
  admission.admit(slotRequest('nested', { nested: true, priority: 9, arrivedAt: 2, targetLatencyMs: 200, deadlineAt: 600 }), true, 2)
  const order: string[] = []
  for (let i = 0; i < 3; i++) {
    admission.release(slotRequest('1'), 100, 100)
    order.push(...admission.dequeueReady(100).map(({ key }) => key))
  }
  t.deepEqual(order, ['nested', 'high', 'low'])
})

test('guards against queueing requests that can\'t be served within their target latency', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.recordLatency(300, 600)
  const outcomes = Array.from({ length: 5 }, (_, i) => admission.admit(slotRequest(`r${i}`), true, 0))
  t.deepEqual(outcomes, ['start', 'busy', 'busy', 'busy', 'busy'])
})

test('guards against queueing requests for slots that more urgent ones will take', (t) => {
  const admission = new Admission()
  admission.reset(2)
  for (let i = 0; i < 50; i++) admission.recordLatency(140, 600)
  for (const key of ['1', '2']) admission.admit(slotRequest(key), true, 0)
  const nested = slotRequest('n', { nested: true, arrivedAt: 2_000, deadlineAt: 4_000 })
  for (let now = 0; now < 2_000; now += 100) for (let slot = 0; slot < 2; slot++) admission.release(nested, 95, now)
  for (let slot = 0; slot < 2; slot++) admission.admit(nested, true, 2_000)
  t.is(admission.admit(slotRequest('late', { arrivedAt: 2_000, deadlineAt: 4_000 }), true, 2_000), 'busy')
  t.is(admission.admit({ ...nested, key: 'more' }, true, 2_000), 'queued')
})

test('guards against underestimating the wait again and again', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.recordLatency(100, 600)
  admission.admit(slotRequest('running'), true, 0)
  let queued = 0
  for (let round = 0; round < 20; round++) {
    const now = round * 200
    admission.dequeueExpired(now)
    if (admission.admit(slotRequest(`r${round}`, { arrivedAt: now, deadlineAt: now + 2_000 }), true, now) === 'queued') queued++
  }
  t.true(queued < 10, `${queued} of 20 were queued in vain`)
})

test('guards against a queue that stays closed after its wait estimates were too low', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.recordLatency(100, 600)
  admission.admit(slotRequest('running'), true, 0)
  let now = 0
  let last = 'queued'
  for (let round = 0; round < 20 && last === 'queued'; round++) {
    last = admission.admit(slotRequest(`r${round}`, { arrivedAt: now, deadlineAt: now + 2_000 }), true, now)
    now += 600
    admission.dequeueExpired(now)
  }
  t.is(last, 'busy', 'the wait estimate must have grown')
  now += 10_000
  t.is(admission.admit(slotRequest('later', { arrivedAt: now, deadlineAt: now + 2_000 }), true, now), 'queued')
})

test('guards against rejecting urgent requests where less urgent ones may wait', (t) => {
  const admission = new Admission()
  admission.reset(4)
  for (const key of ['1', '2', '3', '4']) admission.admit(slotRequest(key), true, 0)
  const urgent = { priority: 1, targetLatencyMs: 100 }
  t.is(admission.admit(slotRequest('alone', urgent), true, 0), 'busy', 'its own longest wait is short')
  t.is(admission.admit(slotRequest('lessUrgent', { priority: 2 }), true, 0), 'queued')
  t.is(admission.admit(slotRequest('urgent', urgent), true, 0), 'queued')
})

test('guards against a request that expired in the queue taking a slot', (t) => {
  const admission = new Admission()
  admission.reset(2)
  for (const key of ['1', '2', 'b']) admission.admit(slotRequest(key), true, 0)
  t.deepEqual(admission.dequeueExpired(100), [])
  t.deepEqual(admission.dequeueExpired(400).map(({ key }) => key), ['b'])
  t.is(admission.queued, 0)
})

test('guards against running a call that was revoked before it arrived', (t) => {
  const registry = new CallRegistry()
  const replies: HopReply[] = []
  t.is(registry.settle('k', (reply) => replies.push(reply), 0), 'revoked')
  t.false(registry.register('k', () => t.fail('must not be replied to')))
  t.deepEqual(replies, [{ kind: 'notRun', reason: 'revoked' }])
})

test('guards against losing the reply of a call with its connection', (t) => {
  const registry = new CallRegistry()
  const received: string[] = []
  registry.register('k', () => received.push('first'))
  registry.detach('k')
  t.is(registry.settle('k', () => received.push('second'), 1), 'attached')
  registry.complete('k', { kind: 'failed', reason: 'reset' }, 2)
  t.is(registry.settle('k', () => received.push('third'), 3), 'ended')
  t.deepEqual(received, ['second', 'third'])
})

test('guards against forgetting revoked calls while they may still arrive', (t) => {
  const registry = new CallRegistry()
  registry.settle('k', () => {}, 0)
  registry.prune(10_000)
  t.false(registry.register('k', () => {}))
  registry.prune(40_000)
  t.true(registry.register('k', () => {}))
})

function announcement (overrides: Partial<Announcement> = {}): Announcement {
  return { id: 'i-1', service: 's', version: 'v1', slots: 6, state: 'ready', coldMs: 0, sequence: 1, startedAt: 1_000, ...overrides }
}

interface LocalCase { name: string, steps: [at: number, step: Partial<Announcement> | { leave: string }][], at: number }

const localCases: LocalCase[] = [
  { name: 'a late announcement does not undo draining', steps: [[0, { sequence: 1 }], [10, { sequence: 3, state: 'draining' }], [20, { sequence: 2 }]], at: 30 },
  { name: 'draining is final until the target starts again', steps: [[0, { state: 'draining' }], [10, { sequence: 2, state: 'ready' }]], at: 20 },
  { name: 'a target that left stays gone', steps: [[0, {}], [10, { leave: 'i-1' }], [20, { sequence: 2 }]], at: 30 },
  { name: 'a target that left before it was known stays gone', steps: [[10, { leave: 'i-1' }], [20, { startedAt: 5 }]], at: 30 },
  { name: 'a target that left is back when it starts again under its id', steps: [[0, {}], [10, { leave: 'i-1' }], [20, { sequence: 1, startedAt: 2_000 }]], at: 30 },
  { name: 'an earlier start does not replace a later one', steps: [[0, { id: 'i-2', startedAt: 2_000 }], [10, { sequence: 9 }]], at: 30 },
  { name: 'a target that no longer announces itself counts as gone', steps: [[0, {}]], at: 7_000 },
  { name: 'an earlier start replaces a target that no longer announces itself', steps: [[0, { id: 'i-2', startedAt: 2_000 }], [9_000, { sequence: 9 }]], at: 9_010 },
  { name: 'an announcement of an earlier start that leaves does not replace a later one', steps: [[0, { id: 'i-2', startedAt: 2_000 }], [10, { sequence: 9, state: 'draining' }]], at: 30 },
  { name: 'the departure of another target changes nothing', steps: [[0, {}], [10, { leave: 'i-0' }]], at: 30 }
]

for (const { name, steps, at } of localCases) {
  test(`guards against a wrong state of the target beside the daemon: ${name}`, (t) => {
    const local = new LocalTarget(1_500)
    for (const [now, step] of steps) {
      if ('leave' in step) local.leave(step.leave, 1_000 + now)
      else local.announce(announcement(step), now)
    }
    t.snapshot(local.record(at) ?? 'none')
  })
}

const messages: [name: string, status: number, headers: string[]][] = [
  ['complete response', 200, ['X-Id', 'r1', 'X-Sig', 's', 'X-Load', '2,0,6']],
  ['server error of the target', 500, ['x-id', 'r1', 'x-sig', 's']],
  ['response to another request', 200, ['x-id', 'r0', 'x-sig', 's']],
  ['interim response', 100, []],
  ['no signature', 200, ['x-id', 'r1']],
  ['no id', 200, ['x-sig', 's']],
  ['rejected as over capacity', 503, ['x-id', 'r1', 'x-not-run', '1']],
  ['rejection without the header for it', 503, ['x-id', 'r1']],
  ['another target', 421, ['x-instance', 'i-9']],
  ['limit and leaving', 200, ['x-id', 'r1', 'x-sig', 's', 'X-Limit', '17.5', 'x-leaving', '1']],
  ['limit of a target that rejected it', 503, ['x-id', 'r1', 'x-not-run', '1', 'x-limit', '0']],
  ['limit that cannot be read', 200, ['x-id', 'r1', 'x-sig', 's', 'x-limit', '1e9']],
  ['control character in a header value', 200, ['x-id', 'r1', 'x-sig', 's', 'X-Note', 'a\x01b']],
  ['line break in a header value', 200, ['x-id', 'r1', 'x-sig', 's', 'X-Note', 'a\nX-Other: b']],
  ['name of a header that is no token', 200, ['x-id', 'r1', 'x-sig', 's', 'X Note', 'a']],
  ['empty name of a header', 200, ['x-id', 'r1', 'x-sig', 's', '', 'a']],
  ['bytes above 127 in a header value', 200, ['x-id', 'r1', 'x-sig', 's', 'X-Note', '\u00e3\u0081\u008b\tb']],
  ['control character in a rejection', 503, ['x-id', 'r1', 'x-not-run', '1', 'X-Note', 'a\x01b']],
  ['load that cannot be read', 200, ['x-id', 'r1', 'x-sig', 's', 'x-load', '2,many,6']]
]

for (const [name, status, headers] of messages) {
  test(`guards against a wrong result from a target's message: ${name}`, (t) => {
    t.snapshot(classifyMessage({ status, headers, body: Buffer.alloc(0), unframed: false }, 'r1', true, names))
  })
}

test('guards against forgetting that a target leaves because a later one on the same host was announced first', (t) => {
  const local = new LocalTarget(1_500)
  local.announce(announcement({ id: 'i-2', startedAt: 2_000 }), 0)
  t.is(local.announce(announcement({ sequence: 9, state: 'draining' }), 10), 'stale')
  t.deepEqual(local.departures(), [{ id: 'i-1', startedAt: 1_000, state: 'draining' }])
})

test('guards against using a target that left again after the daemon beside it restarted', (t) => {
  const before = new LocalTarget(1_500)
  const announcement: Announcement = { id: 'i', service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0, sequence: 4, startedAt: 1_000 }
  before.announce(announcement, 0)
  before.announce({ ...announcement, sequence: 5, state: 'draining' }, 100)
  const restarted = new LocalTarget(1_500)
  restarted.announce({ ...announcement, sequence: 3 }, 200)
  restarted.addDepartures(before.departures())
  t.is(restarted.record(200)?.state, 'draining', 'a late announcement that came first')
  restarted.announce({ ...announcement, sequence: 4 }, 300)
  t.is(restarted.record(300)?.state, 'draining', 'a late announcement that comes after')
  before.leave('i', 0)
  restarted.addDepartures(before.departures())
  t.is(restarted.record(400), undefined)
  t.is(restarted.announce({ ...announcement, sequence: 9 }, 500), 'stale')
  t.is(restarted.announce({ ...announcement, sequence: 1, startedAt: 2_000 }, 600), 'accepted', 'a later start of the same id')
})
