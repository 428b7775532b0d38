import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { StoreUnavailable } from '../../errors.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../../store/epochTracker.js'
import type { EventBatch, Listing, ObjectStore, StoredObject } from '../../store/objectStore.js'
import type { WatchTurn } from '../../store/storeWatcher.js'
import { Evacuations } from '../evacuations.js'
import { EvacuationWatcher } from '../evacuationWatcher.js'

const KIND = 'evacuations'
const START_WAIT_MS = 500

function storedOrder (name: string, number = 5): StoredObject {
  return { name, revision: { epoch: 1, number }, spec: {}, status: null }
}

/** A watcher whose store answers as the test says. */
class Setup {
  readonly timers = new VirtualTimers()
  readonly epochs = new EpochTracker(new NoopCallLog())
  readonly evacuations = new Evacuations({ timers: this.timers, epochs: this.epochs, log: new NoopCallLog(), onChange: () => {} })
  readonly calls: string[] = []
  readonly objects: StoredObject[]
  readonly isAway: boolean
  turn: WatchTurn | undefined
  deliver: (batch: EventBatch) => void = () => {}
  readonly watcher: EvacuationWatcher

  constructor ({ isEnabled = true, isAway = false, objects = [] as StoredObject[] } = {}) {
    this.isAway = isAway
    this.objects = objects
    const store = {
      epochs: this.epochs,
      list: async (kind: string, opts?: { mayBeOld: boolean }): Promise<Listing> => {
        this.calls.push(`list ${kind}${opts?.mayBeOld ? ' maybe old' : ''}`)
        if (this.isAway) throw new StoreUnavailable('away')
        return { objects: this.objects, revision: { epoch: 1, number: 10 } }
      },
      watch: async (kind: string): Promise<EventBatch> => {
        this.calls.push(`watch ${kind}`)
        return await new Promise((resolve) => { this.deliver = resolve })
      }
    } as unknown as ObjectStore
    this.watcher = new EvacuationWatcher({
      isEnabled,
      evacuations: this.evacuations,
      fleet: { turnInDataCentres: () => this.turn, setStoreLost: () => {} },
      store,
      codec: { evacuations: { kind: KIND }, decodeEvacuation: ({ name, spec }) => spec === null ? undefined : name },
      timers: this.timers,
      random: new SeededRandom(1),
      log: new NoopCallLog()
    })
    this.watcher.start()
  }

  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += 50) {
      for (let i = 0; i < 20; i++) await Promise.resolve()
      this.timers.advance(50)
    }
  }

  isEvacuated (dataCentre: string): boolean {
    return this.evacuations.isEvacuated(dataCentre)
  }
}

test('guards against calls to the store, and a late start, where there are no evacuations', async (t) => {
  const setup = new Setup({ isEnabled: false })
  setup.turn = { position: 0, watchers: 1 }
  t.true(setup.watcher.isLoaded)
  await setup.advance(3_000)
  t.deepEqual(setup.calls, [])
})

test('guards against a daemon that starts sending requests before it has read the orders', async (t) => {
  const setup = new Setup({ objects: [storedOrder('otaru')] })
  const steps: string[] = []
  setup.watcher.whenLoaded(() => steps.push(`first ${setup.isEvacuated('otaru')}`))
  setup.watcher.whenLoaded(() => steps.push('second'))
  t.deepEqual(steps, [])
  await setup.advance(50)
  t.deepEqual(steps, ['first true', 'second'])
  t.deepEqual(setup.calls, [`list ${KIND} maybe old`], 'a daemon that need not watch makes no further call')
})

test('guards against a daemon not starting while the store is away', async (t) => {
  const setup = new Setup({ isAway: true })
  await setup.advance(START_WAIT_MS - 100)
  t.false(setup.watcher.isLoaded)
  await setup.advance(200)
  t.true(setup.watcher.isLoaded)
})

test('guards against what a list that may be old lacks counting as removed', async (t) => {
  const setup = new Setup()
  setup.evacuations.merge([{ dataCentre: 'otaru', isOrdered: true, revision: { epoch: 1, number: 5 } }], 'peer')
  await setup.advance(100)
  t.true(setup.isEvacuated('otaru'))
  setup.turn = { position: 0, watchers: 1 }
  await setup.advance(1_000)
  t.false(setup.isEvacuated('otaru'), 'removed, by the list that a watch starts with')
})

test('guards against a change that a watch brings being missed, and against an entry of another writer counting', async (t) => {
  const setup = new Setup()
  setup.turn = { position: 0, watchers: 1 }
  await setup.advance(1_000)
  t.true(setup.calls.includes(`watch ${KIND}`))
  const entries = [storedOrder('otaru', 11), { ...storedOrder('sapporo', 12), spec: null }, storedOrder('odd name', 13)]
  setup.deliver({ events: entries.map((object) => ({ object, deleted: false })), revision: { epoch: 1, number: 13 } })
  await setup.advance(50)
  t.deepEqual(setup.evacuations.records().map(({ dataCentre }) => dataCentre), ['otaru'])
  await setup.advance(300)
  setup.deliver({ events: [{ object: storedOrder('otaru', 14), deleted: true }], revision: { epoch: 1, number: 14 } })
  await setup.advance(50)
  t.false(setup.isEvacuated('otaru'))
})
