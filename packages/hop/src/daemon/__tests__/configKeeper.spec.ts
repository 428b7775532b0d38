import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { StoreAway } from '../../errors.js'
import type { Fleet } from '../../fleet/fleet.js'
import { NoCallLog } from '../../observe/callLog.js'
import type { ConfigDelta } from '../../routing/configDelta.js'
import type { MeshConfig, MeshRoute } from '../../routing/meshConfig.js'
import type { EventBatch, ObjectStore } from '../../store/objectStore.js'
import type { StoreCodec } from '../codec.js'
import { ConfigKeeper } from '../configKeeper.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

function config (version: number): MeshConfig {
  const route: MeshRoute = {
    name: `r${version}`, host: 'h', pathPrefix: '/', parts: [{ service: 's', weight: 1 }], idempotent: true, bulky: false, timeoutMs: 1, targetLatencyMs: 1, priority: 1, maxAttempts: 1
  }
  return { version, routes: [route], services: new Map(), limits: LIMITS }
}

/** A keeper among peers that tell versions, with a store that counts its calls. */
class Bench {
  readonly timers = new VirtualTimers()
  /** Versions that peers hold, by host; the host's first letter is its data centre. */
  readonly peers = new Map<string, number>()
  readonly fetches: string[] = []
  readonly inForce: number[] = []
  stored = 1
  lists = 0
  storeAway: boolean
  /** Base that peers claim for what they hand out; by default the version asked from. */
  base: number | undefined
  #wakeWatch: () => void = () => {}
  readonly keeper: ConfigKeeper

  constructor (rankNear: number, storeAway = false) {
    this.storeAway = storeAway
    const { timers } = this
    const store = {
      list: async () => {
        this.lists++
        if (this.storeAway) throw new StoreAway('away')
        return { revision: this.stored, objects: [{ name: 'main', revision: this.stored, spec: this.stored, status: undefined }] }
      },
      watch: async (_kind: string, _revision: number, _waitMs: number, signal: AbortSignal) => {
        await new Promise<void>((resolve, reject) => {
          this.#wakeWatch = resolve
          signal.addEventListener('abort', () => reject(new StoreAway('aborted')))
        })
        const object = { name: 'main', revision: this.stored, spec: this.stored, status: undefined }
        return { revision: this.stored, events: [{ object, deleted: false }] } satisfies EventBatch
      }
    } as unknown as ObjectStore
    const codec = { config: { kind: 'config', name: 'main' }, decodeConfig: (spec: unknown) => config(spec as number) } as unknown as StoreCodec
    const fleet = {
      own: { host: 'a9', dataCentre: 'a' },
      isSettled: true,
      rankNear: () => rankNear,
      records: () => [...this.peers.keys()].map((host) => ({ host, dataCentre: host[0] })),
      configVersionOf: (host: string) => this.peers.get(host) ?? 0,
      isUp: () => true,
      setConfigVersion: () => {},
      link: (host: string) => ({
        config: async (have: number): Promise<ConfigDelta> => {
          this.fetches.push(host)
          const version = this.peers.get(host)!
          return { version, base: this.base ?? have, put: [...config(version).routes], gone: [], services: [], limits: LIMITS }
        }
      })
    } as unknown as Fleet
    this.keeper = new ConfigKeeper({
      fleet, store, codec, timers, random: new SeededRandom(1), log: new NoCallLog(), onConfig: (table) => this.inForce.push(table.config.version)
    })
    this.keeper.start()
  }

  /** The store holds another version, and wakes the watch. */
  change (version: number): void {
    this.stored = version
    this.#wakeWatch()
  }

  /** A peer tells the version that it holds. */
  told (host: string, version: number): void {
    this.peers.set(host, version)
    this.keeper.chase()
  }

  async run (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 50) {
      for (let i = 0; i < 20; i++) await Promise.resolve()
      this.timers.advance(50)
    }
    for (let i = 0; i < 20; i++) await Promise.resolve()
  }
}

const WATCHER = 0
const OTHER = 2

test('guards against daemons that don\'t watch reading the store for each change', async (t) => {
  const bench = new Bench(OTHER)
  await bench.run(2_000)
  bench.told('a1', 5)
  await bench.run(200)
  t.deepEqual([bench.inForce, bench.fetches, bench.lists], [[1, 5], ['a1'], 1])
})

test('guards against a daemon being left behind when only daemons elsewhere know of a change', async (t) => {
  const bench = new Bench(OTHER)
  await bench.run(2_000)
  bench.stored = 5
  bench.told('b1', 5)
  await bench.run(200)
  t.deepEqual([bench.inForce, bench.fetches, bench.lists], [[1, 5], [], 2])
})

test('guards against a daemon that the store turns away being left behind', async (t) => {
  const bench = new Bench(OTHER)
  await bench.run(2_000)
  bench.storeAway = true
  bench.told('b1', 5)
  await bench.run(1_000)
  t.deepEqual([bench.inForce, bench.fetches], [[1, 5], ['b1']])
})

test('guards against a daemon that starts while the store is away staying without a configuration', async (t) => {
  const bench = new Bench(OTHER, true)
  bench.told('a1', 5)
  await bench.run(200)
  t.deepEqual(bench.inForce, [5])
})

test('guards against a change being applied to a version that it doesn\'t belong to', async (t) => {
  const bench = new Bench(OTHER)
  await bench.run(2_000)
  bench.base = 4
  bench.stored = 5
  bench.told('a1', 5)
  await bench.run(1_000)
  t.deepEqual([bench.inForce, bench.lists], [[1, 5], 2])
})

test('guards against a watching daemon fetching what its own watch brings', async (t) => {
  const bench = new Bench(WATCHER)
  await bench.run(2_000)
  bench.told('a1', 5)
  await bench.run(100)
  bench.change(5)
  await bench.run(1_000)
  t.deepEqual([bench.inForce, bench.fetches, bench.lists], [[1, 5], [], 1])
})

test('guards against a watch that has gone silent leaving its daemon behind', async (t) => {
  const bench = new Bench(WATCHER)
  await bench.run(2_000)
  bench.told('a1', 5)
  await bench.run(1_000)
  t.deepEqual([bench.inForce, bench.fetches], [[1, 5], ['a1']])
})

test('guards against a version that comes while an earlier one is fetched being missed', async (t) => {
  const bench = new Bench(OTHER)
  await bench.run(2_000)
  bench.told('a1', 5)
  bench.told('a2', 6)
  bench.peers.set('a1', 7)
  await bench.run(1_000)
  t.is(bench.inForce.at(-1), 7)
})
