import test from 'ava'
import fc from 'fast-check'
import { VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names, testQuarantine } from '../../__tests__/fixtures.js'
import { countCrashes, type CountedReport } from '../countCrashes.js'
import { FIRST_HOLD_MS, type Quarantine } from '../quarantine.js'
import { readQuarantineNews, type QuarantineNews } from '../quarantineNews.js'
import { requestFingerprint, type RequestIdentity } from '../requestFingerprint.js'

const DEADLY = 'd'.repeat(24)
const OTHER = 'a'.repeat(24)
const HOUR_MS = 3_600_000

/** A daemon's quarantine, what it told its peers, and the requests that it blocked. */
class TestSetup {
  readonly news: QuarantineNews[] = []
  readonly blocked: string[] = []
  readonly timers: VirtualTimers
  readonly quarantine: Quarantine

  constructor (timers = new VirtualTimers(), host = 'own') {
    this.timers = timers
    this.quarantine = testQuarantine(timers, {
      idPrefix: () => host,
      onNews: (news) => { this.news.push(news) },
      onBlocked: ({ fingerprint }) => { this.blocked.push(fingerprint) }
    })
  }

  /** Reports crashes one second apart. */
  crash (...suspects: string[][]): void {
    for (const fingerprints of suspects) {
      this.quarantine.reportCrash('s', fingerprints)
      this.timers.advance(1_000)
    }
  }
}

test('guards against a request being blocked before its third crash, and against one that is not blocked then', (t) => {
  const { quarantine, ...setup } = new TestSetup()
  const crash = (): void => { quarantine.reportCrash('s', [DEADLY, OTHER]) }
  const standings: string[] = []
  for (let i = 0; i < 3; i++) {
    standings.push(quarantine.standing(DEADLY))
    crash()
    setup.timers.advance(1_000)
  }
  t.deepEqual([...standings, quarantine.standing(DEADLY)], ['clear', 'suspect', 'held', 'blocked'])
  t.true(quarantine.refusedMs(DEADLY) > HOUR_MS - 5_000)
})

test('guards against a request taking a second target after the other while those that crashed are still missing, and waiting for longer', (t) => {
  const refused: string[] = []
  const timers = new VirtualTimers()
  const quarantine = testQuarantine(timers, { onRefused: (fingerprint) => { refused.push(fingerprint) } })
  quarantine.reportCrash('s', [DEADLY])
  timers.advance(FIRST_HOLD_MS)
  quarantine.reportCrash('s', [DEADLY, OTHER])
  t.deepEqual(refused, [DEADLY])
  timers.advance(200)
  t.deepEqual([DEADLY, OTHER].map((fingerprint) => quarantine.standing(fingerprint)), ['held', 'suspect'])
  t.is(quarantine.refusedMs(DEADLY), 4_800)
  timers.advance(5_000)
  t.is(quarantine.standing(DEADLY), 'suspect')
  t.is(quarantine.refusedMs(DEADLY), 0)
})

test('guards against copies of a request that crash targets at once going on elsewhere', (t) => {
  const refused: string[] = []
  const timers = new VirtualTimers()
  const quarantine = testQuarantine(timers, { onRefused: (fingerprint) => { refused.push(fingerprint) } })
  quarantine.reportCrash('s', [DEADLY])
  timers.advance(50)
  quarantine.reportCrash('s', [DEADLY])
  timers.advance(FIRST_HOLD_MS - 1)
  t.deepEqual(refused, [DEADLY])
  t.true(quarantine.refusedMs(DEADLY) > 4_000)
})

test('guards against a request being refused because all targets were killed at the same moment, and again, and the daemons were slow to notice', (t) => {
  const timers = new VirtualTimers()
  const quarantine = testQuarantine(timers)
  for (let round = 0; round < 2; round++) {
    for (const suspects of [[OTHER], [OTHER], [OTHER], []]) {
      quarantine.reportCrash('s', suspects)
      timers.advance(100)
    }
  }
  timers.advance(FIRST_HOLD_MS)
  t.is(quarantine.crashes(OTHER), 2)
  t.is(quarantine.standing(OTHER), 'suspect')
})

