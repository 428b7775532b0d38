import test from 'ava'
import type { ClassResult } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { unevenLoad } from './loadScenarios.js'
import { OIL_DEPOTS_WORKLOAD } from './workloads.js'

/** Factor on the rate at which demand exceeds the slots at the crest of its wave. */
const OVERLOAD_RATE = 1.25

interface Outcome {
  /** Value earned, as a part of what could have been. */
  worth: number
  results: Record<string, ClassResult>
  rejectedOffersPerAnswer: number
  /** Requests of the busiest order target, as a multiple of the mean. */
  busiest: number
}

function play (isReported: boolean, seed: number): Outcome {
  const simulator = new LoadSimulator(OIL_DEPOTS_WORKLOAD, { ...unevenLoad(isReported, OVERLOAD_RATE), seconds: 10, seed })
  const results = simulator.run()
  let earned = 0
  let owed = 0
  let answers = 0
  for (const { name, value, lateValue } of OIL_DEPOTS_WORKLOAD.classes) {
    const { requests, onTime, late } = results[name]!
    earned += onTime * value + late * lateValue
    owed += requests * value
    answers += onTime + late
  }
  const rejected = [...simulator.rejectedOffers.values()].reduce((a, b) => a + b, 0)
  const counts = [...simulator.arrivals].filter(([host]) => simulator.serviceOf(host) === 'orders').map(([, times]) => times.length)
  const busiest = Math.max(...counts) * counts.length / counts.reduce((a, b) => a + b)
  return { worth: earned / owed, results, rejectedOffersPerAnswer: rejected / answers, busiest }
}

for (const seed of [1, 2]) {
  test(`guards against requests being refused at the crest of demand while targets have room, as those chosen have no slot left: seed ${seed}`, (t) => {
    const outcome = play(true, seed)
    t.log(outcome)
    t.true(outcome.worth >= 0.92, `${outcome.worth}`)
    t.true(outcome.rejectedOffersPerAnswer <= 1.6, `${outcome.rejectedOffersPerAnswer}`)
    t.true(outcome.busiest <= 2.4, `${outcome.busiest}`)
  })
}
