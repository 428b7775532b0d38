import type { LoadOptions } from './loadOptions.js'
import { LoadSimulator } from './loadSimulator.js'
import { HOT_WORKSPACE, LOAD_SCENARIOS } from './loadScenarios.js'

// Plays the load scenarios and prints what callers get:
// node --import=tsx --conditions=source packages/hop/src/__tests__/loadReport.ts [SCENARIO,...] [SEED,...]

const [names = '', seeds = '1,2'] = process.argv.slice(2)
const chosen = LOAD_SCENARIOS.filter(({ name }) => names === '' || names.split(',').includes(name))
for (const { name, workload, opts } of chosen) {
  for (const seed of seeds.split(',').map(Number)) report(name, new LoadSimulator(workload, { ...opts, seed }), workload.classes, { ...opts, seed })
}

function report (name: string, simulator: LoadSimulator, classes: readonly { name: string, value: number, lateValue: number, ratePerS: number }[], { seed }: LoadOptions): void {
  const startedAt = process.cpuUsage().user
  const results = simulator.run()
  let earned = 0
  let owed = 0
  let answers = 0
  const lines: string[] = []
  for (const { name: cls, value, lateValue, ratePerS } of classes) {
    if (ratePerS === 0) continue
    const { requests, onTime, late, rejected, failed, valueShare, rejectedAgain, lateRejections } = results[cls]!
    earned += onTime * value + late * lateValue
    owed += requests * value
    answers += onTime + late
    lines.push(`  ${cls.padEnd(9)} ${valueShare.toFixed(3)} of ${requests}: late ${late}, refused ${rejected}, failed ${failed}, refused again ${rejectedAgain}, refused late ${lateRejections}`)
  }
  const refused = [...simulator.rejectedOffers.values()].reduce((a, b) => a + b, 0)
  const perTarget = new Map<string, number[]>()
  for (const [host, times] of simulator.arrivals) {
    const service = simulator.serviceOf(host)
    perTarget.set(service, [...perTarget.get(service) ?? [], times.length])
  }
  const busiest = [...perTarget].map(([service, counts]) => `${service} ${(Math.max(...counts) * counts.length / counts.reduce((a, b) => a + b)).toFixed(2)}`).join(', ')
  const ages = simulator.loadAges.sort((a, b) => a - b)
  const remoteBytes = [...simulator.remoteBytes.values()].reduce((a, b) => a + b, 0)
  console.log(`${name} seed ${seed}: worth ${(earned / owed).toFixed(3)}, rejected offers per answer ${(refused / answers).toFixed(2)}, busiest/mean ${busiest}, age p50 ${ages[ages.length >> 1]?.toFixed(0)} ms, crossed ${(remoteBytes / 1e6).toFixed(1)} MB, ${((process.cpuUsage().user - startedAt) / 1e6).toFixed(1)} s CPU`)
  console.log(lines.join('\n'))
  const { workspaces } = simulator
  if (!workspaces) return
  const hot = workspaces.results[HOT_WORKSPACE]!
  console.log(`  served of the hot workspace ${(hot.served / hot.requests).toFixed(3)}; of tenths of the others ${workspaces.servedByTenth(HOT_WORKSPACE).map((share) => share.toFixed(3)).join(' ')}`)
}
