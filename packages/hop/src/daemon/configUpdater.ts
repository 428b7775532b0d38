import { errorCode, type Random, type Timers } from '@lentilwheel/core'
import type { Fleet } from '../fleet/fleet.js'
import type { CallLog } from '../observe/callLog.js'
import { applyDelta, deltaBetween, type ConfigDelta } from '../routing/configDelta.js'
import type { MeshConfig } from '../routing/meshConfig.js'
import { RouteTable } from '../routing/routeTable.js'
import { reuseUnchanged } from '../routing/workspaceIndex.js'
import { StoreWatcher } from '../store/storeWatcher.js'
import type { ObjectStore } from '../store/objectStore.js'
import type { StoreCodec } from './storeCodec.js'

export interface ConfigUpdaterOptions {
  fleet: Fleet
  store: ObjectStore
  codec: StoreCodec
  timers: Timers
  random: Random
  log: CallLog
  /** Called with the route table of each version that takes effect. */
  onConfig (table: RouteTable): void
}

/** Daemons of each data centre that watch the configuration; the others get changes from them. */
const WATCHERS_PER_DATA_CENTRE = 2
/** Time for the own watch to bring a version that a peer already has, before the peer is asked for it. */
const OWN_WATCH_WAIT_MS = 300
/** Time for the store to bring a new version, before a peer in another data centre is asked. */
const STORE_WAIT_MS = 500
/** Pause before a daemon that is still behind its peers tries again. */
const CATCH_UP_RETRY_MS = 100
/** Time after a failed fetch in which other peers are asked first. */
const FAILED_PEER_MS = 5_000
/** Pause after a change, so that changes in quick succession are read together. */
const BATCH_DELAY_MS = 600
/** Time between two proofs that the watches bring what changes; short against the time in which a change has to be in force. */
const TURN_INTERVAL_MS = 1_000
/** Versions kept as bases of deltas; a peer that holds an older one gets the whole configuration. */
const MAX_KEPT_VERSIONS = 8

/**
 * Keeps this daemon's configuration at the newest version. A few daemons of each data centre watch the store. The others
 * learn of a new version from the version numbers in peers' messages, and fetch it from a peer in their data centre, else
 * from the store, else from a peer elsewhere. The active version never decreases while the process runs.
 */
export class ConfigUpdater {
  readonly #opts: ConfigUpdaterOptions
  readonly #watcher: StoreWatcher
  /** Configurations that were applied, oldest first; the last one is active. */
  readonly #versions: MeshConfig[] = []
  /** Last delta that was computed, for peers that ask for the same one. */
  #cachedDelta: ConfigDelta | undefined
  #isCatchingUp = false
  /** When a fetch from a peer failed last. */
  readonly #failedAt = new Map<string, number>()

  constructor (opts: ConfigUpdaterOptions) {
    this.#opts = opts
    const { store, codec, timers, random, log, fleet } = opts
    this.#watcher = new StoreWatcher({
      store,
      kind: codec.config.kind,
      timers,
      random,
      log,
      turnIntervalMs: TURN_INTERVAL_MS,
      batchDelayMs: BATCH_DELAY_MS,
      turn: () => fleet.turnInDataCentres(WATCHERS_PER_DATA_CENTRE),
      onReachable: (isReachable) => fleet.setStoreLost(!isReachable),
      onList: (objects) => { for (const { name, spec } of objects) this.#applySpec(name, spec) },
      onChange: (object, deleted) => { if (!deleted) this.#applySpec(object.name, object.spec) }
    })
  }

  start (): void {
    this.#watcher.run()
  }

  stop (): void {
    this.#watcher.stop()
  }

  /** Begins to watch at once if this daemon takes the place of a watcher that can't reach the store. */
  checkTurn (): void {
    if (this.#watcher.isPaused && this.#opts.fleet.turnInDataCentres(WATCHERS_PER_DATA_CENTRE)) this.#watcher.relist()
  }

  /** Delta from a peer's version to the active configuration of this daemon; undefined if there is none. */
  deltaSince (heldVersion: number): ConfigDelta | undefined {
    const config = this.#versions.at(-1)
    if (!config) return undefined
    const base = this.#versions.find(({ version }) => version === heldVersion)
    const cached = this.#cachedDelta
    if (cached?.version === config.version && cached.base === (base?.version ?? 0)) return cached
    const delta = deltaBetween(base, config)
    this.#cachedDelta = delta
    return delta
  }

  /** Fetches a newer version if a reachable peer has one; keeps trying while it does. */
  catchUp (): void {
    if (this.#isCatchingUp || !this.#peerWithNewest()) return
    this.#isCatchingUp = true
    this.#fetchNewest().finally(() => {
      this.#isCatchingUp = false
      if (this.#peerWithNewest()) this.#opts.timers.after(CATCH_UP_RETRY_MS, () => this.catchUp())
    })
  }

  /** Active version; 0 for none. */
  get #currentVersion (): number {
    return this.#versions.at(-1)?.version ?? 0
  }

