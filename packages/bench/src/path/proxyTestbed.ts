import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { EndpointView } from '@lentilwheel/core'
import type { ConfigInput } from '@lentilwheel/config'
import { CommandProcess, LOAD_PROGRAM, TARGET_PROGRAM, type LoadRequest, type StreamResult } from '@lentilwheel/testkit'

const PROXY_PROGRAM = fileURLToPath(new URL('./proxyMain.js', import.meta.url))
const PLAIN_HOP_PROGRAM = fileURLToPath(new URL('./plainHopMain.js', import.meta.url))
export const TARGET_COUNT = 6

/** Calls a second to each process while it warms up. */
const WARMUP_RATE = 1_500
const WARMUP_SECONDS = 6

/** Slots of each target: enough that the proxy limits the rate and not the targets. */
const SLOTS = 64

/** CPU time, memory and counters of a proxy process since its start. */
export interface ProxyUsage {
  cpuMs: number
  rssMb: number
  counters: Record<string, number>
}

/** The processes of the path bench: targets, a proxy, a load generator and, for comparisons, a proxy of another build. */
export class ProxyTestbed {
  readonly targets: CommandProcess[] = []
  readonly proxy = new CommandProcess(PROXY_PROGRAM, proxyNodeArgs())
  readonly load = new CommandProcess(LOAD_PROGRAM)
  /** The proxy to compare with. */
  readonly baseline: CommandProcess | undefined
  targetPorts: number[] = []
  proxyPort = 0
  /** 0 without a baseline. */
  baselinePort = 0
  #configCount = 0

  /** `baseline` is `plain` for the minimal forwarder, or the directory of a built checkout of an earlier version. */
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

  /** Applies a configuration that differs from the one before in one route. */
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

  /** Tells the proxies the state of each target. */
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

  /** Sends calls until the JIT has compiled the hot code of each process, as in a process that has run for minutes. */
  async warmUp (seed: number): Promise<void> {
    const streams = [this.proxyPort, this.baselinePort].filter((port) => port !== 0)
      .map((port, i) => ({ name: `warm${i}`, ports: [port], path: '/read/x', rate: WARMUP_RATE }))
    streams.push({ name: 'warm', ports: this.targetPorts, path: '/read/x', rate: WARMUP_RATE })
    await this.runLoad({ streams, seconds: WARMUP_SECONDS, warmupSeconds: 0, seed })
    await this.takeRuns()
  }

  async usage (name: 'proxy' | 'baseline' = 'proxy'): Promise<ProxyUsage> {
    return await this[name]!.call<ProxyUsage>('usage')
  }

  /** Returns how often each request id ran on the targets since the last call of this method. */
  async takeRuns (): Promise<Map<string, number>> {
    const runs = new Map<string, number>()
    for (const target of this.targets) {
      const runsOfTarget = await target.call<[string, number][]>('takeRuns').catch(() => [])
      for (const [id, count] of runsOfTarget) runs.set(id, (runs.get(id) ?? 0) + count)
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

/** Command-line options of Node for the proxy process, such as `--cpu-prof` to profile it. */
function proxyNodeArgs (): string[] {
  return (process.env['LENTILWHEEL_BENCH_PROXY_ARGS'] ?? '').split(' ').filter((arg) => arg !== '')
}
