import { request } from 'undici'
import type { TimelineEvent } from '@lentilwheel/core'
import { findFreePorts, ProcessGroup, waitFor, type DaemonProcess } from '../processes.js'
import { readProcStats, type ProcStats } from './procStats.js'

export const DATA_CENTRES = ['dc1', 'dc2', 'dc3', 'dc4'] as const
const REGIONS: Readonly<Record<string, string>> = { dc1: 'north', dc2: 'north', dc3: 'south', dc4: 'south' }

/** Mesh key of the daemons of a bench; it is fixed, as they listen on loopback only. */
export const BENCH_MESH_KEY = 'bench-key-on-loopback'

/** Daemons started at a time. With larger batches the load of starting processes would distort the measurements. */
const START_BATCH_SIZE = 20
const START_TIMEOUT_MS = 60_000
const SEED_COUNT = 5

/** The fields of a daemon's `/status` response that benches read. */
export interface StatusResponse {
  daemon: string
  version: number
  rootHash: string
  ready: boolean
  reason: string
  relay: boolean
  members: number
  targets: { ready: number }[]
}

/** Values of a daemon's counters by name, followed by `{tag=value,...}` where a counter has tags. */
export type Counters = Record<string, number>

/** A fleet of real daemon processes on loopback addresses, distributed over data centres in turn. */
export class DaemonFleet {
  readonly group = new ProcessGroup()
  readonly daemons: DaemonProcess[] = []
  readonly #platformUrl: string
  readonly #settings: Record<string, unknown>
  #seeds: string[] = []

  constructor (platformUrl: string, settings: Record<string, unknown> = {}) {
    this.#platformUrl = platformUrl
    this.#settings = settings
  }

  /** Starts the daemons in batches and waits until each answers `/healthz`; the first few are the seeds of every daemon. */
  async start (count: number, dataCentres: readonly string[] = DATA_CENTRES): Promise<void> {
    const ports = await findFreePorts(count * 4)
    this.#seeds = Array.from({ length: Math.min(SEED_COUNT, count) }, (_, i) => `127.0.0.1:${ports[i * 4 + 3]!}`)
    for (let i = 0; i < count; i++) {
      const [proxy, admin, target, mesh] = ports.slice(i * 4, i * 4 + 4) as [number, number, number, number]
      this.daemons.push(this.#spawn(`d${i + 1}`, dataCentres[i % dataCentres.length]!, { proxy, admin, target, mesh }))
      if ((i + 1) % START_BATCH_SIZE === 0) await this.#waitForHealth(this.daemons.slice(-START_BATCH_SIZE))
    }
    await this.#waitForHealth(this.daemons)
  }

  /** Kills a daemon with SIGKILL and waits for its exit. */
  async kill (index: number): Promise<void> {
    const child = this.daemons[index]!.process
    if (child.exitCode !== null || child.signalCode !== null) return
    const gone = new Promise((resolve) => child.once('exit', resolve))
    this.group.end(child, 'SIGKILL')
    await gone
  }

  /** Starts a daemon that has exited again, with the same id, ports and settings. */
  restart (index: number): void {
    const old = this.daemons[index]!
    this.daemons[index] = this.#spawn(old.id, old.dataCentre, old.ports)
  }

  /** Resolves when all the given daemons answer on their admin API. */
  async waitHealthy (indexes: readonly number[]): Promise<void> {
    await this.#waitForHealth(indexes.map((index) => this.daemons[index]!))
  }

  async status (index: number): Promise<StatusResponse> {
    return await this.#getJson<StatusResponse>(index, '/status')
  }

  /** Status of each daemon; undefined for those that don't answer. */
  async statuses (): Promise<(StatusResponse | undefined)[]> {
    return await Promise.all(this.daemons.map((_, i) => this.status(i).catch(() => undefined)))
  }

  async events (index: number): Promise<TimelineEvent[]> {
    return (await this.#getJson<{ events: TimelineEvent[] }>(index, '/events')).events
  }

  /** Counters of each daemon; undefined for those that don't answer. */
  async counters (): Promise<(Counters | undefined)[]> {
    return await Promise.all(this.daemons.map((_, i) =>
      this.#getJson<{ counters: Counters }>(i, '/counters').then((response) => response.counters, () => undefined)))
  }

  procStats (): ProcStats[] {
    return this.daemons.map((daemon) => readProcStats(daemon.process.pid!))
  }

  /** Resolves when every daemon is ready and has applied the version or a newer one. */
  async waitForVersion (version: number, timeoutMs: number): Promise<void> {
    await waitFor(`version ${version} to be active on every daemon`, async () => {
      const statuses = await this.statuses()
      return statuses.every((status) => status !== undefined && status.ready && status.version >= version)
    }, timeoutMs)
  }

  async stop (): Promise<void> {
    await this.group.stopAll()
  }

  #spawn (id: string, dataCentre: string, ports: DaemonProcess['ports']): DaemonProcess {
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

  async #waitForHealth (daemons: readonly DaemonProcess[]): Promise<void> {
    await Promise.all(daemons.map(async (daemon) => {
      await waitFor(`${daemon.id} to start`, async () => {
        const res = await request(`http://127.0.0.1:${daemon.ports.admin}/healthz`)
        await res.body.dump()
        return res.statusCode === 200
      }, START_TIMEOUT_MS)
    }))
  }

  async #getJson<T> (index: number, path: string): Promise<T> {
    const res = await request(`http://127.0.0.1:${this.daemons[index]!.ports.admin}${path}`, {
      headersTimeout: 5_000, bodyTimeout: 5_000
    })
    return await res.body.json() as T
  }
}

/** Sum of a counter over all its tag values, or over the keys that the filter accepts. */
export function sumCounter (counters: Counters | undefined, name: string, filter: (key: string) => boolean = () => true): number {
  let sum = 0
  for (const [key, n] of Object.entries(counters ?? {})) {
    if ((key === name || key.startsWith(`${name}{`)) && filter(key)) sum += n
  }
  return sum
}