  /** Tries the own watch, a peer in the data centre, the store, and a peer anywhere, in this order. */
  async #fetchNewest (): Promise<void> {
    if (this.#currentVersion > 0 && this.#watcher.isWatching) await this.#delay(OWN_WATCH_WAIT_MS)
    const { dataCentre } = this.#opts.fleet.own
    if (await this.#fetchFrom(this.#peerWithNewest(dataCentre)) || !this.#peerWithNewest()) return
    this.#watcher.relist()
    await this.#delay(STORE_WAIT_MS)
    await this.#fetchFrom(this.#peerWithNewest())
  }

  async #delay (ms: number): Promise<void> {
    await new Promise<void>((resolve) => { this.#opts.timers.after(ms, resolve) })
  }

  /** Fetches the configuration of a peer and applies it; tells whether that succeeded. */
  async #fetchFrom (peer: string | undefined): Promise<boolean> {
    const { fleet, log } = this.#opts
    const link = peer === undefined ? undefined : fleet.link(peer)
    if (!link) return false
    try {
      const delta = await link.fetchConfig(this.#currentVersion)
      const config = delta && applyDelta(this.#versions.at(-1), delta)
      if (config) {
        this.#failedAt.delete(peer!)
        this.#apply(config, peer!)
        return true
      }
    } catch (err) {
      log.decision('configNotFetched', { peer, code: errorCode(err) })
    }
    this.#failedAt.set(peer!, this.#opts.timers.now())
    return false
  }

  /**
   * Reachable peer to fetch from, in one data centre or anywhere; undefined if none has a newer version than the own. Of those whose last fetch didn't just fail
   * it is the one with the newest version; one that failed is asked again only if there is no other.
   */
  #peerWithNewest (dataCentre?: string): string | undefined {
    const { fleet, timers } = this.#opts
    const hasFailed = (host: string): boolean => timers.now() - (this.#failedAt.get(host) ?? -Infinity) < FAILED_PEER_MS
    let best: { host: string, version: number, hasFailed: boolean } | undefined
    for (const { host, dataCentre: peerDataCentre } of fleet.records()) {
      const version = fleet.configVersionOf(host)
      if (version <= this.#currentVersion || !fleet.isUp(host) || (dataCentre !== undefined && peerDataCentre !== dataCentre)) continue
      const peer = { host, version, hasFailed: hasFailed(host) }
      const isBetter = !best || (best.hasFailed === peer.hasFailed ? version > best.version : best.hasFailed)
      if (isBetter) best = peer
    }
    return best?.host
  }

  /** Applies an object from the store if it is the configuration. */
  #applySpec (name: string, spec: unknown): void {
    const { codec, log } = this.#opts
    if (name !== codec.config.name) return
    const config = codec.decodeConfig(spec)
    if (config) this.#apply(config, 'store')
    else log.decision('configUnreadable', { from: 'store' })
  }

  /** Makes a configuration active if it is newer than the current one. */
  #apply (received: MeshConfig, from: string): void {
    const { log, fleet, onConfig } = this.#opts
    const before = this.#currentVersion
    const config = { ...received, workspaces: reuseUnchanged(this.#versions.at(-1)?.workspaces, received.workspaces) }
    if (config.version < before) log.decision('configOlder', { version: config.version, inForce: before, from })
    if (config.version <= before) return
    log.decision('configInForce', { version: config.version, before, routes: config.routes.length, workspaces: config.workspaces.size, from })
    const table = new RouteTable(config)
    this.#versions.push(config)
    if (this.#versions.length > MAX_KEPT_VERSIONS) this.#versions.shift()
    onConfig(table)
    fleet.setConfigVersion(config.version, from === 'store')
  }
}
