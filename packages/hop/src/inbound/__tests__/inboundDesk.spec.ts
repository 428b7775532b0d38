import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import type { TargetRecord } from '../../fleet/records.js'
import type { CallMessage, HopReply } from '../../link/messages.js'
import { NoCallLog } from '../../observe/callLog.js'
import { InboundDesk } from '../inboundDesk.js'
import type { TargetResult } from '../targetResult.js'

const names = {
  requestId: 'x-id', deadline: 'x-deadline', expectedTarget: 'x-expected', notRun: 'x-not-run', load: 'x-load', callerService: 'x-caller', signature: 'x-sig'
}

class Bench {
  readonly timers = new VirtualTimers()
  readonly sent: { id: string, done (result: TargetResult): void, gaveUp: boolean }[] = []
  readonly replies = new Map<string, HopReply>()
  target: TargetRecord | undefined = { id: 'i-1', service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0 }
  overdue = false
  open = true
  pressed = 0
  readonly desk = new InboundDesk({
    timers: this.timers,
    random: new SeededRandom(1),
    log: new NoCallLog(),
    names,
    client: {
      send: (request, _idempotent, done) => {
        const entry = { id: request.requestId, done, gaveUp: false }
        this.sent.push(entry)
        return () => {
          entry.gaveUp = true
          done({ kind: 'failed', reason: 'cancelled' })
        }
      },
      reset: () => {}
    },
    target: () => this.target,
    isOverdue: () => this.overdue,
    incarnation: () => 7,
    isVersionOpen: () => this.open,
    pressure: () => this.pressed,
    onResult: () => {}
  })

  constructor () {
    this.desk.targetChanged()
  }

  offer (key: string, over: Partial<CallMessage> = {}): void {
    const message: CallMessage = {
      key, requestId: key, incarnation: 7, mode: 'queue', service: 's', targetId: 'i-1', route: 'r', method: 'GET', url: '/', headers: [], body: new Uint8Array(), deadlineMs: 1_200, targetLatencyMs: 600, priority: 1, idempotent: true, nested: false, repeat: false, ...over
    }
    this.desk.offer(message, (reply) => this.replies.set(key, reply))
  }

  answer (id: string): void {
    this.sent.find((entry) => entry.id === id)!.done({ kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false })
  }

  ended (key: string): string {
    const reply = this.replies.get(key)
    if (!reply) return 'open'
    return reply.kind === 'response' ? String(reply.status) : `${reply.kind} ${reply.reason}`
  }
}

const refusals: [name: string, prepare: (bench: Bench) => void, over: Partial<CallMessage>][] = [
  ['no target', (bench) => { bench.target = undefined }, {}],
  ['a target that drains', (bench) => { bench.target = { ...bench.target!, state: 'draining' } }, {}],
  ['another target', () => {}, { targetId: 'i-0' }],
  ['another service', () => {}, { service: 'other' }],
  ['an earlier start of the daemon', () => {}, { incarnation: 6 }],
  ['a version that was taken back', (bench) => { bench.open = false }, {}]
]
for (const [name, prepare, over] of refusals) {
  test(`guards against a request reaching ${name}`, (t) => {
    const bench = new Bench()
    prepare(bench)
    bench.offer('a', over)
    t.is(bench.sent.length, 0)
    t.is(bench.replies.get('a')?.kind, 'notRun')
    t.snapshot(bench.ended('a'))
  })
}

test('guards against waiting requests reaching a target that began to drain', (t) => {
  const bench = new Bench()
  for (const key of ['a', 'b', 'c']) bench.offer(key)
  bench.target = { ...bench.target!, state: 'draining' }
  bench.desk.targetChanged()
  bench.answer('a')
  t.deepEqual(['a', 'b', 'c'].map((key) => bench.ended(key)), ['200', 'open', 'notRun draining'])
  t.deepEqual(bench.sent.map(({ id }) => id), ['a', 'b'])
})

