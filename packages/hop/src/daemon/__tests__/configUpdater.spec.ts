import test from 'ava'
import { keyHash, SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { PeerLost, StoreUnavailable } from '../../errors.js'
import type { Fleet } from '../../fleet/fleet.js'
import { NoopCallLog } from '../../observe/callLog.js'
import type { ConfigDelta } from '../../routing/configDelta.js'
import type { MeshConfig, MeshRoute, MeshWorkspace } from '../../routing/meshConfig.js'
import type { RouteTable } from '../../routing/routeTable.js'
import { EpochTracker } from '../../store/epochTracker.js'
import type { EventBatch, ObjectStore } from '../../store/objectStore.js'
import type { StoreRevision } from '../../store/storeRevision.js'
import type { StoreCodec } from '../storeCodec.js'
import { ConfigUpdater } from '../configUpdater.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

/** Workspaces of a version; the key `withdrawn` is in the versions below this one. */
const WITHDRAWN_IN = 6
function workspaces (version: number): Map<string, MeshWorkspace> {
  const keys = version < WITHDRAWN_IN ? ['kept', 'withdrawn'] : ['kept']
  return new Map([['w', { name: 'w', keyHashes: keys.map((key) => keyHash(key)), ratePerS: 0, burst: 0 }]])
}

function config (version: number): MeshConfig {
  const route: MeshRoute = {
    name: `r${version}`, host: 'h', pathPrefix: '/', parts: [{ service: 's', weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1, targetLatencyMs: 1, priority: 1, maxAttempts: 1, allowsAnonymous: false
  }
  return { version, routes: [route], services: new Map(), workspaces: workspaces(version), limits: LIMITS }
}

/** A `ConfigUpdater` with fake peers that announce versions, and a fake store that counts list calls. */
class Harness {
  readonly timers = new VirtualTimers()
  /** Active versions of the peers, by host; a host's first letter is its data centre. */
  readonly peerVersions = new Map<string, number>()
  readonly fetchedFrom: string[] = []
  /** Peers whose link is up but that don't answer. */
  readonly silentPeers = new Set<string>()
  /** Versions that the updater made active, in order. */
  readonly appliedVersions: number[] = []
  /** Route table of the active version. */
  table: RouteTable | undefined
  storedVersion = 1
  listCalls = 0
  isStoreDown: boolean
  /** Base version stated in the deltas that peers return; by default the requested one. */
  claimedBase: number | undefined
  /** Workspaces in the deltas that peers return, instead of those of the version. */
  oddWorkspaces: unknown[] | undefined
  #wakeWatch: () => void = () => {}
  readonly updater: ConfigUpdater

  constructor (rankInDataCentre: number, isStoreDown = false) {
    this.isStoreDown = isStoreDown
    const { timers } = this
    const store = {
      epochs: new EpochTracker(new NoopCallLog()),
      list: async () => {
        this.listCalls++
        if (this.isStoreDown) throw new StoreUnavailable('unavailable')
        return { revision: this.#revision, objects: [{ name: 'main', revision: this.#revision, spec: this.storedVersion, status: undefined }] }
      },
      watch: async (_kind: string, _revision: StoreRevision, waitMs: number, signal: AbortSignal) => {
        if (waitMs === 0) return { revision: this.#revision, events: [] }
        await new Promise<void>((resolve, reject) => {
          this.#wakeWatch = resolve
          signal.addEventListener('abort', () => reject(new StoreUnavailable('aborted')))
        })
        const object = { name: 'main', revision: this.#revision, spec: this.storedVersion, status: undefined }
        return { revision: this.#revision, events: [{ object, deleted: false }] } satisfies EventBatch
      }
    } as unknown as ObjectStore
    const codec = { config: { kind: 'config', name: 'main' }, decodeConfig: (spec: unknown) => config(spec as number) } as unknown as StoreCodec
    const fleet = {
      own: { host: 'a9', dataCentre: 'a' },
      isWarmedUp: true,
      turnInDataCentres: () => rankInDataCentre < 2 ? { position: rankInDataCentre, watchers: 2 } : undefined,
      setStoreLost: () => {},
      records: () => [...this.peerVersions.keys()].map((host) => ({ host, dataCentre: host[0] })),
      configVersionOf: (host: string) => this.peerVersions.get(host) ?? 0,
      isUp: () => true,
      setConfigVersion: () => {},
      link: (host: string) => ({
        fetchConfig: async (heldVersion: number): Promise<ConfigDelta> => {
          this.fetchedFrom.push(host)
          if (this.silentPeers.has(host)) throw new PeerLost('no reply')
          const version = this.peerVersions.get(host)!
          return { version, base: this.claimedBase ?? heldVersion, put: [...config(version).routes], gone: [], services: [], limits: LIMITS, putWorkspaces: this.oddWorkspaces as MeshWorkspace[] | undefined ?? [...workspaces(version).values()], goneWorkspaces: [] }
        }
      })
    } as unknown as Fleet
    this.updater = new ConfigUpdater({
      fleet,
      store,
      codec,
      timers,
      random: new SeededRandom(1),
      log: new NoopCallLog(),
      onConfig: (table) => {
        this.appliedVersions.push(table.config.version)
        this.table = table
      }
    })
    this.updater.start()
  }

  get #revision (): StoreRevision {
    return { epoch: 1, number: this.storedVersion }
  }

  /** Changes the version in the store, which ends an open watch. */
  changeStore (version: number): void {
    this.storedVersion = version
    this.#wakeWatch()
  }

  /** Whether the active version has a key. */
  hasKey (key: string): boolean {
    return this.table?.workspaceOf(keyHash(key)) !== undefined
  }

  /** Lets a peer announce a version, which makes the updater check its peers. */
  announceVersion (host: string, version: number): void {
    this.peerVersions.set(host, version)
    this.updater.catchUp()
  }

  async run (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      for (let i = 0; i < 20; i++) await Promise.resolve()
      this.timers.advance(50)
    }
    for (let i = 0; i < 20; i++) await Promise.resolve()
  }
}

const WATCHER_RANK = 0
const NON_WATCHER_RANK = 2

test('guards against daemons that don\'t watch listing the store for each change', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.announceVersion('a1', 5)
  await harness.run(200)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom, harness.listCalls], [[1, 5], ['a1'], 1])
})

test('guards against a daemon missing a change when only peers in other data centres have it', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.storedVersion = 5
  harness.announceVersion('b1', 5)
  await harness.run(200)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom, harness.listCalls], [[1, 5], [], 2])
})

