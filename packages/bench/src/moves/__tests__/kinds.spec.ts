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

/** Kinds whose outcome is certain enough at these rates to hold for every seed. */
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

/** Guards against a profile that ignores what the operator chose to win at a deadline that can't be met. */
test('a deadline too near or past ends late for kitaboshi and is overrun by addis', (t) => {
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

/** Guards against a rollback that leaves calls on the bad version: no daemon sends more than 2 s after the fact. */
test('calls to a bad version stop within two seconds of its rollback', (t) => {
  for (const seed of SEEDS) {
    const { events, lastNewCallAt: lastNewCall } = run('fail20', 'kitaboshi', 'high', 'comfortable', seed)
    const rollback = events.find((event) => event.type === 'moveRollback')!
    t.true(lastNewCall <= rollback.second + 2)
  }
})
