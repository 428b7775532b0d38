import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { EndpointView } from '@lentilwheel/core'
import type { ConfigInput } from '@lentilwheel/config'
import { CommandProcess, LOAD_PROGRAM, TARGET_PROGRAM, type LoadRequest, type StreamResult } from '@lentilwheel/testkit'

const PROXY_PROGRAM = fileURLToPath(new URL('./proxyMain.js', import.meta.url))
const PLAIN_HOP_PROGRAM = fileURLToPath(new URL('./plainHopMain.js', import.meta.url))
export const TARGET_COUNT = 6

const WARMUP_RATE = 1_500
const WARMUP_SECONDS = 6

/** Enough slots that the proxy and not the targets limits the rate. */
const SLOTS = 64

export interface ProxyUsage {
  cpuMs: number
  rssMb: number
  counters: Record<string, number>
}

/** The processes of one run: targets, one proxy and one load process. */
export class ProxyTestbed {
  readonly targets: CommandProcess[] = []
  readonly proxy = new CommandProcess(PROXY_PROGRAM, proxyNodeArgs())
  readonly load = new CommandProcess(LOAD_PROGRAM)
  /** A proxy of an earlier build, to compare with. */
  readonly baseline: CommandProcess | undefined
  targetPorts: number[] = []
  proxyPort = 0
  baselinePort = 0
  #configCount = 0

  /** The baseline is `plain`, the least that forwards a call, or a built checkout of an earlier version. */
  constructor (baseline?: string) {
    if (baseline === undefined) return
    this.baseline = new CommandProcess(
      baseline === 'plain' ? PLAIN_HOP_PROGRAM : join(baseline, 'packages/bench/dist/path/proxyMain.js'))
  }

  async start (): Promise<void> {
    for (let i = 0; i < TARGET_COUNT; i++) this.targets.push(new CommandProcess(TARGET_PROGRAM))
    this.targetPorts = await Promise.all(
      this.targets.map(async (target) => await target.call<number>('start', { service: 'orders', version: 'v1' })))
    await this.applyNextConfig()
    await this.setEndpoints(() => 'ready')
    this.proxyPort = await this.proxy.call<number>('listen')
    if (this.baseline) this.baselinePort = await this.baseline.call<number>('listen')
  }

  /** Takes a new version into force; each differs from the one before. */
  async applyNextConfig (): Promise<void> {
    const cfg: ConfigInput = {
      services: { orders: { versions: ['v1'], current: 'v1', slots: SLOTS, connections: 256 } },
      routes: {
        read: { service: 'orders', path: '/read/*' },
        place: { service: 'orders', path: '/place', methods: ['POST'], idempotent: false },
        [`r${this.#configCount++}`]: { service: 'orders', path: `/other/${this.#configCount}` }
      }
    }
    await this.#callProxies('setConfig', cfg)
  }

  async setEndpoints (stateOf: (index: number) => EndpointView['state']): Promise<void> {
    const endpoints = this.targetPorts.map((port, i): EndpointView => ({
      id: `d${i}/orders`,
      service: 'orders',
      version: 'v1',
      address: '127.0.0.1',
      port,
      dataCentre: 'here',
      slots: SLOTS,
      connections: 256,
      state: stateOf(i),
      reachable: true
    }))
    await this.#callProxies('setEndpoints', endpoints)
  }

  async runLoad (req: LoadRequest): Promise<StreamResult[]> {
    return await this.load.call<StreamResult[]>('run', req)
  }

  /** Lets every process compile its hot code, as it has after minutes of its usual load. */
  async warmUp (seed: number): Promise<void> {
    const streams = [this.proxyPort, this.baselinePort].filter((port) => port !== 0)
      .map((port, i) => ({ name: `warm${i}`, ports: [port], path: '/read/x', rate: WARMUP_RATE }))
    streams.push({ name: 'warm', ports: this.targetPorts, path: '/read/x', rate: WARMUP_RATE })
    await this.runLoad({ streams, seconds: WARMUP_SECONDS, warmupSeconds: 0, seed })
    await this.takeRuns()
  }

  async usage (of: 'proxy' | 'baseline' = 'proxy'): Promise<ProxyUsage> {
    return await this[of]!.call<ProxyUsage>('usage')
  }

  /** Runs by request id over all targets since the last call. */
  async takeRuns (): Promise<Map<string, number>> {
    const runs = new Map<string, number>()
    for (const target of this.targets) {
      const part = await target.call<[string, number][]>('takeRuns').catch(() => [])
      for (const [id, count] of part) runs.set(id, (runs.get(id) ?? 0) + count)
    }
    return runs
  }

  async stop (): Promise<void> {
    await Promise.all([...this.targets, this.proxy, this.baseline, this.load].map(async (child) => await child?.stop()))
  }

  async #callProxies (name: string, args: unknown): Promise<void> {
    await Promise.all([this.proxy, this.baseline].map(async (proxy) => await proxy?.call(name, args)))
  }
}

/** Options of Node for the proxy process, such as `--cpu-prof`; for profiling only. */
function proxyNodeArgs (): string[] {
  return (process.env['LENTILWHEEL_BENCH_PROXY_ARGS'] ?? '').split(' ').filter((arg) => arg !== '')
}
