import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { CallLog } from '../observe/callLog.js'
import { applyDelta, deltaBetween, type ConfigDelta } from '../routing/configDelta.js'
import type { MeshConfig } from '../routing/meshConfig.js'
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

/** Daemons of each data centre that watch the store; the others hear of changes from them. */
const WATCHERS_PER_DATA_CENTRE = 2
/** Time that the own watch gets to bring a version of which a peer has told. */
const OWN_WATCH_MS = 300
/** Time that the store gets, before a peer in another data centre is asked. */
const STORE_MS = 500
/** Pause before a daemon that is still behind tries again. */
const CHASE_AGAIN_MS = 100
const GATHER_MS = 600
const WATCH_MS = 10_000
/** Versions of which a peer may hold the one that a change applies to. */
const KEPT_VERSIONS = 8

/**
 * Keeps the newest configuration in force. A few daemons of each data centre watch the store; the versions that peers
 * hold tell all others that there is a change, which they fetch from a peer nearby, else from the store. In one run of
 * the process versions only rise.
 */
export class ConfigKeeper {
  readonly #opts: ConfigKeeperOptions
  readonly #follower: Follower
  /** Versions that were in force, the newest last. */
  readonly #held: MeshConfig[] = []
  #lastDelta: ConfigDelta | undefined
  #isChasing = false

  constructor (opts: ConfigKeeperOptions) {
    this.#opts = opts
    const { store, codec, timers, random, log, fleet } = opts
    this.#follower = new Follower({
      store,
      kind: codec.config.kind,
      timers,
      random,
      log,
      waitMs: WATCH_MS,
      gatherMs: GATHER_MS,
      isWanted: () => fleet.isSettled && fleet.rankNear() < WATCHERS_PER_DATA_CENTRE,
      onList: (objects) => { for (const { name, spec } of objects) this.#offerSpec(name, spec) },
      onChange: (object, deleted) => { if (!deleted) this.#offerSpec(object.name, object.spec) }
    })
  }

  start (): void {
    this.#follower.run()
  }

  stop (): void {
    this.#follower.stop()
  }

  /** What a peer that holds version `have` needs to hold the version in force here; undefined without any. */
  changesSince (have: number): ConfigDelta | undefined {
    const config = this.#held.at(-1)
    if (!config) return undefined
    const base = this.#held.find(({ version }) => version === have)
    const last = this.#lastDelta
    if (last?.version === config.version && last.base === (base?.version ?? 0)) return last
    const delta = deltaBetween(base, config)
    this.#lastDelta = delta
    return delta
  }

  /** Fetches a newer version, if a peer that can be reached holds one. */
  chase (): void {
    if (this.#isChasing || !this.#newestHolder()) return
    this.#isChasing = true
    this.#chase().finally(() => {
      this.#isChasing = false
      if (this.#newestHolder()) this.#opts.timers.after(CHASE_AGAIN_MS, () => this.chase())
    })
  }

  get #version (): number {
    return this.#held.at(-1)?.version ?? 0
  }

  async #chase (): Promise<void> {
    if (this.#version > 0 && this.#follower.isWatching) await this.#pause(OWN_WATCH_MS)
    const { dataCentre } = this.#opts.fleet.own
    if (await this.#fetch(this.#newestHolder(dataCentre)) || !this.#newestHolder()) return
    this.#follower.poke()
    await this.#pause(STORE_MS)
    await this.#fetch(this.#newestHolder())
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#opts.timers.after(ms, resolve) })
  }

  /** Fetches the version that a peer holds; tells whether it is in force now. */
  async #fetch (holder: string | undefined): Promise<boolean> {
    const { fleet, log } = this.#opts
    const link = holder === undefined ? undefined : fleet.link(holder)
    if (!link) return false
    try {
      const delta = await link.config(this.#version)
      const config = delta && applyDelta(this.#held.at(-1), delta)
      if (!config) return false
      this.#take(config, holder!)
      return true
    } catch (err) {
      log.decision('configNotFetched', { peer: holder, code: errorCode(err) })
      return false
    }
  }

  /** The peer that can be reached and holds the newest version, if that is newer than the own one. */
  #newestHolder (dataCentre?: string): string | undefined {
    const { fleet } = this.#opts
    let newest: string | undefined
    let version = this.#version
    for (const { host, dataCentre: place } of fleet.records()) {
      const held = fleet.configVersionOf(host)
      if (held <= version || !fleet.isUp(host) || (dataCentre !== undefined && place !== dataCentre)) continue
      version = held
      newest = host
    }
    return newest
  }

  #offerSpec (name: string, spec: unknown): void {
    const { codec, log } = this.#opts
    if (name !== codec.config.name) return
    const config = codec.decodeConfig(spec)
    if (config) this.#take(config, 'store')
    else log.decision('configUnreadable', { from: 'store' })
  }

  #take (config: MeshConfig, from: string): void {
    const { log, fleet, onConfig } = this.#opts
    const before = this.#version
    if (config.version <= before) return
    log.decision('configInForce', { version: config.version, before, routes: config.routes.length, from })
    this.#held.push(config)
    if (this.#held.length > KEPT_VERSIONS) this.#held.shift()
    onConfig(new RouteTable(config))
    fleet.setConfigVersion(config.version, from === 'store')
  }
}
