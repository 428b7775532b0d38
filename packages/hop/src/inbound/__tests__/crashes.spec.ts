import test from 'ava'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { requestFingerprint } from '../../quarantine/requestFingerprint.js'
import type { TargetResult } from '../targetResult.js'
import { TestSetup } from './inboundSetup.js'

const FAILED: TargetResult = { kind: 'failed', reason: 'reset' }

function fail (setup: TestSetup, id: string): void {
  setup.sent.find((entry) => entry.id === id)!.done(FAILED)
}

/** A target that has served a request, and runs two others. */
function setupWithRunningCalls (): TestSetup {
  const setup = new TestSetup()
  setup.offer('first', { url: '/first' })
  setup.respond('first')
  setup.offer('a', { url: '/a' })
  setup.offer('b', { url: '/b' })
  return setup
}

/** Likewise, but one of the two runs for the second time after it ran well. */
function setupWithRepeatedCall (): TestSetup {
  const setup = setupWithRunningCalls()
  setup.respond('a')
  setup.offer('again', { url: '/a' })
  return setup
}

test('guards against a lost connection being taken for a crash of the target', (t) => {
  const setup = setupWithRunningCalls()
  fail(setup, 'a')
  t.is(setup.outcomeOf('a'), 'failed reset')
  t.true(setup.quarantine.isEmpty)
})

test('guards against a crash being taken for a lost connection, and against other requests than those that ran being suspected', (t) => {
  const setup = setupWithRunningCalls()
  setup.connectOutcome = 'refused'
  fail(setup, 'a')
  fail(setup, 'b')
  t.deepEqual(['a', 'b'].map((key) => setup.outcomeOf(key)), ['failed crashed', 'failed crashed'])
  t.is(setup.quarantine.all().reports[0]!.suspects.length, 2)
})

test('guards against a crash of a target that is back at once going unnoticed', (t) => {
  const setup = setupWithRunningCalls()
  fail(setup, 'a')
  setup.target = { ...setup.target!, startedAt: 2_000 }
  setup.handler.onTargetChange()
  t.is(setup.quarantine.all().reports[0]!.suspects.length, 1)
})

test('guards against requests being suspected because a target that had said that it leaves has ended', (t) => {
  const setup = setupWithRunningCalls()
  setup.target = { ...setup.target!, state: 'draining' }
  setup.handler.onTargetChange()
  setup.connectOutcome = 'refused'
  fail(setup, 'a')
  t.true(setup.quarantine.isEmpty)
})

test('guards against requests being suspected because a target crashes at its start', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.connectOutcome = 'refused'
  fail(setup, 'a')
  t.true(setup.quarantine.isEmpty)
})

test('guards against a frequent request being suspected, which targets of the version have run well', (t) => {
  const setup = setupWithRepeatedCall()
  setup.connectOutcome = 'refused'
  fail(setup, 'again')
  t.is(setup.quarantine.all().reports[0]!.suspects.length, 1)
})

test('guards against a caller\'s daemon treating a request as a suspect that has run well where the target ended', (t) => {
  const setup = setupWithRepeatedCall()
  setup.connectOutcome = 'refused'
  fail(setup, 'again')
  fail(setup, 'b')
  t.deepEqual(['again', 'b'].map((key) => setup.outcomeOf(key)), ['failed targetEnded', 'failed crashed'])
})

test('guards against a suspect running twice at a time, and against a blocked request running', (t) => {
  const setup = setupWithRunningCalls()
  setup.offer('c', { url: '/a', suspect: true })
  t.is(setup.outcomeOf('c'), 'notRun suspect')
  setup.respond('b')
  setup.connectOutcome = 'refused'
  for (let i = 0; i < 3; i++) {
    if (i > 0) setup.offer(`a${i}`, { url: '/a' })
    fail(setup, i === 0 ? 'a' : `a${i}`)
    setup.timers.advance(6_000)
  }
  setup.offer('d', { url: '/a' })
  t.is(setup.outcomeOf('d'), 'notRun quarantined')
})

test('guards against a run of a blocked request going on until it crashes the target', (t) => {
  const setup = setupWithRunningCalls()
  setup.handler.cancelRefused(requestFingerprint({ method: 'GET', url: '/a', headers: [], body: new Uint8Array() }, names))
  t.deepEqual(setup.sent.filter(({ isAborted }) => isAborted).map(({ id }) => id), ['a'])
})

test('guards against a request being retried though a call that it makes is refused for good', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.handler.recordNestedRefusal('a.1')
  setup.sent[0]!.done({ kind: 'response', status: 500, headers: [], body: Buffer.alloc(0), unframed: false, statement: { isLeaving: false } })
  const reply = setup.replies.get('a')
  t.true(reply?.kind === 'response' && reply.isFinal)
})

test('guards against a request that waits for a slot running while it is held', (t) => {
  const setup = setupWithRunningCalls()
  setup.offer('waiting', { url: '/deadly' })
  t.is(setup.outcomeOf('waiting'), 'open')
  setup.quarantine.reportCrash('s', [requestFingerprint({ method: 'GET', url: '/deadly', headers: [], body: new Uint8Array() }, names)])
  setup.respond('a')
  t.is(setup.outcomeOf('waiting'), 'notRun suspect')
  setup.timers.advance(150)
  setup.offer('later', { url: '/deadly' })
  t.is(setup.outcomeOf('later'), 'open')
  t.true(setup.sent.some(({ id }) => id === 'later'))
})

test('guards against two requests that ran on the same two crashed targets being blocked together after a third', (t) => {
  const setup = setupWithRunningCalls()
  setup.respond('a')
  setup.respond('b')
  const fingerprints = ['/c', '/d'].map((url) => requestFingerprint({ method: 'GET', url, headers: [], body: new Uint8Array() }, names))
  for (let i = 0; i < 2; i++) {
    setup.quarantine.reportCrash('s', fingerprints)
    setup.timers.advance(1_000)
  }
  setup.timers.advance(5_000)
  setup.offer('c', { url: '/c' })
  setup.offer('d', { url: '/d' })
  t.deepEqual(['c', 'd'].map((key) => setup.outcomeOf(key)), ['open', 'notRun suspect'])
  setup.respond('c')
  setup.offer('d2', { url: '/d' })
  t.is(setup.outcomeOf('d2'), 'open')
})
