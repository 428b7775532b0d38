import test from 'ava'
import { Admission, type Ticket } from '../admission.js'
import { Ledger } from '../ledger.js'
import { LocalTarget, type Announcement } from '../localTarget.js'
import { judgeMessage } from '../responseCheck.js'
import type { HopReply } from '../../link/messages.js'

const names = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

function ticket (key: string, over: Partial<Ticket> = {}): Ticket {
  return { key, nested: false, priority: 1, targetLatencyMs: 600, deadlineAt: 2_000, arrivedAt: 0, ...over }
}

test('guards against more requests at the target than it has slots', (t) => {
  const admission = new Admission()
  admission.reset(2)
  t.deepEqual(['a', 'b', 'c'].map((key) => admission.offer(ticket(key), true, 0)), ['start', 'start', 'queued'])
  t.deepEqual(admission.takeReady(100), [])
  admission.finish(ticket('a'), 100, 100)
  t.deepEqual(admission.takeReady(100).map(({ key }) => key), ['c'])
  t.is(admission.running, 2)
})

test('guards against calls of running requests waiting behind new work', (t) => {
  const admission = new Admission()
  admission.reset(4)
  for (const key of ['1', '2', '3', '4']) admission.offer(ticket(key), true, 0)
  admission.offer(ticket('low', { priority: 2 }), true, 0)
  admission.offer(ticket('high', { priority: 1, arrivedAt: 1 }), true, 1)
  admission.offer(ticket('nested', { nested: true, priority: 9, arrivedAt: 2, targetLatencyMs: 200, deadlineAt: 600 }), true, 2)
  const order: string[] = []
  for (let i = 0; i < 3; i++) {
    admission.finish(ticket('1'), 100, 100)
    order.push(...admission.takeReady(100).map(({ key }) => key))
  }
  t.deepEqual(order, ['nested', 'high', 'low'])
})

test('guards against requests being held that cannot be served in their target latency', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.observe(300, 600)
  const outcomes = Array.from({ length: 5 }, (_, i) => admission.offer(ticket(`r${i}`), true, 0))
  t.deepEqual(outcomes, ['start', 'busy', 'busy', 'busy', 'busy'])
})

test('guards against requests waiting for slots that more urgent ones will take', (t) => {
  const admission = new Admission()
  admission.reset(2)
  for (let i = 0; i < 50; i++) admission.observe(140, 600)
  for (const key of ['1', '2']) admission.offer(ticket(key), true, 0)
  const nested = ticket('n', { nested: true, arrivedAt: 2_000, deadlineAt: 4_000 })
  for (let now = 0; now < 2_000; now += 100) for (let slot = 0; slot < 2; slot++) admission.finish(nested, 95, now)
  for (let slot = 0; slot < 2; slot++) admission.offer(nested, true, 2_000)
  t.is(admission.offer(ticket('late', { arrivedAt: 2_000, deadlineAt: 4_000 }), true, 2_000), 'busy')
  t.is(admission.offer({ ...nested, key: 'more' }, true, 2_000), 'queued')
})

test('guards against waits being underestimated again and again', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.observe(100, 600)
  admission.offer(ticket('running'), true, 0)
  let queued = 0
  for (let round = 0; round < 20; round++) {
    const now = round * 200
    admission.takeHopeless(now)
    if (admission.offer(ticket(`r${round}`, { arrivedAt: now, deadlineAt: now + 2_000 }), true, now) === 'queued') queued++
  }
  t.true(queued < 10, `${queued} of 20 were held in vain`)
})

test('guards against a queue that takes nobody in any more after its estimates were wrong', (t) => {
  const admission = new Admission()
  admission.reset(1)
  for (let i = 0; i < 50; i++) admission.observe(100, 600)
  admission.offer(ticket('running'), true, 0)
  let now = 0
  let last = 'queued'
  for (let round = 0; round < 20 && last === 'queued'; round++) {
    last = admission.offer(ticket(`r${round}`, { arrivedAt: now, deadlineAt: now + 2_000 }), true, now)
    now += 600
    admission.takeHopeless(now)
  }
  t.is(last, 'busy', 'estimates must have grown')
  now += 10_000
  t.is(admission.offer(ticket('later', { arrivedAt: now, deadlineAt: now + 2_000 }), true, now), 'queued')
})

test('guards against urgent requests being refused where less urgent ones may wait', (t) => {
  const admission = new Admission()
  admission.reset(4)
  for (const key of ['1', '2', '3', '4']) admission.offer(ticket(key), true, 0)
  const urgent = { priority: 1, targetLatencyMs: 100 }
  t.is(admission.offer(ticket('alone', urgent), true, 0), 'busy', 'its own patience is short')
  t.is(admission.offer(ticket('patient', { priority: 2 }), true, 0), 'queued')
  t.is(admission.offer(ticket('urgent', urgent), true, 0), 'queued')
})

test('guards against a request that waited too long still taking a slot', (t) => {
  const admission = new Admission()
  admission.reset(2)
  for (const key of ['1', '2', 'b']) admission.offer(ticket(key), true, 0)
  t.deepEqual(admission.takeHopeless(100), [])
  t.deepEqual(admission.takeHopeless(400).map(({ key }) => key), ['b'])
  t.is(admission.queued, 0)
})

