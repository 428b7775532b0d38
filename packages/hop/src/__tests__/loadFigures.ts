import type { ClassResult } from './loadOptions.js'
import type { LoadSimulator } from './loadSimulator.js'
import type { Workload } from './workloads.js'

/** What a simulated load shows of the policy. */
export interface LoadFigures {
  /** Value earned, as a part of what could have been. */
  worth: number
  rejectedOffersPerAnswer: number
  /** Requests of the busiest target of each service, as a multiple of the mean. */
  busiest: Record<string, number>
  /** Median age of what daemons knew of a target when they offered it a request. */
  loadAgeMs: number
  /** Bodies that crossed data centres. */
  remoteMb: number
}

const BYTES_PER_MB = 1e6

export function loadFigures (simulator: LoadSimulator, results: Record<string, ClassResult>, workload: Workload): LoadFigures {
  const ages = [...simulator.loadAges].sort((a, b) => a - b)
  const answers = sum(workload.classes.map(({ name }) => results[name]!.onTime + results[name]!.late))
  return {
    worth: worthOf(results, workload),
    rejectedOffersPerAnswer: sum([...simulator.rejectedOffers.values()]) / answers,
    busiest: Object.fromEntries(workload.services.map(({ name }) => [name, busiestOf(simulator, name)])),
    loadAgeMs: ages[ages.length >> 1] ?? 0,
    remoteMb: sum([...simulator.remoteBytes.values()]) / BYTES_PER_MB
  }
}

function worthOf (results: Record<string, ClassResult>, { classes }: Workload): number {
  const earned = classes.map(({ name, value, lateValue }) => results[name]!.onTime * value + results[name]!.late * lateValue)
  const owed = classes.map(({ name, value }) => results[name]!.requests * value)
  return sum(earned) / sum(owed)
}

function busiestOf (simulator: LoadSimulator, service: string): number {
  const counts = [...simulator.arrivals].filter(([host]) => simulator.serviceOf(host) === service).map(([, times]) => times.length)
  return Math.max(...counts) * counts.length / sum(counts)
}

function sum (values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0)
}
