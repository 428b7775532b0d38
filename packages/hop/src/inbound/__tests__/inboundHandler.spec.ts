import test from 'ava'
import type { CallMessage, HopReply } from '../../link/messages.js'
import { TestSetup } from './inboundSetup.js'

const rejections: [name: string, prepare: (setup: TestSetup) => void, overrides: Partial<CallMessage>][] = [
  ['no target', (setup) => { setup.target = undefined }, {}],
  ['a draining target', (setup) => { setup.target = { ...setup.target!, state: 'draining' } }, {}],
  ['another target', () => {}, { targetId: 'i-0' }],
  ['another service', () => {}, { service: 'other' }],
  ['an earlier incarnation of the daemon', () => {}, { incarnation: 6 }],
  ['a version that is no longer allowed', (setup) => { setup.isVersionAllowed = false }, {}]
]
for (const [name, prepare, overrides] of rejections) {
  test(`guards against a request reaching ${name}`, (t) => {
    const setup = new TestSetup()
    prepare(setup)
    setup.offer('a', overrides)
    t.is(setup.sent.length, 0)
    t.is(setup.replies.get('a')?.kind, 'notRun')
    t.snapshot(setup.outcomeOf('a'))
  })
}

test('guards against starting queued requests on a target that began to drain', (t) => {
  const setup = new TestSetup()
  for (const key of ['a', 'b', 'c']) setup.offer(key)
  setup.target = { ...setup.target!, state: 'draining' }
  setup.handler.onTargetChange()
  setup.respond('a')
  t.deepEqual(['a', 'b', 'c'].map((key) => setup.outcomeOf(key)), ['200', 'open', 'notRun draining'])
  t.deepEqual(setup.sent.map(({ id }) => id), ['a', 'b'])
})

test('guards against starting a queued call after it was settled', (t) => {
  const setup = new TestSetup()
  for (const key of ['a', 'b', 'c']) setup.offer(key)
  setup.handler.settle('c', 7, () => {})
  t.is(setup.outcomeOf('c'), 'open', 'the reply goes to the sender that settled it')
  setup.respond('a')
  t.deepEqual(setup.sent.map(({ id }) => id), ['a', 'b'])
})

test('guards against settling a running call as not run', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.handler.onSenderDisconnect('a')
  let settled: HopReply | undefined
  setup.handler.settle('a', 7, (reply) => { settled = reply })
  t.is(settled, undefined)
  setup.respond('a')
  t.is(settled!.kind, 'response')
})

test('guards against a restarted daemon saying that a call of its earlier incarnation did not run', (t) => {
  const setup = new TestSetup()
  let settled: HopReply | undefined
  setup.handler.settle('a', 6, (reply) => { settled = reply })
  t.deepEqual(settled, { kind: 'failed', reason: 'lost' })
})

test('guards against running requests for callers that left, and against aborting requests that aren\'t idempotent', (t) => {
  const setup = new TestSetup()
  setup.offer('read')
  setup.offer('write', { idempotent: false })
  setup.offer('queued')
  for (const key of ['queued', 'read', 'write']) setup.handler.cancel(key)
  t.deepEqual(setup.sent.map(({ id, isAborted }) => [id, isAborted]), [['read', true], ['write', false]])
  t.is(setup.outcomeOf('queued'), 'notRun revoked')
})

test('guards against a request running on for a daemon that is gone', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.handler.onSenderDisconnect('a')
  setup.timers.advance(2_000)
  t.true(setup.sent[0]!.isAborted)
})

test('guards against requests piling up at an unresponsive target', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.timers.advance(900)
  setup.offer('b')
  t.is(setup.outcomeOf('b'), 'open', 'slow, but still announces itself')
  setup.isAnnouncementOverdue = true
  setup.offer('c')
  t.is(setup.outcomeOf('c'), 'notRun unreachable')
  setup.respond('a')
  setup.offer('d')
  t.is(setup.outcomeOf('d'), 'open')
})

test('guards against running requests whose nested calls would displace more urgent requests elsewhere', (t) => {
  const setup = new TestSetup()
  setup.offer('parent', { route: 'browse', priority: 2 })
  setup.handler.recordNestedCall('parent.1', 'orders')
  setup.respond('parent')
  setup.rejectionRate = 1
  const keys = Array.from({ length: 20 }, (_, i) => `k${i}`)
  for (const key of keys) {
    setup.offer(key, { route: 'browse', priority: 2 })
    setup.offer(`other-${key}`, { route: 'other' })
    setup.offer(`nested-${key}`, { route: 'browse', nested: true })
  }
  const displaced = keys.filter((key) => setup.outcomeOf(key) === 'notRun displacing').length
  t.true(displaced >= 10 && displaced < 20, `${displaced} of 20`)
  t.false([...setup.replies.keys()].some((key) => /^(other|nested)/.test(key) && setup.outcomeOf(key) === 'notRun displacing'))
})

test('guards against other daemons not learning that urgent requests are rejected', (t) => {
  const setup = new TestSetup()
  for (let i = 0; i < 60; i++) setup.offer(`k${i}`, { priority: 1 })
  const load = setup.handler.load()!
  t.is(load.pressedPriority, 1)
  t.true(load.pressedShare! > 0.3 && load.pressedShare! <= 1, String(load.pressedShare))
  setup.timers.advance(30_000)
  t.is(setup.handler.load()!.pressedShare, undefined)
})

test('guards against an offer that only asks for a free slot running or holding one', (t) => {
  const setup = new TestSetup()
  setup.offer('a', { mode: 'ask' })
  setup.offer('b', { mode: 'ask' })
  setup.offer('c')
  setup.offer('d')
  setup.offer('e', { mode: 'ask' })
  t.deepEqual(['a', 'b', 'e'].map((key) => setup.outcomeOf(key)), ['notRun vacant', 'notRun vacant', 'notRun busy'])
  t.deepEqual(setup.sent.map(({ id }) => id), ['c', 'd'])
})