test('guards against a call that was revoked before it arrived being run', (t) => {
  const ledger = new Ledger()
  const replies: HopReply[] = []
  t.is(ledger.settle('k', (reply) => replies.push(reply), 0), 'revoked')
  t.false(ledger.open('k', () => t.fail('must not be answered')))
  t.deepEqual(replies, [{ kind: 'notRun', reason: 'revoked' }])
})

test('guards against the answer of a call being lost with its connection', (t) => {
  const ledger = new Ledger()
  const heard: string[] = []
  ledger.open('k', () => heard.push('first'))
  ledger.detach('k')
  t.is(ledger.settle('k', () => heard.push('second'), 1), 'attached')
  ledger.end('k', { kind: 'failed', reason: 'reset' }, 2)
  t.is(ledger.settle('k', () => heard.push('third'), 3), 'ended')
  t.deepEqual(heard, ['second', 'third'])
})

test('guards against revoked calls being forgotten while they can still arrive', (t) => {
  const ledger = new Ledger()
  ledger.settle('k', () => {}, 0)
  ledger.prune(10_000)
  t.false(ledger.open('k', () => {}))
  ledger.prune(40_000)
  t.true(ledger.open('k', () => {}))
})

function announcement (over: Partial<Announcement> = {}): Announcement {
  return { id: 'i-1', service: 's', version: 'v1', slots: 6, state: 'ready', coldMs: 0, sequence: 1, startedAt: 1_000, ...over }
}

interface LocalCase { name: string, steps: [at: number, step: Partial<Announcement> | { leave: string }][], at: number }

const localCases: LocalCase[] = [
  { name: 'a late announcement does not undo draining', steps: [[0, { sequence: 1 }], [10, { sequence: 3, state: 'draining' }], [20, { sequence: 2 }]], at: 30 },
  { name: 'draining is final for one start', steps: [[0, { state: 'draining' }], [10, { sequence: 2, state: 'ready' }]], at: 20 },
  { name: 'one that left stays gone', steps: [[0, {}], [10, { leave: 'i-1' }], [20, { sequence: 2 }]], at: 30 },
  { name: 'one that left before it was known stays gone', steps: [[10, { leave: 'i-1' }], [20, { startedAt: 5 }]], at: 30 },
  { name: 'born again under its id', steps: [[0, {}], [10, { leave: 'i-1' }], [20, { sequence: 1, startedAt: 2_000 }]], at: 30 },
  { name: 'an earlier start does not replace a later one', steps: [[0, { id: 'i-2', startedAt: 2_000 }], [10, { sequence: 9 }]], at: 30 },
  { name: 'a silent target counts as gone', steps: [[0, {}]], at: 7_000 },
  { name: 'an earlier start replaces a silent one', steps: [[0, { id: 'i-2', startedAt: 2_000 }], [9_000, { sequence: 9 }]], at: 9_010 },
  { name: 'leaving of another target changes nothing', steps: [[0, {}], [10, { leave: 'i-0' }]], at: 30 }
]

for (const { name, steps, at } of localCases) {
  test(`guards the target beside the daemon: ${name}`, (t) => {
    const local = new LocalTarget(1_500)
    for (const [now, step] of steps) {
      if ('leave' in step) local.leave(step.leave, 1_000 + now)
      else local.announce(announcement(step), now)
    }
    t.snapshot(local.record(at) ?? 'none')
  })
}

const messages: [name: string, status: number, headers: string[]][] = [
  ['whole answer', 200, ['X-Id', 'r1', 'X-Sig', 's', 'X-Load', '2,0,6']],
  ['failure of the target', 500, ['x-id', 'r1', 'x-sig', 's']],
  ['answer to another request', 200, ['x-id', 'r0', 'x-sig', 's']],
  ['interim answer', 100, []],
  ['no signature', 200, ['x-id', 'r1']],
  ['no id', 200, ['x-sig', 's']],
  ['refused as full', 503, ['x-id', 'r1', 'x-not-run', '1']],
  ['refusal that does not say so', 503, ['x-id', 'r1']],
  ['another target', 421, ['x-instance', 'i-9']],
  ['load that cannot be read', 200, ['x-id', 'r1', 'x-sig', 's', 'x-load', '2,many,6']]
]

for (const [name, status, headers] of messages) {
  test(`guards against taking a wrong message for an answer: ${name}`, (t) => {
    t.snapshot(judgeMessage({ status, headers, body: Buffer.alloc(0), unframed: false }, 'r1', names))
  })
}

test('guards against a target that left being used again after a restart of the daemon beside it', (t) => {
  const before = new LocalTarget(1_500)
  const announcement: Announcement = { id: 'i', service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0, sequence: 4, startedAt: 1_000 }
  before.announce(announcement, 0)
  before.announce({ ...announcement, sequence: 5, state: 'draining' }, 100)
  const restarted = new LocalTarget(1_500)
  restarted.announce({ ...announcement, sequence: 3 }, 200)
  restarted.recall(before.leavings())
  t.is(restarted.record(200)?.state, 'draining', 'a late announcement that came first')
  restarted.announce({ ...announcement, sequence: 4 }, 300)
  t.is(restarted.record(300)?.state, 'draining', 'a late announcement that comes after')
  before.leave('i', 0)
  restarted.recall(before.leavings())
  t.is(restarted.record(400), undefined)
  t.is(restarted.announce({ ...announcement, sequence: 9 }, 500), 'stale')
  t.is(restarted.announce({ ...announcement, sequence: 1, startedAt: 2_000 }, 600), 'taken', 'a later start of the same id')
})
