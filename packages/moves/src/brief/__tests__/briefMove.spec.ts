import test from 'ava'
import { mergeMoveFact, SeededRandom, type MoveFacts } from '@lentilwheel/core'
import { BriefMove } from '../briefMove.js'

interface Scenario {
  callsPerSecond: number,
  durationMs: number,
  seed: number,
  /** Time from which the new version is bad. */
  badFromMs: number,
  /** Rates of failed and slow calls of a bad version. */
  errors: number,
  slow: number,
  /** The new version is bad only from the load test on. */
  isBadUnderLoadOnly?: boolean,
  /** Failure rate of both versions otherwise. */
  baseErrorRate?: number
}

interface Outcome {
  end: string,
  endedAtMs: number,
  newCalls: number,
  totalCalls: number,
  badCalls: number
}

const TICK_MS = 200

/** Simulates the calls of a service during a brief move in virtual time, with the faults of the new version. */
function simulate (scenario: Scenario): Outcome {
  const random = new SeededRandom(scenario.seed)
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v2', durationMs: scenario.durationMs })
  let facts: MoveFacts = {}
  const outcome: Outcome = { end: 'none', endedAtMs: -1, newCalls: 0, totalCalls: 0, badCalls: 0 }
  for (let now = 0; now < scenario.durationMs * 1.5; now += TICK_MS) {
    const share = facts.rollback || facts.outcome
      ? Number(facts.outcome?.outcome === 'done' && !facts.rollback)
      : facts.stage?.share ?? 0
    const rows = { v1: { calls: 0, errors: 0, slow: 0 }, v2: { calls: 0, errors: 0, slow: 0 } }
    const isLoadTest = (facts.stage?.stage ?? 0) >= 3
    const calls = Math.floor(scenario.callsPerSecond * TICK_MS / 1000 + random.next())
    for (let i = 0; i < calls; i++) {
      const version = random.next() < share ? 'v2' : 'v1'
      const isBad = version === 'v2' && now >= scenario.badFromMs && (!scenario.isBadUnderLoadOnly || isLoadTest)
      const failed = random.next() < (isBad ? scenario.errors : scenario.baseErrorRate ?? 0.003)
      const slow = !failed && random.next() < (isBad ? scenario.slow : 0.03)
      rows[version].calls++
      rows[version].errors += Number(failed)
      rows[version].slow += Number(slow)
      if (version === 'v2') outcome.newCalls++
      if (version === 'v2' && (failed || slow)) outcome.badCalls++
    }
    outcome.totalCalls += calls
    if (!facts.rollback && !facts.outcome) {
      const report = Object.entries(rows).filter(([, row]) => row.calls > 0)
        .map(([version, row]) => ({ route: 'r', version, ms: row.calls * 250, ...row }))
      move.onReport({ service: 's', daemon: 'd', incarnation: 1, sequence: now, rows: report }, now)
      for (const fact of move.tick({
        isCoordinator: true, now, wallNow: now, facts, newSlots: now > 1_000 ? 24 : 0, oldSlots: 24, slotsPerTarget: 6, isReturn: false
      })) facts = mergeMoveFact(facts, fact)
      if (facts.rollback ?? facts.outcome) Object.assign(outcome, { end: facts.rollback ? 'rolledBack' : 'done', endedAtMs: now })
    }
  }
  return outcome
}

const seeds = Array.from({ length: 40 }, (_, i) => i + 1)
const BAD = { errors: 0.5, slow: 0 }
/** Calls that a bad version may get: a share of all calls, plus a constant for small totals. */
const EXPOSURE = { share: 0.1, slack: 50 }

const badScenarios: Record<string, Omit<Scenario, 'seed'>> = {
  'fails at once': { callsPerSecond: 57, durationMs: 16_000, badFromMs: 0, ...BAD },
  'fails late': { callsPerSecond: 57, durationMs: 16_000, badFromMs: 5_000, ...BAD },
  'fails under load only': { callsPerSecond: 57, durationMs: 16_000, badFromMs: 0, isBadUnderLoadOnly: true, ...BAD },
  'is slow': { callsPerSecond: 57, durationMs: 16_000, badFromMs: 0, errors: 0, slow: 0.9 },
  'fails 30% of the calls of a short move': { callsPerSecond: 57, durationMs: 12_000, badFromMs: 0, errors: 0.3, slow: 0 },
  'fails on a quiet service': { callsPerSecond: 20, durationMs: 16_000, badFromMs: 0, ...BAD },
  'fails on a busy service': { callsPerSecond: 460, durationMs: 16_000, badFromMs: 0, ...BAD },
  'fails late on a busy service': { callsPerSecond: 460, durationMs: 14_000, badFromMs: 5_000, ...BAD }
}