test('guards against logs that show neither the limit that a target states nor what it was sent', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a', { limitPerS: 20.5 })
  setup.offer('b', { nested: true })
  setup.offer('c', { repeat: true })
  setup.timers.advance(1_000)
  setup.respond('b')
  t.snapshot(setup.decisions)
})

test('guards against a daemon that has just started sending a target more than the limit that senders have heard of', (t) => {
  const setup = new TestSetup()
  setup.target = { ...setup.target!, id: 'i-2', slots: 12 }
  setup.handler.onTargetChange()
  for (let i = 0; i < 40; i++) {
    setup.offer(`k${i}`, { targetId: 'i-2', heardLimitPerS: 2 })
    setup.timers.advance(100)
  }
  t.true(setup.sent.length > 0)
  t.true(setup.sent.length <= 9, `${setup.sent.length} in 4 s`)
})

test('guards against a limit that a sender heard of earlier replacing what the target states now', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a')
  setup.offer('b', { heardLimitPerS: 0 })
  t.is(setup.outcomeOf('b'), 'open')
  t.is(setup.sent.length, 2)
  t.is(setup.handler.load()!.limitPerS, Infinity)
})

test('guards against a limit outliving the start of the target that stated it', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a', { limitPerS: 0 })
  setup.target = { ...setup.target!, startedAt: 2_000 }
  setup.handler.onTargetChange()
  setup.offer('b')
  t.is(setup.sent.length, 2)
})

test('guards against rejected senders all coming back for the same request', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a', { limitPerS: 10 })
  const waits = Array.from({ length: 5 }, (_, i) => {
    setup.offer(`k${i}`, { mode: 'now' })
    const reply = setup.replies.get(`k${i}`)!
    t.is(setup.outcomeOf(`k${i}`), 'notRun limited')
    return Math.round(reply.load!.limitedMs!)
  })
  t.deepEqual(waits, [100, 200, 300, 400, 500])
})

test('guards against a limited target keeping requests waiting that can\'t be served in time', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a', { limitPerS: 1 })
  setup.offer('b')
  t.is(setup.outcomeOf('b'), 'notRun limited')
})

test('guards against a cold target getting more requests than its service has them tolerate', (t) => {
  const setup = new TestSetup()
  setup.coldPerS = 5
  setup.target = { ...setup.target!, id: 'i-2', slots: 12, coldMs: 2_000 }
  setup.handler.onTargetChange()
  const offerFor = (ms: number): number => {
    const before = setup.sent.length
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      setup.offer(`k${setup.timers.now()}`, { targetId: 'i-2' })
      setup.timers.advance(50)
      for (const { id } of setup.sent.filter(({ id }) => setup.outcomeOf(id) === 'open')) setup.respond(id)
    }
    return setup.sent.length - before
  }
  const sentWhileCold = offerFor(2_000)
  t.true(sentWhileCold >= 8 && sentWhileCold <= 13, String(sentWhileCold))
  setup.target = { ...setup.target, coldMs: 0 }
  t.true(offerFor(1_000) >= 20)
})

test('guards against a call without an end, and a slot that stays taken, when handling the result fails', (t) => {
  const setup = new TestSetup()
  for (const key of ['a', 'b', 'c']) setup.offer(key)
  setup.failOnResult = true
  setup.respond('a')
  setup.failOnResult = false
  setup.respond('b')
  t.deepEqual(['a', 'b', 'c'].map((key) => setup.outcomeOf(key)), ['failed lost', '200', 'open'])
  t.deepEqual(setup.sent.map(({ id }) => id), ['a', 'b', 'c'])
})

test('guards against a call that ran being settled as not run because its reply was forgotten meanwhile', (t) => {
  const setup = new TestSetup()
  setup.offer('h1/1/1', { idempotent: false })
  setup.handler.onSenderDisconnect('h1/1/1')
  setup.respond('h1/1/1')
  setup.timers.advance(20_000)
  const settle = (key: string): HopReply | undefined => {
    let settled: HopReply | undefined
    setup.handler.settle(key, 7, (reply) => { settled = reply })
    return settled
  }
  t.deepEqual(settle('h1/1/1'), { kind: 'failed', reason: 'lost' })
  t.like(settle('h1/1/2'), { kind: 'notRun', reason: 'revoked' }, 'a later call of the sender')
  t.like(settle('h1/2/1'), { kind: 'notRun', reason: 'revoked' }, 'a later start of the sender')
})

test('guards against the log of a target\'s daemon not telling whose request ran', (t) => {
  const setup = new TestSetup()
  setup.offer('a', { workspace: 'hotel' })
  setup.offer('b')
  for (const id of ['a', 'b']) setup.respond(id)
  t.snapshot(setup.lines)
})

test('guards against a call that had to leave the queue to another workspace never being answered', (t) => {
  const setup = new TestSetup()
  const crowd = Array.from({ length: 12 }, (_, i) => `hot${i}`)
  const patient = { targetLatencyMs: 2_000, deadlineMs: 5_000 }
  for (const key of crowd) setup.offer(key, { ...patient, workspace: 'hot' })
  const queued = crowd.slice(2).filter((key) => setup.outcomeOf(key) === 'open')
  setup.offer('other', { ...patient, workspace: 'other' })
  t.is(setup.outcomeOf(queued.at(-1)!), 'notRun busy')
  t.is(setup.outcomeOf('other'), 'open')
  setup.respond('hot0')
  t.deepEqual(setup.sent.map(({ id }) => id), ['hot0', 'hot1', 'other'])
})
