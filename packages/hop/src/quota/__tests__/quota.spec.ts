import test from 'ava'
import { rendezvousScore, SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import type { QuotaAnswer, QuotaMessage } from '../../link/messages.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { MeshWorkspace } from '../../routing/meshConfig.js'
import { FleetQuotaGate } from '../fleetQuotaGate.js'
import type { QuotaLimit } from '../lender.js'
import { LenderRanking } from '../lenderRanking.js'
import { quotaFleetView } from '../quotaFleetView.js'
import type { QuotaDecision } from '../quotaGate.js'
import { ReachSample } from '../reachSample.js'
import { WorkspaceCredits } from '../workspaceCredits.js'

const HOSTS = ['a', 'b', 'c']
const OWN = 'a'

/** Name of a workspace whose ranking begins with the given hosts. */
function ranked (...hosts: string[]): string {
  for (let i = 0; ; i++) {
    const name = `w${i}`
    const order = HOSTS.toSorted((x, y) => rendezvousScore(y, name) - rendezvousScore(x, name))
    if (hosts.every((host, j) => order[j] === host)) return name
  }
}

interface SentMessage {
  host: string
  message: QuotaMessage
  done: (answers: readonly QuotaAnswer[] | undefined) => void
}

/** The gate of daemon a among three, whose messages are collected. */
class Harness {
  readonly timers = new VirtualTimers()
  readonly sent: SentMessage[] = []
  readonly limits = new Map<string, QuotaLimit>()
  readonly gate = new FleetQuotaGate({
    own: OWN, timers: this.timers, random: new SeededRandom(1), log: new NoopCallLog(), limitOf: (name) => this.limits.get(name), defer: (fn) => { this.timers.after(0, fn) }, send: (host, message, done) => { this.sent.push({ host, message, done }) }, askReach: (_peer, _hosts, done) => done(undefined)
  })

  constructor () {
    this.setLive(HOSTS)
    this.timers.advance(5_000)
  }

  setLive (hosts: string[]): void {
    this.gate.setFleet({ candidates: hosts, reachable: hosts, unreachable: [] })
  }

  /** Admits requests; returns their decisions, which are filled in as they come. */
  admit (workspace: MeshWorkspace, count = 1): QuotaDecision[] {
    const decisions: QuotaDecision[] = []
    for (let i = 0; i < count; i++) this.gate.admit(workspace, (decision) => { decisions.push(decision) })
    this.timers.advance(1)
    return decisions
  }

  /** Answers a question of another daemon. */
  ask (workspace: string, count: number, limit: QuotaLimit, mode: QuotaMessage['mode'] = 'direct', isRepeat = false): QuotaAnswer | undefined {
    let given: QuotaAnswer | undefined
    this.gate.onQuestions({ mode, questions: [{ workspace, count, ...limit, isRepeat }] }, ([answer]) => { given = answer })
    this.timers.advance(1)
    return given
  }
}

function workspace (name: string, ratePerS: number, burst: number): MeshWorkspace {
  return { name, keyHashes: [], ratePerS, burst }
}

test('guards against questions for one lender taking a message each, and against a message for a workspace without a limit', (t) => {
  const harness = new Harness()
  const first = workspace(ranked('b'), 10, 5)
  const second = { ...workspace(ranked('b', 'c'), 20, 5) }
  harness.admit(workspace('free', 0, 0))
  harness.gate.admit(first, () => {})
  harness.gate.admit(first, () => {})
  harness.gate.admit({ ...second, name: ranked('b', 'c') === first.name ? ranked('b', 'a') : second.name }, () => {})
  harness.timers.advance(1)
  t.is(harness.sent.length, 1)
  t.snapshot(harness.sent.map(({ host, message }) => ({ host, message })))
})

test('guards against a message for each refused request while the lender has nothing', (t) => {
  const harness = new Harness()
  const hot = workspace(ranked('b'), 10, 5)
  const decisions = harness.admit(hot, 3)
  harness.sent[0]!.done([{ kind: 'lent', count: 1, waitMs: 0 }])
  harness.timers.advance(1)
  harness.sent[1]!.done([{ kind: 'lent', count: 0, waitMs: 100 }])
  t.deepEqual(decisions, [{ kind: 'granted' }, { kind: 'exceeded', retryAfterMs: 100 }, { kind: 'exceeded', retryAfterMs: 100 }])
  harness.timers.advance(59)
  t.deepEqual(harness.admit(hot, 2), [{ kind: 'exceeded', retryAfterMs: 41 }, { kind: 'exceeded', retryAfterMs: 41 }])
  t.is(harness.sent.length, 2)
  harness.timers.advance(40)
  harness.admit(hot)
  t.is(harness.sent.length, 3)
})

test('guards against the right of a request that has not run being lost, or kept for ever', (t) => {
  const harness = new Harness()
  const some = workspace(ranked('b'), 10, 5)
  harness.gate.giveBack(some)
  t.deepEqual(harness.admit(some), [{ kind: 'granted' }])
  t.is(harness.sent.length, 0)
  harness.gate.giveBack(some)
  harness.timers.advance(250)
  t.deepEqual(harness.admit(some), [])
  t.is(harness.sent.length, 1)
})

test('guards against requests waiting for ever for a lender that gives no answer', (t) => {
  const harness = new Harness()
  const decisions = harness.admit(workspace(ranked('b'), 10, 5), 2)
  harness.timers.advance(300)
  t.deepEqual(decisions, [{ kind: 'unknown', retryAfterMs: 300 }, { kind: 'unknown', retryAfterMs: 300 }])
})

test('guards against a late answer being used for more than the time of its credits', (t) => {
  const harness = new Harness()
  const some = workspace(ranked('b'), 10, 5)
  harness.admit(some)
  harness.timers.advance(260)
  harness.sent[0]!.done([{ kind: 'lent', count: 1, waitMs: 0 }])
  harness.timers.advance(1)
  t.is(harness.sent.length, 2, 'the credit has expired, so another one is needed')
})

test('guards against requests being refused because the lender is lost while it is asked', (t) => {
  const harness = new Harness()
  const decisions = harness.admit(workspace(ranked('b', 'c'), 10, 5))
  harness.setLive(['a', 'c'])
  harness.timers.advance(1)
  harness.sent[0]!.done(undefined)
  t.deepEqual(harness.sent.map(({ host }) => host), ['b', 'c'])
  harness.sent[1]!.done([{ kind: 'settling', waitMs: 400 }])
  harness.timers.advance(401)
  t.deepEqual(harness.sent.map(({ host }) => host), ['b', 'c', 'c'])
  harness.sent[2]!.done([{ kind: 'lent', count: 1, waitMs: 0 }])
  t.deepEqual(decisions, [{ kind: 'granted' }])
})

test('guards against the lender before not being asked while its successor can not lend', (t) => {
  const harness = new Harness()
  const some = workspace(ranked('c', 'b'), 10, 5)
  harness.setLive(['a', 'b'])
  harness.admit(some)
  harness.sent[0]!.done([{ kind: 'lent', count: 1, waitMs: 0 }])
  harness.setLive(HOSTS)
  harness.admit(some)
  harness.sent[1]!.done([{ kind: 'settling', waitMs: 800 }])
  harness.timers.advance(1)
  harness.sent[2]!.done([{ kind: 'lent', count: 1, waitMs: 0 }])
  harness.timers.advance(900)
  harness.admit(some)
  t.deepEqual(harness.sent.map(({ host, message }) => `${host} ${message.mode}`), ['b direct', 'c direct', 'b handover', 'c direct'])
})

test('guards against a question being refused by a daemon that sees the lender although the asker does not', (t) => {
  const harness = new Harness()
  const name = ranked('b')
  t.is(harness.ask(name, 2, { ratePerS: 10, burst: 5 }), undefined)
  t.deepEqual(harness.sent.map(({ host, message }) => `${host} ${message.mode}`), ['b relayed'])
  t.deepEqual(harness.ask(name, 2, { ratePerS: 10, burst: 5 }, 'relayed'), { kind: 'notLender' }, 'a relayed question must not be passed on')
})

test('guards against a limit of an outdated configuration being used where a lower one is known', (t) => {
  const harness = new Harness()
  const name = ranked('a')
  t.deepEqual(harness.ask(name, 50, { ratePerS: 10, burst: 10 }), { kind: 'lent', count: 10, waitMs: 100 }, 'a workspace that only the asker knows')
  harness.limits.set(name, { ratePerS: 4, burst: 4 })
  harness.timers.advance(5_000)
  const answer = harness.ask(name, 50, { ratePerS: 10, burst: 10 })
  t.is(answer?.kind === 'lent' ? answer.count : undefined, 4)
})

test('guards against callers that come back after a refusal taking the quota from requests that can still be answered in time', (t) => {
  const harness = new Harness()
  const name = ranked('a')
  const limit = { ratePerS: 10, burst: 8 }
  t.deepEqual(harness.ask(name, 50, limit, 'direct', true), { kind: 'lent', count: 6, waitMs: 100 }, 'a quarter of the bucket is left')
  t.deepEqual(harness.ask(name, 50, limit), { kind: 'lent', count: 2, waitMs: 100 })
  harness.timers.advance(200)
  const repeated = harness.ask(name, 1, limit, 'direct', true)
  t.is(repeated?.kind === 'lent' ? repeated.count : undefined, 0)
  const first = harness.ask(name, 1, limit)
  t.is(first?.kind === 'lent' ? first.count : undefined, 1)
})

test('guards against a workspace whose bucket holds one request never serving a caller that comes back', (t) => {
  const harness = new Harness()
  const answer = harness.ask(ranked('a'), 1, { ratePerS: 1, burst: 1 }, 'direct', true)
  t.deepEqual(answer, { kind: 'lent', count: 1, waitMs: 0 })
})

test('guards against a refusal of a caller that came back ending new requests of its workspace without a question', (t) => {
  const harness = new Harness()
  const some = workspace(ranked('b'), 10, 5)
  const decisions: QuotaDecision[] = []
  harness.gate.admit(some, (decision) => { decisions.push(decision) }, true)
  harness.timers.advance(1)
  harness.sent[0]!.done([{ kind: 'lent', count: 0, waitMs: 400 }])
  t.deepEqual(decisions, [{ kind: 'exceeded', retryAfterMs: 400 }])
  harness.admit(some)
  t.deepEqual(harness.sent.map(({ message: { questions } }) => questions.map(({ isRepeat }) => isRepeat)), [[true], [false]])
})

test('guards against a daemon lending at once after it became the lender, and against a full burst being lent anew', (t) => {
  const harness = new Harness()
  const name = ranked('b', 'a')
  const limit = { ratePerS: 10, burst: 100 }
  harness.setLive(['a', 'c'])
  t.deepEqual(harness.ask(name, 50, limit), { kind: 'settling', waitMs: 400 })
  harness.timers.advance(400)
  const answer = harness.ask(name, 50, limit)
  t.is(answer?.kind === 'lent' ? answer.count : undefined, 6, 'two, and what the rate gives since the predecessor was lost')
})

test('guards against a daemon that cannot reach others lending more than the part that is due to it', (t) => {
  const ranking = new LenderRanking({ own: OWN, startedAt: 0 })
  ranking.setCandidates(HOSTS, 0, () => true)
  ranking.setCandidates([OWN], 10_000, () => false)
  ranking.setUnreachable(['b', 'c'])
  t.deepEqual(ranking.blockersOf(ranked('b', 'a')), ['b'])
  t.deepEqual(ranking.blockersOf(ranked('a')), [])
  t.deepEqual(ranking.startOf(ranked('b', 'a'), 10_000), { lendsFrom: 10_400, fillsFrom: 10_000 })
  t.deepEqual(ranking.startOf(ranked('a'), 10_000), { lendsFrom: 1_000, fillsFrom: 1_000 })
})

test('guards against a daemon that is cut off taking the others for ended, and against one that has ended keeping its part of the quotas', (t) => {
  const records = HOSTS.map((host) => testHost(host))
  const view = (live: string[], refused: string[], stopping: string[] = []): unknown => quotaFleetView(
    records.map((record) => ({ ...record, stopping: stopping.includes(record.host) })),
    { isUp: (host) => live.includes(host), isRefused: (host) => refused.includes(host) }
  )
  t.snapshot({
    'one lost': view(['a', 'b'], []),
    'one refuses': view(['a', 'b'], ['c']),
    'all others refuse': view(['a'], ['b', 'c']),
    'one stops': view(HOSTS, [], ['c']),
    'one has stopped': view(['a', 'b'], [], ['c']),
    'all stop': view(HOSTS, [], HOSTS)
  })
})

test('guards against credits that expire later being used first', (t) => {
  const credits = new WorkspaceCredits()
  credits.add(1, 200)
  credits.add(1, 100)
  t.true(credits.take(50))
  t.true(credits.take(150))
  t.false(credits.take(150))
})

test('guards against answers of peers about one lost host being taken for answers about another one', (t) => {
  const timers = new VirtualTimers()
  const peers = Array.from({ length: 20 }, (_, i) => `p${i}`)
  const sample = new ReachSample({ timers, random: new SeededRandom(1), askReach: (_peer, hosts, done) => done(hosts.map((host) => host === 'onlyLostHere')) })
  sample.setPeers(peers)
  sample.partWithout(['lostByAll'])
  timers.advance(1_000)
  t.is(sample.partWithout(['lostByAll']), 1)
  t.true(sample.partWithout(['onlyLostHere']) < 0.1, 'before peers are asked')
  timers.advance(1_000)
  t.true(sample.partWithout(['onlyLostHere']) < 0.1, 'once they are asked')
})

test('guards against a daemon that was suspended while no quota was in use lending at once when it wakes', (t) => {
  const harness = new Harness()
  const name = ranked('a')
  const limit = { ratePerS: 10, burst: 5 }
  harness.gate.retain(new Map([[name, workspace(name, 10, 5)]]))
  t.is(harness.ask(name, 1, limit)?.kind, 'lent')
  harness.timers.advance(30_000)
  harness.timers.suspend(5_000)
  t.is(harness.ask(name, 1, limit)?.kind, 'settling')
})

test('guards against a small workspace being refused for the uneven arrivals of its requests where the deployment has slack', (t) => {
  const timers = new VirtualTimers()
  const gate = new FleetQuotaGate({
    own: OWN, timers, random: new SeededRandom(1), log: new NoopCallLog(), limitOf: () => undefined, slack: 20, defer: (fn) => fn(), send: () => {}, askReach: () => {}
  })
  gate.setFleet({ candidates: [OWN], reachable: [OWN], unreachable: [] })
  timers.advance(10_000)
  const decisions: string[] = []
  for (let i = 0; i < 10; i++) gate.admit(workspace('w', 2, 2), ({ kind }) => { decisions.push(kind) })
  t.deepEqual(decisions.filter((kind) => kind === 'granted').length, 8, 'the burst, and three tenths of the slack')
})
