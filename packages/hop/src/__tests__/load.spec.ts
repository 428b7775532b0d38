import test from 'ava'
import { LoadPlayer, type ClassResult, type LoadOptions } from './loadPlayer.js'
import { ATELIER, CARVERS, FLOORS, type Sheet } from './sheets.js'

const SEEDS = [1, 2, 3]
/** What the users state for a calm day: parts of the requests served, and of the worth earned. */
const CALM_SERVED = 0.99
const CALM_WORTH = 0.97
/** A more urgent kind of request is served at most this much less often than a less urgent one of its service. */
const INVERSION = 0.05
/** Refusals that may come later than a quarter of the target latency, as a part of the requests. */
const HELD = 0.05
/** What the users allow over all daemons in 10 s. */
const BUDGET = { ratio: 0.2, slack: 56 }

function play (opts: Omit<LoadOptions, 'seed' | 'seconds'>): Record<string, ClassResult>[] {
  return SEEDS.map((seed) => new LoadPlayer(ATELIER, { seed, seconds: 20, ...opts }).play())
}

function total (results: Record<string, ClassResult>, sheet: Sheet = ATELIER): { served: number, worth: number } {
  let asked = 0
  let served = 0
  let earned = 0
  let owed = 0
  for (const { name, worth, lateWorth } of sheet.classes) {
    const result = results[name]!
    asked += result.asked
    served += result.inTarget + result.late
    earned += result.inTarget * worth + result.late * lateWorth
    owed += result.asked * worth
  }
  return { served: served / asked, worth: earned / owed }
}

function servedShare ({ asked, inTarget, late }: ClassResult): number {
  return (inTarget + late) / asked
}

test('guards what callers get on a calm day', (t) => {
  for (const results of play({ rateAt: () => 0.6 })) {
    const { served, worth } = total(results)
    t.true(served >= CALM_SERVED && worth >= CALM_WORTH, JSON.stringify(results))
  }
})

test('guards against a burst leaving the service overloaded after it has passed', (t) => {
  for (const seed of SEEDS) {
    const quietEnd = new LoadPlayer(ATELIER, { seed, seconds: 30, rateAt: (second) => second > 4 && second < 10 ? 2.5 : 0.7 }).play()
    const without = new LoadPlayer(ATELIER, { seed, seconds: 30, rateAt: () => 0.7 }).play()
    const failed = quietEnd['browse']!.refused + quietEnd['browse']!.failed
    // The burst brings 6 s of 1.8 times the usual rate too much; what fails must not exceed that excess.
    t.true(failed <= 6 * 57 * 1.8, `${failed}`)
    t.is(without['browse']!.refused + without['browse']!.failed, 0)
  }
})

test('guards against requests being held that are refused in the end', (t) => {
  for (const results of play({ rateAt: () => 1.8 })) {
    const { refused, lateRefusals, asked } = results['browse']!
    t.true(refused > 0, 'the load must be too high')
    t.true(lateRefusals <= HELD * asked, `${lateRefusals} of ${asked}`)
  }
})

test('guards against urgent requests being served less often than less urgent ones', (t) => {
  for (const results of play({ rateAt: () => 2 })) {
    t.true(servedShare(results['lookup']!) >= servedShare(results['sheet']!) - INVERSION)
    t.true(servedShare(results['order']!) >= servedShare(results['browse']!) - INVERSION)
  }
})

test('guards against urgent requests being put behind the calls of less urgent ones', (t) => {
  for (const seed of SEEDS) {
    const slowness = (_host: string, service: string): number => service === 'commissions' ? 1.8 : 1
    const results = new LoadPlayer(CARVERS, { seed, seconds: 6, rateAt: () => 1, slowness }).play()
    t.true(results['deposit']!.refused + results['browse']!.refused > 0, 'the load must be too high')
    t.true(servedShare(results['deposit']!) >= servedShare(results['browse']!) - INVERSION, JSON.stringify(results))
    t.true(results['deposit']!.lateRefusals <= HELD * results['deposit']!.asked, JSON.stringify(results['deposit']))
  }
})

test('guards against refused callers being sent away for so long that their answer must be late', (t) => {
  for (const results of play({ rateAt: () => 1.6 })) {
    const { cameBack, cameBackInTarget } = results['browse']!
    t.true(cameBack > 0, 'callers must have come back')
    t.true(cameBackInTarget >= cameBack / 2, `${cameBackInTarget} of ${cameBack}`)
  }
})

test('guards against orders being lost because a target sheds part of its requests', (t) => {
  for (const results of play({ rateAt: () => 0.7, shedding: (host) => host === 'h05' ? 0.5 : 0 })) {
    t.true(servedShare(results['order']!) >= CALM_SERVED, JSON.stringify(results['order']))
  }
})

test('guards against the calls of repeated runs exceeding the retry budget of the service that they call', (t) => {
  for (const seed of SEEDS) {
    // No longer than the window of the budget, so that all repeats fall into one.
    const player = new LoadPlayer(ATELIER, { seed, seconds: 9, rateAt: () => 0.9, failing: () => 0.4 })
    player.play()
    for (const [service, { requests, repeats }] of player.counts) {
      const allowed = BUDGET.ratio * requests + BUDGET.slack
      t.true(repeats <= allowed, `${service}, seed ${seed}: ${repeats} of ${requests}, ${allowed} allowed`)
    }
  }
})

test('guards against one slow target making a calm service late', (t) => {
  for (const results of play({ rateAt: () => 0.6, slowness: (host) => host === 'h02' ? 6 : 1 })) {
    t.true(total(results).worth >= 0.94, JSON.stringify(results))
  }
})

test('guards against large bodies crossing data centres on a calm day, and against calls waiting for the sake of bytes', (t) => {
  const { requestBytes: size } = FLOORS.classes.find(({ name }) => name === 'upload')!
  for (const seed of SEEDS) {
    const player = new LoadPlayer(FLOORS, { seed, seconds: 12, rateAt: () => 0.65 })
    const results = player.play()
    const { served, worth } = total(results, FLOORS)
    t.true(served >= CALM_SERVED && worth >= CALM_WORTH, JSON.stringify(results))
    // Every target is tried once by every daemon, to learn of it; what comes on top is a tenth at most.
    const trials = 13 * 3
    const crossed = player.crossingBytes.get('upload')! / size!
    t.true(crossed <= trials + results['upload']!.asked / 10, `${crossed} of ${results['upload']!.asked}`)
  }
})
