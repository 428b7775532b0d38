import type { LoadOptions } from './loadOptions.js'
import { ATELIER_WORKLOAD, CARVERS_WORKLOAD, FLOOR_SHOPS_WORKLOAD, GROWN_CARVERS_WORKLOAD, LARGE_FLOOR_SHOPS_WORKLOAD, LOST_PROPERTY_WORKLOAD, OIL_DEPOTS_WORKLOAD, type Workload } from './workloads.js'

/** A load that is played to compare policies. */
export interface LoadScenario {
  name: string
  workload: Workload
  opts: Omit<LoadOptions, 'seed'>
}

const WAVE_SWING = 0.55
const WAVE_PERIOD_S = 15
/** Shift of the wave of each data centre, as a part of its period. */
const WAVE_PHASES: Readonly<Record<string, number>> = { a: 0.1, b: 0.18, c: 0.26 }
/** The second largest workspace. */
export const HOT_WORKSPACE = 1
const NEIGHBOURS = { share: 0.15, factor: 2.5, periodMs: 600 }

function waveAt (dataCentre: string, second: number): number {
  return 1 + WAVE_SWING * Math.sin(2 * Math.PI * (second / WAVE_PERIOD_S + WAVE_PHASES[dataCentre]!))
}

/** Callers of 84 workspaces of very uneven size, of which one sends more than usual; `isKnown`: whether daemons know the workspaces. */
export function sharedLoad (hotFactor: number, isKnown: boolean): Omit<LoadOptions, 'seed'> {
  return { seconds: 8, rateAt: () => 1, workspaces: { count: 84, exponent: 1.2, isKnown, hot: { index: HOT_WORKSPACE, factor: hotFactor } } }
}

/** Demand in waves on targets that share their machines; `isReported`: whether they report how much that slows them down. */
export function unevenLoad (isReported: boolean, rate = 1): Omit<LoadOptions, 'seed'> {
  return { seconds: 15, rateAt: () => rate, dataCentreRateAt: waveAt, clumpSize: (dataCentre) => dataCentre === 'a' ? 2 : 1, neighbours: { ...NEIGHBOURS, isReported } }
}

export const LOAD_SCENARIOS: readonly LoadScenario[] = [
  { name: 'uneven', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(true) },
  { name: 'unevenBusy', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(true, 1.12) },
  { name: 'unevenOver', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(true, 1.25) },
  { name: 'unevenCalm', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(true, 0.3) },
  { name: 'unevenHeavy', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(true, 1.6) },
  { name: 'unevenUnreported', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(false, 1.12) },
  { name: 'unevenHeavyUnreported', workload: OIL_DEPOTS_WORKLOAD, opts: unevenLoad(false, 1.6) },
  { name: 'shared', workload: LOST_PROPERTY_WORKLOAD, opts: sharedLoad(1, true) },
  { name: 'sharedHot', workload: LOST_PROPERTY_WORKLOAD, opts: sharedLoad(6, true) },
  { name: 'sharedHotUnknown', workload: LOST_PROPERTY_WORKLOAD, opts: sharedLoad(6, false) },
  { name: 'atelierCalm', workload: ATELIER_WORKLOAD, opts: { seconds: 20, rateAt: () => 0.6 } },
  { name: 'atelier', workload: ATELIER_WORKLOAD, opts: { seconds: 20, rateAt: () => 1.6 } },
  { name: 'carvers', workload: CARVERS_WORKLOAD, opts: { seconds: 8, rateAt: () => 1.4 } },
  { name: 'floorsCalm', workload: FLOOR_SHOPS_WORKLOAD, opts: { seconds: 12, rateAt: () => 0.65 } },
  { name: 'floors', workload: FLOOR_SHOPS_WORKLOAD, opts: { seconds: 12, rateAt: () => 1 } },
  { name: 'floorsBusy', workload: FLOOR_SHOPS_WORKLOAD, opts: { seconds: 12, rateAt: () => 1.5 } },
  { name: 'manyFloors', workload: LARGE_FLOOR_SHOPS_WORKLOAD, opts: { seconds: 6, rateAt: () => 1 } },
  { name: 'grownCarvers', workload: GROWN_CARVERS_WORKLOAD, opts: { seconds: 6, rateAt: () => 1 } }
]