for (const [name, scenario] of Object.entries(badScenarios)) {
  test(`a bad version is rolled back before it gets too many calls: ${name}`, (t) => {
    for (const seed of seeds) {
      const { end, newCalls, totalCalls } = simulate({ ...scenario, seed })
      t.is(end, 'rolledBack', `seed ${seed}`)
      t.true(newCalls <= EXPOSURE.share * totalCalls + EXPOSURE.slack, `seed ${seed}: ${newCalls} of ${totalCalls}`)
    }
  })
}

for (const [name, callsPerSecond, durationMs, baseErrorRate] of [
  ['normal', 57, 16_000, 0.003], ['short', 57, 12_000, 0.003], ['busy', 460, 14_000, 0.003],
  ['both versions fail 10% of the calls', 57, 16_000, 0.1]
] as const) {
  test(`good versions are neither late nor rolled back: ${name}`, (t) => {
    const outcomes = seeds.map((seed) => simulate({
      callsPerSecond, durationMs, seed, badFromMs: 0, errors: baseErrorRate, slow: 0.03, baseErrorRate
    }))
    const inTime = outcomes.filter(({ end, endedAtMs }) => end === 'done' && endedAtMs <= durationMs).length
    t.true(inTime >= 0.95 * outcomes.length, `${inTime} of ${outcomes.length}`)
  })
}

test('guards against a service staying without a version because its old targets stopped at the end of a move that nobody remembers', (t) => {
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v2', durationMs: 60_000 })
  let facts: MoveFacts = {}
  const reached: string[] = []
  const tick = (now: number, oldSlots: number): void => {
    for (const fact of move.tick({ isCoordinator: true, now, wallNow: now, facts, newSlots: 24, oldSlots, slotsPerTarget: 6, isReturn: false })) {
      facts = mergeMoveFact(facts, fact)
      reached.push(`${fact.kind} ${fact.kind === 'stage' ? fact.stage : ''} at ${now}`)
    }
  }
  for (let now = 0; now < 12_000; now += 200) tick(now, now >= 2_000 && now < 2_600 ? 6 : 0)
  t.snapshot(reached)
})

test('guards against the trusted version being tested and taken back when an operator orders it again', (t) => {
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v1', durationMs: 60_000 })
  let facts: MoveFacts = {}
  const reached: string[] = []
  for (let now = 0; now < 4_000; now += 200) {
    move.onReport({ service: 's', daemon: 'd', incarnation: 1, sequence: now, rows: [{ route: 'r', version: 'v1', calls: 20, errors: 20, slow: 0, ms: 100 }, { route: 'r', version: 'v2', calls: 20, errors: 0, slow: 0, ms: 100 }] }, now)
    for (const fact of move.tick({ isCoordinator: true, now, wallNow: now, facts, newSlots: now < 400 ? 0 : 24, oldSlots: 24, slotsPerTarget: 6, isReturn: true })) {
      facts = mergeMoveFact(facts, fact)
      reached.push(`${fact.kind} ${fact.kind === 'stage' ? `${fact.stage} ${fact.share} ` : ''}at ${now}`)
    }
  }
  t.deepEqual(reached, ['stage 4 1 at 400', 'outcome at 2200'])
})

const BAD_ROW = { route: 'r', version: 'v2', calls: 2, errors: 2, slow: 0, ms: 100 }

test('guards against a bad version staying while its coordinator is lost, and against two daemons advancing a move', (t) => {
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v2', durationMs: 2_000 })
  const input = { isCoordinator: false, wallNow: 0, facts: {}, newSlots: 24, oldSlots: 24, slotsPerTarget: 6, isReturn: false }
  for (let now = 0; now < 4_000; now += 200) t.deepEqual([...move.tick({ ...input, now })], [])
  move.onReport({ service: 's', daemon: 'd', incarnation: 1, sequence: 1, rows: [BAD_ROW] }, 4_000)
  t.deepEqual([...move.tick({ ...input, now: 4_000 })], [])
  move.onReport({ service: 's', daemon: 'd', incarnation: 1, sequence: 2, rows: [BAD_ROW] }, 4_000)
  t.deepEqual([...move.tick({ ...input, now: 4_000 })].map(({ kind }) => kind), ['rollback'])
})

test('guards against a good version being taken back because a report arrived twice', (t) => {
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v2', durationMs: 60_000 })
  const input = { isCoordinator: false, now: 0, wallNow: 0, facts: {}, newSlots: 24, oldSlots: 24, slotsPerTarget: 6, isReturn: false }
  const report = { service: 's', daemon: 'd', incarnation: 1, sequence: 1, rows: [BAD_ROW] }
  for (let i = 0; i < 5; i++) move.onReport(report, 0)
  t.deepEqual([...move.tick(input)], [])
  move.onReport({ ...report, incarnation: 2 }, 0)
  t.deepEqual([...move.tick(input)].map(({ kind }) => kind), ['rollback'])
})
