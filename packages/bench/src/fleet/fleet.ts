import { request } from 'undici'
import type { TimelineEvent } from '@lentilwheel/core'
import { freePorts, ProcessGroup, waitFor, type StartedDaemon } from '../processes.js'
import { readProcStats, type ProcStats } from './procStats.js'

export const DATA_CENTRES = ['dc1', 'dc2', 'dc3', 'dc4'] as const
const REGIONS: Readonly<Record<string, string>> = { dc1: 'north', dc2: 'north', dc3: 'south', dc4: 'south' }

/** Fixed key of benches and the demo; they run on loopback only. */
export const BENCH_MESH_KEY = 'bench-key-on-loopback'

/** Daemons started at once; more at a time would measure the start of processes and not the mesh. */
const START_WAVE = 20
const START_LIMIT_MS = 60_000
const SEED_COUNT = 5

export interface StatusAnswer {
  daemon: string
  version: number
  rootHash: string
  ready: boolean
  reason: string
  relay: boolean
  members: number
  targets: { ready: number }[]
}

export type Counters = Record<string, number>

/** Real daemon processes on loopback, spread over data centres. */
export class Fleet {
  readonly group = new ProcessGroup()
  readonly daemons: StartedDaemon[] = []
  readonly #platformUrl: string
  readonly #settings: Record<string, unknown>
  #seeds: string[] = []

  constructor (platformUrl: string, settings: Record<string, unknown> = {}) {
    this.#platformUrl = platformUrl
    this.#settings = settings
  }

  async start (count: number, dataCentres: readonly string[] = DATA_CENTRES): Promise<void> {
    const ports = await freePorts(count * 4)
    this.#seeds = Array.from({ length: Math.min(SEED_COUNT, count) }, (_, i) => `127.0.0.1:${ports[i * 4 + 3]!}`)
    for (let i = 0; i < count; i++) {
      const [proxy, admin, target, mesh] = ports.slice(i * 4, i * 4 + 4) as [number, number, number, number]
      this.daemons.push(this.#spawn(`d${i + 1}`, dataCentres[i % dataCentres.length]!, { proxy, admin, target, mesh }))
      if ((i + 1) % START_WAVE === 0) await this.#waitHealthy(this.daemons.slice(-START_WAVE))
    }
    await this.#waitHealthy(this.daemons)
  }

  /** Ends a process without warning and waits until it is gone. */
  async kill (index: number): Promise<void> {
    const child = this.daemons[index]!.process
    if (child.exitCode !== null || child.signalCode !== null) return
    const gone = new Promise((resolve) => child.once('exit', resolve))
    child.kill('SIGKILL')
    await gone
  }

  /** Starts a new process in the place of one that has ended. */
  restart (index: number): void {
    const old = this.daemons[index]!
    this.daemons[index] = this.#spawn(old.id, old.dataCentre, old.ports)
  }

  /** Resolves when all the given daemons answer on their admin side. */
  async waitUp (indexes: readonly number[]): Promise<void> {
    await this.#waitHealthy(indexes.map((index) => this.daemons[index]!))
  }

  async status (index: number): Promise<StatusAnswer> {
    return await this.#getJson<StatusAnswer>(index, '/status')
  }

  async statuses (): Promise<(StatusAnswer | undefined)[]> {
    return await Promise.all(this.daemons.map((_, i) => this.status(i).catch(() => undefined)))
  }

  async events (index: number): Promise<TimelineEvent[]> {
    return (await this.#getJson<{ events: TimelineEvent[] }>(index, '/events')).events
  }

  async counters (): Promise<(Counters | undefined)[]> {
    return await Promise.all(this.daemons.map((_, i) =>
      this.#getJson<{ counters: Counters }>(i, '/counters').then((answer) => answer.counters, () => undefined)))
  }

  procStats (): ProcStats[] {
    return this.daemons.map((daemon) => readProcStats(daemon.process.pid!))
  }

  /** Resolves when every daemon is ready at the version or above. */
  async waitInForce (version: number, limitMs: number): Promise<void> {
    await waitFor(`version ${version} to be in force everywhere`, async () => {
      const statuses = await this.statuses()
      return statuses.every((status) => status !== undefined && status.ready && status.version >= version)
    }, limitMs)
  }

  async stop (): Promise<void> {
    await this.group.stopAll()
  }

  #spawn (id: string, dataCentre: string, ports: StartedDaemon['ports']): StartedDaemon {
    return this.group.startDaemon(id, {
      dataCentre,
      region: REGIONS[dataCentre] ?? 'default',
      platform: { url: this.#platformUrl },
      seeds: this.#seeds,
      meshKey: BENCH_MESH_KEY,
      log: 'off',
      drainSeconds: 1,
      ...this.#settings
    }, ports)
  }

  async #waitHealthy (daemons: readonly StartedDaemon[]): Promise<void> {
    await Promise.all(daemons.map(async (daemon) => {
      await waitFor(`${daemon.id} to start`, async () => {
        const res = await request(`http://127.0.0.1:${daemon.ports.admin}/healthz`)
        await res.body.dump()
        return res.statusCode === 200
      }, START_LIMIT_MS)
    }))
  }

  async #getJson<T> (index: number, path: string): Promise<T> {
    const res = await request(`http://127.0.0.1:${this.daemons[index]!.ports.admin}${path}`, {
      headersTimeout: 5_000, bodyTimeout: 5_000
    })
    return await res.body.json() as T
  }
}

/** Sum of a counter over its tag values, of those keys that the filter admits. */
export function sumCounter (counters: Counters | undefined, name: string, admits: (key: string) => boolean = () => true): number {
  let sum = 0
  for (const [key, n] of Object.entries(counters ?? {})) {
    if ((key === name || key.startsWith(`${name}{`)) && admits(key)) sum += n
  }
  return sum
}