test('guards against a request being held for long because its retry landed on a target that was killed, too', (t) => {
  const timers = new VirtualTimers()
  const quarantine = testQuarantine(timers)
  quarantine.reportCrash('s', [OTHER])
  timers.advance(300)
  quarantine.reportCrash('s', [OTHER], [OTHER])
  t.is(quarantine.crashes(OTHER), 2)
  t.is(quarantine.refusedMs(OTHER), 150)
})

test('guards against a request that runs well being blocked with one that crashes targets beside it', (t) => {
  const setup = new TestSetup()
  setup.crash([DEADLY, OTHER], [DEADLY, OTHER])
  setup.quarantine.clear(OTHER)
  setup.crash([DEADLY, OTHER])
  t.deepEqual(setup.blocked, [DEADLY])
  t.is(setup.quarantine.standing(OTHER), 'suspect')
})

test('guards against a request that ran well on a daemon that had not heard of the last crash staying blocked', (t) => {
  const here = new TestSetup()
  const elsewhere = new TestSetup(here.timers, 'elsewhere')
  here.crash([OTHER], [OTHER])
  elsewhere.quarantine.merge(here.quarantine.all())
  here.crash([OTHER])
  t.is(here.quarantine.standing(OTHER), 'blocked')
  elsewhere.quarantine.clear(OTHER)
  here.quarantine.merge(elsewhere.quarantine.all())
  t.is(here.quarantine.standing(OTHER), 'suspect')
})

test('guards against a block that never ends, and against one crash not renewing it for longer', (t) => {
  const setup = new TestSetup()
  setup.crash([DEADLY], [DEADLY], [DEADLY])
  setup.timers.advance(HOUR_MS)
  t.is(setup.quarantine.standing(DEADLY), 'suspect')
  setup.crash([DEADLY])
  t.is(setup.quarantine.standing(DEADLY), 'blocked')
  t.true(setup.quarantine.refusedMs(DEADLY) > 2 * HOUR_MS - 5_000)
  setup.timers.advance(5 * HOUR_MS)
  t.is(setup.quarantine.standing(DEADLY), 'clear')
  t.true(setup.quarantine.isEmpty)
})

test('guards against memory that grows with each crash', (t) => {
  const setup = new TestSetup()
  for (let i = 0; i < 2_000; i++) setup.quarantine.reportCrash('s', Array.from({ length: 100 }, (_, n) => (i * 100 + n).toString(16).padStart(24, '0')))
  const { reports } = setup.quarantine.all()
  t.true(reports.length <= 64)
  t.true(reports.every(({ suspects }) => suspects.length <= 32))
  setup.timers.advance(HOUR_MS)
  t.true(setup.quarantine.isEmpty)
})

const moments: Record<string, { at: number, suspects: string[], service?: string }[]> = {
  'one after the other': [{ at: 0, suspects: [DEADLY] }, { at: 100, suspects: [DEADLY] }, { at: 5_000, suspects: [DEADLY, OTHER] }],
  'at the same moment, each under the request': [{ at: 0, suspects: [DEADLY] }, { at: 5, suspects: [DEADLY] }, { at: 10, suspects: [DEADLY] }],
  'at the same moment, one of them without the request': [{ at: 0, suspects: [DEADLY] }, { at: 5, suspects: [DEADLY] }, { at: 10, suspects: [OTHER] }, { at: 12, suspects: [DEADLY] }],
  'at the same moment as a target of another service': [{ at: 0, suspects: [DEADLY] }, { at: 5, suspects: [DEADLY] }, { at: 10, suspects: [], service: 't' }],
  'at one event that daemons notice at different times, one of them without the request': [{ at: 0, suspects: [DEADLY] }, { at: 70, suspects: [DEADLY] }, { at: 100, suspects: [DEADLY] }, { at: 400, suspects: [OTHER] }],
  'two at a moment that may not be over': [{ at: 9_980, suspects: [DEADLY] }, { at: 9_990, suspects: [DEADLY] }]
}
for (const [name, reports] of Object.entries(moments)) {
  test(`guards against targets that are killed together counting as crashes by a request: ${name}`, (t) => {
    const counted: CountedReport[] = reports.map(({ at, suspects, service = 's' }) => ({ at, service, suspects: new Set(suspects) }))
    t.snapshot(countCrashes(DEADLY, counted, 10_000))
  })
}

