import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { CallLog } from '../observe/callLog.js'
import { RouteTable } from '../routing/routeTable.js'
import { Follower } from '../store/follower.js'
import type { ObjectStore } from '../store/objectStore.js'
import type { StoreCodec } from './codec.js'

export interface ConfigKeeperOptions {
  fleet: Fleet
  store: ObjectStore
  codec: StoreCodec
  timers: Timers
  random: Random
  log: CallLog
  onConfig (table: RouteTable): void
}

/** Time that the own watch gets to bring a version of which a peer has told. */
const OWN_WATCH_MS = 300
/** Time that the store gets after that, before the peer is asked. */
const STORE_MS = 500
const GATHER_MS = 600
const WATCH_MS = 10_000

/**
 * Keeps the newest configuration in force. Each daemon watches the store by itself; versions that peers hold are the
 * second way to hear of a change. In one run of the process versions only rise.
 */
export class ConfigKeeper {
  readonly #opts: ConfigKeeperOptions
  readonly #follower: Follower
  #version = 0
  #spec: unknown
  #isChasing = false

  constructor (opts: ConfigKeeperOptions) {
    this.#opts = opts
    const { store, codec, timers, random, log } = opts
    this.#follower = new Follower({
      store,
      kind: codec.config.kind,
      timers,
      random,
      log,
      waitMs: WATCH_MS,
      gatherMs: GATHER_MS,
      onList: (objects) => { for (const { name, spec } of objects) this.#offer(name, spec, 'store') },
      onChange: (object, deleted) => { if (!deleted) this.#offer(object.name, object.spec, 'store') }
    })
  }

  start (): void {
    this.#follower.run()
  }

  stop (): void {
    this.#follower.stop()
  }

  /** What a peer needs to hold the same version. */
  held (): { version: number, spec: unknown } {
    return { version: this.#version, spec: this.#spec }
  }

  /** Fetches a newer version, if a peer that can be reached holds one. */
  chase (): void {
    if (this.#isChasing || !this.#newestHolder()) return
    this.#isChasing = true
    const { timers } = this.#opts
    timers.after(this.#version === 0 ? 0 : OWN_WATCH_MS, () => {
      if (!this.#newestHolder()) return this.#endChase()
      this.#follower.poke()
      timers.after(STORE_MS, () => { this.#askHolder() })
    })
  }

  #endChase (): void {
    this.#isChasing = false
  }

  async #askHolder (): Promise<void> {
    const holder = this.#newestHolder()
    try {
      if (!holder) return
      const link = this.#opts.fleet.link(holder)
      const answer = await link?.config() as { spec?: unknown } | undefined
      if (answer) this.#offer(this.#opts.codec.config.name, answer.spec, holder)
    } catch (err) {
      this.#opts.log.decision('configNotFetched', { peer: holder, code: errorCode(err) })
    } finally {
      this.#endChase()
    }
  }

  #newestHolder (): string | undefined {
    const { fleet } = this.#opts
    let newest: string | undefined
    let version = this.#version
    for (const { host } of fleet.records()) {
      const held = fleet.configVersionOf(host)
      if (held <= version || !fleet.isUp(host)) continue
      version = held
      newest = host
    }
    return newest
  }

  #offer (name: string, spec: unknown, from: string): void {
    const { codec, log, fleet } = this.#opts
    if (name !== codec.config.name) return
    const config = codec.decodeConfig(spec)
    if (!config) return log.decision('configUnreadable', { from })
    if (config.version <= this.#version) return
    log.decision('configInForce', { version: config.version, before: this.#version, routes: config.routes.length, from })
    this.#version = config.version
    this.#spec = spec
    this.#opts.onConfig(new RouteTable(config))
    fleet.setConfigVersion(config.version)
  }
}
