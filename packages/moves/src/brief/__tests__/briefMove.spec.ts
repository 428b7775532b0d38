import test from 'ava'
import { mergeMoveFact, SeededRandom, type MoveFacts } from '@lentilwheel/core'
import { BriefMove } from '../briefMove.js'

interface World { perS: number, durationMs: number, seed: number, badFrom: number, errors: number, slow: number, underLoad?: boolean, usual?: number }

interface Outcome { end: string, atMs: number, toNew: number, total: number, badAnswers: number }

const TICK_MS = 200

/** Plays calls of a service through a move in virtual time: share by share, with the version's faults. */
function play (world: World): Outcome {
  const random = new SeededRandom(world.seed)
  const move = new BriefMove({ move: 'm', daemon: 'd', to: 'v2', durationMs: world.durationMs, startedAt: 0 })
  let facts: MoveFacts = {}
  const outcome: Outcome = { end: 'none', atMs: -1, toNew: 0, total: 0, badAnswers: 0 }
  for (let now = 0; now < world.durationMs * 1.5; now += TICK_MS) {
    const share = facts.rollback || facts.outcome ? Number(facts.outcome?.outcome === 'done' && !facts.rollback) : facts.stage?.share ?? 0
    const rows = { v1: { calls: 0, errors: 0, slow: 0 }, v2: { calls: 0, errors: 0, slow: 0 } }
    const isLoaded = (facts.stage?.stage ?? 0) >= 3
    const calls = Math.floor(world.perS * TICK_MS / 1000 + random.next())
    for (let i = 0; i < calls; i++) {
      const version = random.next() < share ? 'v2' : 'v1'
      const isBad = version === 'v2' && now >= world.badFrom && (!world.underLoad || isLoaded)
      const failed = random.next() < (isBad ? world.errors : world.usual ?? 0.003)
      const slow = !failed && random.next() < (isBad ? world.slow : 0.03)
      rows[version].calls++
      rows[version].errors += Number(failed)
      rows[version].slow += Number(slow)
      if (version === 'v2') outcome.toNew++
      if (version === 'v2' && (failed || slow)) outcome.badAnswers++
    }
    outcome.total += calls
    if (!facts.rollback && !facts.outcome) {
      const report = Object.entries(rows).filter(([, row]) => row.calls > 0).map(([version, row]) => ({ route: 'r', version, ms: row.calls * 250, ...row }))
      move.onReport({ service: 's', daemon: 'd', rows: report }, now)
      for (const fact of move.tick({ now, wallNow: now, facts, newSlots: now > 1_000 ? 24 : 0, oldSlots: 24, slotsPerTarget: 6 })) facts = mergeMoveFact(facts, fact)
      if (facts.rollback ?? facts.outcome) Object.assign(outcome, { end: facts.rollback ? 'rolledBack' : 'done', atMs: now })
    }
  }
  return outcome
}

const seeds = Array.from({ length: 40 }, (_, i) => i + 1)
const BAD = { errors: 0.5, slow: 0 }
/** Share of the requests, and number besides, that a bad version may get. */
const EXPOSURE = { share: 0.1, slack: 50 }

const badWorlds: Record<string, Omit<World, 'seed'>> = {
  'fails at once': { perS: 57, durationMs: 16_000, badFrom: 0, ...BAD },
  'fails late': { perS: 57, durationMs: 16_000, badFrom: 5_000, ...BAD },
  'fails under load only': { perS: 57, durationMs: 16_000, badFrom: 0, underLoad: true, ...BAD },
  'is slow': { perS: 57, durationMs: 16_000, badFrom: 0, errors: 0, slow: 0.9 },
  'fails half as often, short': { perS: 57, durationMs: 12_000, badFrom: 0, errors: 0.3, slow: 0 },
  'fails on a quiet service': { perS: 20, durationMs: 16_000, badFrom: 0, ...BAD },
  'fails on a busy service': { perS: 460, durationMs: 16_000, badFrom: 0, ...BAD },
  'fails late on a busy service': { perS: 460, durationMs: 14_000, badFrom: 5_000, ...BAD }
}

for (const [name, world] of Object.entries(badWorlds)) {
  test(`guards against a bad version getting too much or being kept: ${name}`, (t) => {
    for (const seed of seeds) {
      const { end, toNew, total } = play({ ...world, seed })
      t.is(end, 'rolledBack', `seed ${seed}`)
      t.true(toNew <= EXPOSURE.share * total + EXPOSURE.slack, `seed ${seed}: ${toNew} of ${total}`)
    }
  })
}

for (const [name, perS, durationMs, usual] of [['usual', 57, 16_000, 0.003], ['short', 57, 12_000, 0.003], ['busy', 460, 14_000, 0.003], ['a trouble of both versions', 57, 16_000, 0.1]] as const) {
  test(`guards against good versions being late or taken back: ${name}`, (t) => {
    const outcomes = seeds.map((seed) => play({ perS, durationMs, seed, badFrom: 0, errors: usual, slow: 0.03, usual }))
    const inTime = outcomes.filter(({ end, atMs }) => end === 'done' && atMs <= durationMs).length
    t.true(inTime >= 0.95 * outcomes.length, `${inTime} of ${outcomes.length}`)
  })
}
