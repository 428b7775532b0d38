import type { ClassResult } from './loadOptions.js'
import { loadFigures } from './loadFigures.js'
import { LoadSimulator } from './loadSimulator.js'
import { HOT_WORKSPACE, LOAD_SCENARIOS, type LoadScenario } from './loadScenarios.js'
import type { SimWorkspaces } from './simWorkspaces.js'

// Plays the load scenarios and prints what callers get:
// node --import=tsx --conditions=source packages/hop/src/__tests__/loadReport.ts [SCENARIO,...] [SEED,...]

const [names = '', seeds = '1,2'] = process.argv.slice(2)
const chosen = LOAD_SCENARIOS.filter(({ name }) => names === '' || names.split(',').includes(name))
for (const scenario of chosen) {
  for (const seed of seeds.split(',').map(Number)) play(scenario, seed)
}

function play ({ name, workload, opts }: LoadScenario, seed: number): void {
  const simulator = new LoadSimulator(workload, { ...opts, seed })
  const startedAt = process.cpuUsage().user
  const results = simulator.run()
  const cpuS = (process.cpuUsage().user - startedAt) / 1e6
  const { worth, rejectedOffersPerAnswer, busiest, loadAgeMs, remoteMb } = loadFigures(simulator, results, workload)
  const busiestTexts = Object.entries(busiest).map(([service, factor]) => `${service} ${factor.toFixed(2)}`)
  console.log(`${name} seed ${seed}: worth ${worth.toFixed(3)}, rejected offers per answer ${rejectedOffersPerAnswer.toFixed(2)}, busiest/mean ${busiestTexts.join(', ')}, age p50 ${loadAgeMs.toFixed(0)} ms, crossed ${remoteMb.toFixed(1)} MB, ${cpuS.toFixed(1)} s CPU`)
  for (const { name: cls, ratePerS } of workload.classes) if (ratePerS > 0) printClass(cls, results[cls]!)
  if (simulator.workspaces) printWorkspaces(simulator.workspaces)
}

function printClass (name: string, { requests, late, rejected, failed, valueShare, rejectedAgain, lateRejections }: ClassResult): void {
  console.log(`  ${name.padEnd(9)} ${valueShare.toFixed(3)} of ${requests}: late ${late}, refused ${rejected}, failed ${failed}, refused again ${rejectedAgain}, refused late ${lateRejections}`)
}

function printWorkspaces (workspaces: SimWorkspaces): void {
  const { served, requests } = workspaces.results[HOT_WORKSPACE]!
  const shares = workspaces.servedByTenth(HOT_WORKSPACE).map((share) => share.toFixed(3))
  console.log(`  served of the hot workspace ${(served / requests).toFixed(3)}; of tenths of the others ${shares.join(' ')}`)
}
