import test from 'ava'
import { loadFigures } from './loadFigures.js'
import { LoadSimulator } from './loadSimulator.js'
import { unevenLoad } from './loadScenarios.js'
import { OIL_DEPOTS_WORKLOAD } from './workloads.js'

/** Factor on the rate at which demand exceeds the slots at the crest of its wave. */
const OVERLOAD_RATE = 1.25

for (const seed of [1, 2]) {
  test(`guards against requests being refused at the crest of demand while targets have room, as those chosen have no slot left: seed ${seed}`, (t) => {
    const simulator = new LoadSimulator(OIL_DEPOTS_WORKLOAD, { ...unevenLoad(true, OVERLOAD_RATE), seconds: 10, seed })
    const { worth, rejectedOffersPerAnswer, busiest } = loadFigures(simulator, simulator.run(), OIL_DEPOTS_WORKLOAD)
    t.true(worth >= 0.92, `${worth}`)
    t.true(rejectedOffersPerAnswer <= 1.6, `${rejectedOffersPerAnswer}`)
    t.true(busiest['orders']! <= 2.4, `${busiest['orders']}`)
  })
}
