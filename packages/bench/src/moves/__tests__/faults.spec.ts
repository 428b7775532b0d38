import test from 'ava'
import { KINDS, type RateName } from '../kinds.js'
import type { SimulatedFleet } from '../simulatedFleet.js'
import { simulate, START_SECOND, type MoveCase, type MoveResult } from '../simulate.js'

function run (name: string, injectFault: MoveCase['injectFault'], more: Partial<MoveCase> = {}): MoveResult {
  const kind = KINDS.find((candidate) => candidate.name === name)!
  const rate: RateName = 'middle'
  return simulate({ kind, profile: 'kitaboshi', rate, deadline: 'comfortable', seed: 1, ...more, ...(injectFault && { injectFault }) })
}

/** Restarts the coordinator's process: another daemon becomes coordinator and continues from the facts. */
const restartCoordinatorAt = (at: number) => (fleet: SimulatedFleet, second: number): void => {
  if (second !== at) return
  fleet.coordinators = new Set([1])
  fleet.restart(0, 1)
}

/** Guards against a move that hangs, starts again or skips its checks because its coordinator crashed. */
test('a move continues when its coordinator crashes at any point', (t) => {
  for (const at of [0, 2, 5, 12, 60, 130, 200, 270, 282, 285, 300, 340]) {
    const good = run('good', restartCoordinatorAt(at))
    t.is(good.outcome, 'done', `at ${at}: ${good.reason}`)
    t.true(good.isInTime, `at ${at}`)
    const shares = good.events.filter((event) => event.type === 'moveStage').map((event) => event.fields.share ?? 0)
    t.deepEqual(shares, shares.toSorted((a, b) => a - b), `at ${at}`)
    for (const name of ['fail3', 'badInHold']) t.is(run(name, restartCoordinatorAt(at)).outcome, 'takenBack', `${name} at ${at}`)
  }
})

interface Fault {
  title: string
  inject: NonNullable<MoveCase['injectFault']>
}

const FAULTS: readonly Fault[] = [
  { title: 'two coordinators at the same time', inject: (fleet) => { fleet.coordinators = new Set([0, 1]) } },
  {
    title: 'no coordinator for 20 seconds',
    inject: (fleet, second) => { fleet.coordinators = new Set(second >= 100 && second < 120 ? [] : [2]) }
  },
  {
    title: 'a coordinator paused for 40 seconds while another takes over',
    inject: (fleet, second) => {
      if (second === 80) fleet.stoppedDaemons.add(0)
      if (second === 90) fleet.coordinators = new Set([0, 1])
      if (second === 120) fleet.stoppedDaemons.delete(0)
    }
  },
  {
    title: 'a new coordinator every 30 seconds',
    inject: (fleet, second) => { fleet.coordinators = new Set([Math.floor(second / 30) % 5]) }
  }
]

for (const { title, inject } of FAULTS) {
  test(`${title}: good moves are done and bad ones taken back`, (t) => {
    t.is(run('good', inject).outcome, 'done')
    for (const name of ['fail100', 'fail3', 'badAfterMinute', 'badInHold']) {
      const bad = run(name, inject)
      t.is(bad.outcome, 'takenBack', `${name}: ${bad.reason}`)
    }
  })
}

/** Guards against a paused coordinator that raises the share of a rolled-back move when it resumes. */
test('a coordinator that was paused during the rollback publishes no further stage', (t) => {
  const result = run('fail20', (fleet, second) => {
    if (second === 14) fleet.stoppedDaemons.add(0)
    if (second === 15) fleet.coordinators = new Set([1, 0])
    if (second === 60) fleet.stoppedDaemons.delete(0)
  }, { secondsAfterOutcome: 100 })
  t.is(result.outcome, 'takenBack')
  const rollback = result.events.find((event) => event.type === 'moveRollback')!
  t.false(result.events.some((event) => event.type === 'moveStage' && event.second > rollback.second))
})

/** Guards against stages timed by wall clocks: skew of a minute may shift the end by a minute at most, nothing else. */
test('moves end correctly with clocks skewed by a minute', (t) => {
  for (const minutes of [-1, 1]) {
    const skewMs = (daemon: number): number => (daemon % 2 === 0 ? minutes : -minutes) * 60_000
    t.is(run('good', undefined, { skewMs }).outcome, 'done')
    t.is(run('fail20', undefined, { skewMs }).outcome, 'takenBack')
  }
})

/** Guards against daemons that need a coordinator to stop sending calls to a failing version. */
test('daemons roll back a failing version without a coordinator', (t) => {
  const result = run('badAfterMinute', (fleet, second) => {
    fleet.coordinators = new Set(second < 70 ? [0] : second < 120 ? [] : [1])
  }, { rate: 'high' })
  t.is(result.outcome, 'takenBack')
  t.regex(result.reason, /calls of one daemon/)
  t.true(result.secondsToLastBadCall! < 30)
})

const CONTROLS = [
  { control: 'takeBack', outcome: 'takenBack', reason: () => 'an operator took the move back' },
  { control: 'finish', outcome: 'done', reason: (share: number) => `an operator finished the move at a share of ${share * 100}%` }
] as const

for (const { control, outcome, reason } of CONTROLS) {
  test(`an operator's ${control} ends the move ${outcome}`, (t) => {
    const at = 100
    const result = run('good', (fleet, second) => { if (second === at) fleet.setControl(control) })
    const stages = result.events.filter((event) => event.type === 'moveStage' && event.second <= START_SECOND + at)
    t.is(result.outcome, outcome)
    t.is(result.outcomeCount, 1)
    t.is(result.reason, reason(stages.at(-1)!.fields.share!))
    t.true(result.seconds <= at + 6)
  })
}

/** Guards against a pause that ends the move or turns off its checks. */
test('a paused move keeps its share, continues when resumed, and is taken back when it fails', (t) => {
  const pause = (fleet: SimulatedFleet, second: number): void => {
    if (second === 50) fleet.setControl('paused')
    if (second === 150) fleet.setControl('run')
  }
  const good = run('good', pause)
  t.is(good.outcome, 'done')
  t.false(good.events.some((event) => event.type === 'moveStage' && event.second > START_SECOND + 51 && event.second <= START_SECOND + 150))
  t.deepEqual(good.events.filter((event) => /Paused|Resumed/.test(event.type)).map((event) => event.type), ['movePaused', 'moveResumed'])
  t.is(run('badAfterMinute', pause).outcome, 'takenBack')
})
