import type { LoadStream, StreamResult } from '@lentilwheel/testkit'
import type { BenchResult, ReportProgress } from '../options.js'
import { ProxyTestbed } from './proxyTestbed.js'

const RATES = [350, 1_000]
const SECONDS = 4
const WARMUP_SECONDS = 1
/** Each repeat uses new processes, as processes of the same build differ by up to 15%, however long they run. */
const REPEATS = 4
/** Calls a second at which the CPU time per call is compared; they keep a proxy busy for most of a core. */
const BUSY_RATE = 4_000
/** Short slices, alternating between the builds, see the same disturbances; their ratios vary less than those of long runs. */
const BUSY_SECONDS = 0.5
const BUSY_WARMUP_SECONDS = 0.1
/** Pairs of slices in each repeat. */
const BUSY_SLICES = 5

/** The same figure for both builds. */
interface BuildPair { baseline: number, current: number }

/**
 * Compares this build's proxy with an earlier build under the same load. Calls to both are interleaved, because figures
 * from different runs on a shared machine aren't comparable. Returns medians, and the range of the ratios of the runs.
 */
export async function compare (baselineDir: string, seed: number, report: ReportProgress): Promise<BenchResult> {
  const samples = new Map<string, BuildPair[]>()
  const add = (key: string, sample: BuildPair): void => { samples.set(key, [...samples.get(key) ?? [], sample]) }
  for (let i = 0; i < REPEATS; i++) {
    const testbed = new ProxyTestbed(baselineDir)
    try {
      await testbed.start()
      await testbed.warmUp(seed + i)
      for (const rate of RATES) await compareLatency(testbed, rate, seed + i, add)
      for (let slice = 0; slice < BUSY_SLICES; slice++) await compareBusy(testbed, seed + slice, add)
    } finally {
      await testbed.stop()
    }
    report(`repeat ${i + 1} of ${REPEATS} done`)
  }
  return Object.fromEntries([...samples].map(([key, values]) => [key, summarise(values)]))
}

type AddSample = (key: string, sample: BuildPair) => void

async function compareLatency (testbed: ProxyTestbed, rate: number, seed: number, add: AddSample): Promise<void> {
  const base = { path: '/read/x', rate }
  const streams: LoadStream[] = [
    { name: 'direct', ports: testbed.targetPorts, ...base },
    { name: 'baseline', ports: [testbed.baselinePort], ...base },
    { name: 'current', ports: [testbed.proxyPort], ...base }
  ]
  const before = await readCpuMs(testbed)
  const results = await testbed.runLoad({ streams, seconds: SECONDS, warmupSeconds: WARMUP_SECONDS, seed })
  const after = await readCpuMs(testbed)
  await testbed.takeRuns()
  const [direct, baseline, current] = results as [StreamResult, StreamResult, StreamResult]
  const calls = rate * (SECONDS + WARMUP_SECONDS)
  add(`${rate}/s added p50 ms`, { baseline: baseline.p50Ms - direct.p50Ms, current: current.p50Ms - direct.p50Ms })
  add(`${rate}/s added p99 ms`, { baseline: baseline.p99Ms - direct.p99Ms, current: current.p99Ms - direct.p99Ms })
  add(`${rate}/s cpu us per call`, {
    baseline: (after.baseline - before.baseline) * 1000 / calls, current: (after.current - before.current) * 1000 / calls
  })
}

/** Loads one build after the other, as two busy proxies would disturb each other. */
async function compareBusy (testbed: ProxyTestbed, seed: number, add: AddSample): Promise<void> {
  const sample: BuildPair = { baseline: 0, current: 0 }
  for (const build of ['baseline', 'current'] as const) {
    const port = build === 'baseline' ? testbed.baselinePort : testbed.proxyPort
    const before = await readCpuMs(testbed)
    const streams = [{ name: build, ports: [port], path: '/read/x', rate: BUSY_RATE }]
    await testbed.runLoad({ streams, seconds: BUSY_SECONDS, warmupSeconds: BUSY_WARMUP_SECONDS, seed })
    const calls = BUSY_RATE * (BUSY_SECONDS + BUSY_WARMUP_SECONDS)
    sample[build] = ((await readCpuMs(testbed))[build] - before[build]) * 1000 / calls
    await testbed.takeRuns()
  }
  add(`${BUSY_RATE}/s cpu us per call`, sample)
}

async function readCpuMs (testbed: ProxyTestbed): Promise<BuildPair> {
  return { baseline: (await testbed.usage('baseline')).cpuMs, current: (await testbed.usage()).cpuMs }
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
