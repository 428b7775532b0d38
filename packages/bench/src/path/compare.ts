import type { LoadStream, StreamResult } from '@lentilwheel/testkit'
import type { BenchResult, ReportProgress } from '../options.js'
import { ProxyTestbed } from './fleet.js'

const RATES = [350, 1_000]
const SECONDS = 4
const WARMUP_SECONDS = 1
/** Each repeat starts new processes: equal builds differ by up to 15% between processes, however long they run. */
const REPEATS = 4
/** Rate at which the CPU time of a call is compared; most of one core. */
const BUSY_RATE = 4_000
/** Short slices in turn see the same disturbances, so that the ratios of pairs vary less than those of long runs. */
const BUSY_SECONDS = 0.5
const BUSY_WARMUP_SECONDS = 0.1
const BUSY_SLICES = 5

interface BuildPair { baseline: number, current: number }

/**
 * Compares this build's proxy with an earlier one in the same load, calls of both interleaved, because figures of
 * different runs on a shared machine don't compare. Reports the median and the range of the ratios of single runs.
 */
export async function compare (baselineDir: string, seed: number, report: ReportProgress): Promise<BenchResult> {
  const samples = new Map<string, BuildPair[]>()
  const add = (key: string, sample: BuildPair): void => { samples.set(key, [...samples.get(key) ?? [], sample]) }
  for (let i = 0; i < REPEATS; i++) {
    const fleet = new ProxyTestbed(baselineDir)
    try {
      await fleet.start()
      await fleet.warmUp(seed + i)
      for (const rate of RATES) await compareLatency(fleet, rate, seed + i, add)
      for (let pair = 0; pair < BUSY_SLICES; pair++) await compareBusy(fleet, seed + pair, add)
    } finally {
      await fleet.stop()
    }
    report(`repeat ${i + 1} of ${REPEATS} done`)
  }
  return Object.fromEntries([...samples].map(([key, list]) => [key, summarise(list)]))
}

type AddSample = (key: string, sample: BuildPair) => void

async function compareLatency (fleet: ProxyTestbed, rate: number, seed: number, add: AddSample): Promise<void> {
  const base = { path: '/read/x', rate }
  const streams: LoadStream[] = [
    { name: 'direct', ports: fleet.targetPorts, ...base },
    { name: 'baseline', ports: [fleet.baselinePort], ...base },
    { name: 'current', ports: [fleet.proxyPort], ...base }
  ]
  const before = await readCpuMs(fleet)
  const results = await fleet.runLoad({ streams, seconds: SECONDS, warmupSeconds: WARMUP_SECONDS, seed })
  const after = await readCpuMs(fleet)
  await fleet.takeRuns()
  const [direct, baseline, current] = results as [StreamResult, StreamResult, StreamResult]
  const calls = rate * (SECONDS + WARMUP_SECONDS)
  add(`${rate}/s added p50 ms`, { baseline: baseline.p50Ms - direct.p50Ms, current: current.p50Ms - direct.p50Ms })
  add(`${rate}/s added p99 ms`, { baseline: baseline.p99Ms - direct.p99Ms, current: current.p99Ms - direct.p99Ms })
  add(`${rate}/s cpu us per call`, {
    baseline: (after.baseline - before.baseline) * 1000 / calls, current: (after.current - before.current) * 1000 / calls
  })
}

/** One after the other, as two busy proxies at once would disturb each other. */
async function compareBusy (fleet: ProxyTestbed, seed: number, add: AddSample): Promise<void> {
  const sample: BuildPair = { baseline: 0, current: 0 }
  for (const which of ['baseline', 'current'] as const) {
    const port = which === 'baseline' ? fleet.baselinePort : fleet.proxyPort
    const before = await readCpuMs(fleet)
    const streams = [{ name: which, ports: [port], path: '/read/x', rate: BUSY_RATE }]
    await fleet.runLoad({ streams, seconds: BUSY_SECONDS, warmupSeconds: BUSY_WARMUP_SECONDS, seed })
    const calls = BUSY_RATE * (BUSY_SECONDS + BUSY_WARMUP_SECONDS)
    sample[which] = ((await readCpuMs(fleet))[which] - before[which]) * 1000 / calls
    await fleet.takeRuns()
  }
  add(`${BUSY_RATE}/s cpu us per call`, sample)
}

async function readCpuMs (fleet: ProxyTestbed): Promise<BuildPair> {
  return { baseline: (await fleet.usage('baseline')).cpuMs, current: (await fleet.usage()).cpuMs }
}

function summarise (samples: readonly BuildPair[]): BenchResult {
  const median = (values: number[]): number => round(values.sort((a, b) => a - b)[values.length >> 1]!)
  const ratios = samples.map((sample) => sample.current / sample.baseline).sort((a, b) => a - b)
  return {
    baseline: median(samples.map((sample) => sample.baseline)),
    current: median(samples.map((sample) => sample.current)),
    ratio: median([...ratios]),
    ratioMin: round(ratios[0]!),
    ratioMax: round(ratios.at(-1)!)
  }
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
