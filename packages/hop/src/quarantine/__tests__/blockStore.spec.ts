import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { testQuarantine } from '../../__tests__/fixtures.js'
import { MemoryStore } from '../../__tests__/memoryStore.js'
import type { CallLog } from '../../observe/callLog.js'
import { BlockStore } from '../blockStore.js'
import type { Block } from '../quarantineNews.js'

const DEADLY = 'd'.repeat(24)
const OTHER = 'a'.repeat(24)
const HOUR_MS = 3_600_000
const block: Block = { fingerprint: DEADLY, level: 1, isCleared: false, ageMs: 0 }

class TestSetup {
  readonly timers = new VirtualTimers()
  readonly decisions: string[] = []
  readonly log: CallLog = { call: () => {}, decision: (what) => { this.decisions.push(what) } }
  readonly quarantine = testQuarantine(this.timers)
  readonly blockStore: BlockStore

  constructor (store: MemoryStore, isLeader = false) {
    this.blockStore = new BlockStore({ store, quarantine: this.quarantine, timers: this.timers, random: new SeededRandom(1), log: this.log, isLeader: () => isLeader })
  }

  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1_000) {
      this.timers.advance(Math.min(1_000, ms))
      for (let i = 0; i < 10; i++) await Promise.resolve()
    }
  }
}

test('guards against a block that is lost when the store is away at that moment', async (t) => {
  const store = new MemoryStore()
  store.isAway = true
  const writer = new TestSetup(store)
  writer.blockStore.save(block)
  await writer.advance(1_000)
  store.isAway = false
  await writer.advance(5_000)
  const reader = new TestSetup(store)
  reader.blockStore.start()
  await reader.advance(1_000)
  t.is(reader.quarantine.standing(DEADLY), 'blocked')
  t.true(reader.quarantine.refusedMs(DEADLY) <= HOUR_MS)
})

test('guards against an earlier block or one that was lifted taking the place of a later one in the store', async (t) => {
  const store = new MemoryStore()
  const { blockStore, ...setup } = new TestSetup(store)
  blockStore.save({ ...block, level: 2 })
  blockStore.save(block)
  await Promise.all(Array.from({ length: 20 }, async () => await Promise.resolve()))
  t.is((store.objects.get(DEADLY)!.spec as Block).level, 2)
  blockStore.save({ ...block, level: 2, isCleared: true })
  for (let i = 0; i < 20; i++) await Promise.resolve()
  t.true((store.objects.get(DEADLY)!.spec as Block).isCleared)
  t.deepEqual(setup.decisions, [])
})

test('guards against an odd object of another writer hiding the blocks beside it', async (t) => {
  const store = new MemoryStore()
  for (const [i, spec] of [null, 7, 'x', [], {}, { ...block, blockedAt: 'soon' }, { ...block, blockedAt: 0, level: Infinity }].entries()) store.put(`odd-${i}`, spec)
  const setup = new TestSetup(store)
  const blockedAt = setup.timers.wallNow()
  store.put(OTHER, { ...block, blockedAt })
  store.put(DEADLY, { ...block, blockedAt })
  setup.blockStore.start()
  await setup.advance(1_000)
  t.is(setup.quarantine.standing(DEADLY), 'blocked')
  t.is(setup.quarantine.standing(OTHER), 'clear')
  t.is(setup.decisions.filter((what) => what === 'badRecord').length, 8)
})

test('guards against a daemon waiting for a store that is away before it serves', async (t) => {
  const store = new MemoryStore()
  store.isAway = true
  const setup = new TestSetup(store)
  setup.blockStore.start()
  t.false(setup.blockStore.isLoaded)
  await setup.advance(1_000)
  t.true(setup.blockStore.isLoaded)
})

test('guards against objects of ended blocks staying in the store for good', async (t) => {
  const store = new MemoryStore()
  const setup = new TestSetup(store, true)
  const now = setup.timers.wallNow()
  store.put(DEADLY, { ...block, blockedAt: now - 100 * HOUR_MS })
  store.put(OTHER, { ...block, fingerprint: OTHER, blockedAt: now })
  setup.blockStore.start()
  await setup.advance(1_000_000)
  t.deepEqual([...store.objects.keys()], [OTHER])
})