test('guards against a daemon missing a change because the store is unavailable to it', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.isStoreDown = true
  harness.announceVersion('b1', 5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom], [[1, 5], ['b1']])
})

test('guards against a daemon that starts while the store is unavailable staying without a configuration', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK, true)
  harness.announceVersion('a1', 5)
  await harness.run(200)
  t.deepEqual(harness.appliedVersions, [5])
})

test('guards against a delta being applied to a version other than its base', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.claimedBase = 4
  harness.storedVersion = 5
  harness.announceVersion('a1', 5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.listCalls], [[1, 5], 2])
})

test('guards against a daemon that watches fetching from a peer what its own watch brings', async (t) => {
  const harness = new Harness(WATCHER_RANK)
  await harness.run(2_000)
  harness.announceVersion('a1', 5)
  await harness.run(100)
  harness.changeStore(5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom, harness.listCalls], [[1, 5], [], 1])
})

test('guards against a daemon missing a change because its watch delivers nothing', async (t) => {
  const harness = new Harness(WATCHER_RANK)
  await harness.run(2_000)
  harness.announceVersion('a1', 5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom], [[1, 5], ['a1']])
})

test('guards against missing a version that is announced while an earlier one is being fetched', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.announceVersion('a1', 5)
  harness.announceVersion('a2', 6)
  harness.peerVersions.set('a1', 7)
  await harness.run(1_000)
  t.is(harness.appliedVersions.at(-1), 7)
})

test('guards against a daemon asking the same silent peer again and again for a version that others have too', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.isStoreDown = true
  harness.silentPeers.add('a1')
  harness.announceVersion('a1', 6)
  harness.announceVersion('a2', 5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.fetchedFrom.slice(0, 2)], [[1, 5], ['a1', 'a2']])
})

test('guards against a withdrawn key coming back from a peer or a store with an older version', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  t.true(harness.hasKey('withdrawn'))
  harness.announceVersion('a1', 6)
  await harness.run(1_000)
  t.deepEqual([harness.hasKey('kept'), harness.hasKey('withdrawn')], [true, false])
  harness.storedVersion = 4
  harness.announceVersion('a1', 5)
  harness.announceVersion('b1', 3)
  await harness.run(20_000)
  t.deepEqual([harness.appliedVersions, harness.hasKey('kept'), harness.hasKey('withdrawn')], [[1, 6], true, false])
})

test('guards against a daemon that starts again taking an older version from a peer although another has the newest', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK, true)
  harness.peerVersions.set('a1', 5)
  harness.announceVersion('a2', 6)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions.at(-1), harness.hasKey('withdrawn')], [6, false])
})

test('guards against a delta that can\'t be read changing what is in force', async (t) => {
  const harness = new Harness(NON_WATCHER_RANK)
  await harness.run(2_000)
  harness.oddWorkspaces = [{ name: 'w' }]
  harness.isStoreDown = true
  harness.announceVersion('a1', 5)
  await harness.run(1_000)
  t.deepEqual([harness.appliedVersions, harness.hasKey('withdrawn')], [[1], true])
  harness.oddWorkspaces = undefined
  await harness.run(1_000)
  t.is(harness.appliedVersions.at(-1), 5)
})
