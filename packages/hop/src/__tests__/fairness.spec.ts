import test from 'ava'
import { LoadSimulator } from './loadSimulator.js'
import { HOT_WORKSPACE, sharedLoad } from './loadScenarios.js'
import { LOST_PROPERTY_WORKLOAD } from './workloads.js'

for (const seed of [1, 2]) {
  test(`guards against the callers of one workspace taking the slots of all others: seed ${seed}`, (t) => {
    const simulator = new LoadSimulator(LOST_PROPERTY_WORKLOAD, { ...sharedLoad(6, true), seconds: 6, seed })
    simulator.run()
    const workspaces = simulator.workspaces!
    const { served, requests } = workspaces.results[HOT_WORKSPACE]!
    const shares = workspaces.servedByTenth(HOT_WORKSPACE)
    t.log(served / requests, shares)
    // The first tenth has the largest workspace, which sends as much as a fair share allows.
    for (const share of shares.slice(1)) t.true(share >= 0.85, `${share}`)
    for (const share of shares) t.true(share >= served / requests + 0.1, `${share}`)
  })
}