test('guards against daemons that heard the same news in another order disagreeing', (t) => {
  const timers = new VirtualTimers()
  const source = new TestSetup(timers, 'a')
  source.crash([DEADLY, OTHER], [DEADLY], [OTHER], [DEADLY])
  source.quarantine.clear(OTHER)
  fc.assert(fc.property(fc.array(fc.nat(source.news.length - 1), { maxLength: 30 }), (order) => {
    const receiver = new TestSetup(timers, 'b')
    for (const i of order) receiver.quarantine.merge(source.news[i]!)
    receiver.quarantine.merge(source.quarantine.all())
    t.is(receiver.quarantine.digest(), source.quarantine.digest())
    t.deepEqual([DEADLY, OTHER].map((fingerprint) => receiver.quarantine.standing(fingerprint)), ['blocked', 'clear'])
  }), { seed: 1, numRuns: 200 })
})

test('guards against daemons that have more reports than they keep telling each other for ever', (t) => {
  const timers = new VirtualTimers()
  const daemons = ['a', 'b', 'c'].map((host) => new TestSetup(timers, host))
  for (let i = 0; i < 60; i++) {
    for (const { quarantine } of daemons) quarantine.reportCrash('s', [DEADLY])
    timers.advance(50)
  }
  const exchange = (): number => {
    for (const { news } of daemons) news.length = 0
    for (const from of daemons) for (const to of daemons) to.quarantine.merge(from.quarantine.all())
    return daemons.reduce((total, { news }) => total + news.length, 0)
  }
  exchange()
  t.is(exchange(), 0)
})

test('guards against one odd entry of a peer\'s news costing the others', (t) => {
  const report = { id: 'a/1/1', service: 's', suspects: [DEADLY], retried: [DEADLY], ageMs: 5 }
  const block = { fingerprint: DEADLY, level: 1, isCleared: false, ageMs: 5 }
  const odd = [null, 7, 'x', [], { ...report, suspects: ['short'] }, { ...report, retried: undefined }, { ...report, suspects: DEADLY }, { ...report, ageMs: -1 }, { ...report, ageMs: Infinity }, { ...report, id: '' }]
  const oddBlocks = [null, { ...block, level: 0 }, { ...block, level: 1.5 }, { ...block, fingerprint: 7 }, { ...block, isCleared: 'no' }, { ...block, ageMs: NaN }]
  let invalid = 0
  t.deepEqual(readQuarantineNews({ reports: [...odd, report], blocks: [...oddBlocks, block] }, () => { invalid++ }), { reports: [report], blocks: [block] })
  t.is(invalid, odd.length + oddBlocks.length)
  for (const value of [null, 1, 'x', [], { reports: 'x', blocks: {} }]) t.deepEqual(readQuarantineNews(value, () => {}), { reports: [], blocks: [] })
})

const identity: RequestIdentity = { method: 'GET', url: '/a?b=1', headers: ['Host', 'h', 'X-Id', 'r1', 'X-Caller', 'web'], body: Buffer.from('body') }
const variations: [name: string, change: Partial<RequestIdentity>, isSame: boolean][] = [
  ['another id', { headers: ['Host', 'h', 'X-Id', 'r2', 'X-Caller', 'web'] }, true],
  ['another workspace', { headers: ['Host', 'h', 'X-Id', 'r1', 'X-Caller', 'web', 'X-Workspace', 'hotel'] }, true],
  ['another user agent', { headers: ['User-Agent', 'u', 'Host', 'H', 'X-Caller', 'web'] }, true],
  ['another caller', { headers: ['Host', 'h', 'X-Id', 'r1', 'X-Caller', 'batch'] }, false],
  ['another host', { headers: ['Host', 'i', 'X-Id', 'r1', 'X-Caller', 'web'] }, false],
  ['another method', { method: 'DELETE' }, false],
  ['another query', { url: '/a?b=2' }, false],
  ['another body', { body: Buffer.from('bodY') }, false]
]
for (const [name, change, isSame] of variations) {
  test(`guards against a wrong answer to whether a request is the same: ${name}`, (t) => {
    t.is(requestFingerprint({ ...identity, ...change }, names) === requestFingerprint(identity, names), isSame)
  })
}