test('guards against a call that is settled while it waits being started later', (t) => {
  const bench = new Bench()
  for (const key of ['a', 'b', 'c']) bench.offer(key)
  bench.desk.settle('c', 7, () => {})
  t.is(bench.ended('c'), 'open', 'the one who asked gets the answer')
  bench.answer('a')
  t.deepEqual(bench.sent.map(({ id }) => id), ['a', 'b'])
})

test('guards against a call that runs being called not run when it is settled', (t) => {
  const bench = new Bench()
  bench.offer('a')
  bench.desk.orphan('a')
  let settled: HopReply | undefined
  bench.desk.settle('a', 7, (reply) => { settled = reply })
  t.is(settled, undefined)
  bench.answer('a')
  t.is(settled!.kind, 'response')
})

test('guards against a daemon that restarted saying that a call did not run', (t) => {
  const bench = new Bench()
  let settled: HopReply | undefined
  bench.desk.settle('a', 6, (reply) => { settled = reply })
  t.deepEqual(settled, { kind: 'failed', reason: 'lost' })
})

test('guards against work for callers that left, and against cutting off what may run once', (t) => {
  const bench = new Bench()
  bench.offer('read')
  bench.offer('write', { idempotent: false })
  bench.offer('waiting')
  for (const key of ['waiting', 'read', 'write']) bench.desk.cancel(key)
  t.deepEqual(bench.sent.map(({ id, gaveUp }) => [id, gaveUp]), [['read', true], ['write', false]])
  t.is(bench.ended('waiting'), 'notRun revoked')
})

test('guards against work for a daemon that is gone', (t) => {
  const bench = new Bench()
  bench.offer('a')
  bench.desk.orphan('a')
  bench.timers.advance(2_000)
  t.true(bench.sent[0]!.gaveUp)
})

test('guards against requests piling up at a target that fell silent', (t) => {
  const bench = new Bench()
  bench.offer('a')
  bench.timers.advance(900)
  bench.offer('b')
  t.is(bench.ended('b'), 'open', 'slow, but it announces itself')
  bench.overdue = true
  bench.offer('c')
  t.is(bench.ended('c'), 'notRun unreachable')
  bench.answer('a')
  bench.offer('d')
  t.is(bench.ended('d'), 'open')
})

test('guards against runs whose calls would take the place of more urgent requests elsewhere', (t) => {
  const bench = new Bench()
  bench.offer('parent', { route: 'browse', priority: 2 })
  bench.desk.called('parent.1', 'orders')
  bench.answer('parent')
  bench.pressed = 1
  const keys = Array.from({ length: 20 }, (_, i) => `k${i}`)
  for (const key of keys) {
    bench.offer(key, { route: 'browse', priority: 2 })
    bench.offer(`other-${key}`, { route: 'other' })
    bench.offer(`nested-${key}`, { route: 'browse', nested: true })
  }
  const displaced = keys.filter((key) => bench.ended(key) === 'notRun displacing').length
  t.true(displaced >= 10 && displaced < 20, `${displaced} of 20`)
  t.false([...bench.replies.keys()].some((key) => /^(other|nested)/.test(key) && bench.ended(key) === 'notRun displacing'))
})

test('guards against daemons not hearing that urgent requests are turned away', (t) => {
  const bench = new Bench()
  for (let i = 0; i < 60; i++) bench.offer(`k${i}`, { priority: 1 })
  const load = bench.desk.load()!
  t.is(load.pressedPriority, 1)
  t.true(load.pressedShare! > 0.3 && load.pressedShare! <= 1, String(load.pressedShare))
  bench.timers.advance(30_000)
  t.is(bench.desk.load()!.pressedShare, undefined)
})

test('guards against a question for a slot running anything or holding a slot', (t) => {
  const bench = new Bench()
  bench.offer('a', { mode: 'ask' })
  bench.offer('b', { mode: 'ask' })
  bench.offer('c')
  bench.offer('d')
  bench.offer('e', { mode: 'ask' })
  t.deepEqual(['a', 'b', 'e'].map((key) => bench.ended(key)), ['notRun vacant', 'notRun vacant', 'notRun busy'])
  t.deepEqual(bench.sent.map(({ id }) => id), ['c', 'd'])
})
