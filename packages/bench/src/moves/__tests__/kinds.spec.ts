import test from 'ava'
import type { MoveOutcome } from '@lentilwheel/core'
import { KINDS, type DeadlineName, type ProfileName, type RateName } from '../kinds.js'
import { simulate } from '../simulate.js'

const SEEDS = [1, 2, 3]

interface ExpectedOutcome {
  kinds: string[]
  rates: RateName[]
  expected: MoveOutcome
  reason: RegExp
}

/** Kinds and rates at which the expected outcome holds for every seed. */
const EXPECTED_OUTCOMES: readonly ExpectedOutcome[] = [
  { kinds: ['good', 'coldStart', 'noisyDependency', 'slowerTail'], rates: ['low', 'middle'], expected: 'done', reason: /^all traffic is on v2/ },
  { kinds: ['fail100', 'fail20', 'badAfterMinute', 'brokenAnswer200'], rates: ['low', 'middle'], expected: 'takenBack', reason: /failed \d+ of \d+ calls/ },
  { kinds: ['fail3', 'fail1', 'badNonIdempotent', 'badAfterAll', 'badInHold', 'badAboveLoad'], rates: ['middle'], expected: 'takenBack', reason: /failed|failures/ },
  { kinds: ['badRareRoute'], rates: ['middle'], expected: 'takenBack', reason: /on route rare/ },
  { kinds: ['slow3', 'slow1.3'], rates: ['middle'], expected: 'takenBack', reason: /v2 was slow in/ },
  { kinds: ['crashing'], rates: ['middle'], expected: 'takenBack', reason: /failed|were lost/ },
  { kinds: ['shortOfInstances'], rates: ['low', 'middle'], expected: 'late', reason: /slots ready and v1 had/ },
  { kinds: ['neverAnnounced'], rates: ['low', 'middle'], expected: 'late', reason: /no target of v2 is ready/ }
]

function run (name: string, profile: ProfileName, rate: RateName, deadline: DeadlineName, seed: number) {
  const kind = KINDS.find((candidate) => candidate.name === name)!
  return simulate({ kind, profile, rate, deadline, seed })
}

for (const profile of ['kitaboshi', 'addis'] as const) {
  for (const { kinds, rates, expected, reason } of EXPECTED_OUTCOMES) {
    test(`${profile}: ${kinds.join(', ')} end ${expected}`, (t) => {
      for (const name of kinds) {
        for (const rate of rates) {
          for (const seed of SEEDS) {
            const result = run(name, profile, rate, 'comfortable', seed)
            const label = `${name} ${rate} ${seed}: ${result.reason}`
            t.is(result.outcome, expected, label)
            t.is(result.outcomeCount, 1, label)
            t.regex(result.reason, reason, label)
          }
        }
      }
    })
  }
}

/** Guards against ignoring what a profile sets for a deadline that can't be met: end as late, or finish after it. */
test('with a deadline too near or past, a move ends late for kitaboshi and is done after the deadline for addis', (t) => {
  for (const deadline of ['impossible', 'past'] as const) {
    const kitaboshi = run('good', 'kitaboshi', 'middle', deadline, 1)
    t.is(kitaboshi.outcome, 'late')
    t.is(kitaboshi.newCalls, 0)
    const addis = run('good', 'addis', 'middle', deadline, 1)
    t.is(addis.outcome, 'done')
    t.regex(addis.reason, /after the deadline/)
    t.is(run('fail20', 'addis', 'middle', deadline, 1).outcome, 'takenBack')
  }
})

/** Guards against a rollback after which daemons still send calls to the bad version. */
test('calls to a bad version stop within two seconds of the rollback', (t) => {
  for (const seed of SEEDS) {
    const { events, lastNewCallAt } = run('fail20', 'kitaboshi', 'high', 'comfortable', seed)
    const rollback = events.find((event) => event.type === 'moveRollback')!
    t.true(lastNewCallAt <= rollback.second + 2)
  }
})
