import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { HistoryGone, StoreUnavailable } from '../../errors.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../epochTracker.js'
import type { EventBatch, Listing, ObjectStore, StoredObject, StoreEvent } from '../objectStore.js'
import type { StoreRevision } from '../storeRevision.js'
import { StoreWatcher } from '../storeWatcher.js'

const TURN_INTERVAL_MS = 10_000
const BATCH_DELAY_MS = 600

/** A watcher of a store in memory, which can be restored from a copy, with or without its open watch noticing. */
class Harness {
  readonly timers = new VirtualTimers()
  readonly epochs = new EpochTracker(new NoopCallLog())
  /** Specs that the watcher brought, in order. */
  readonly seen: unknown[] = []
  lists = 0
  isEnabled = true
  isAway = false
  #epoch = 1
  #number = 10
  #events: (StoreEvent & { number: number })[] = []
  #wakeWatch = (): void => {}
  #cutWatch = (): void => {}

  constructor () {
    const store = { epochs: this.epochs, list: async () => this.#list(), watch: async (...args: Parameters<ObjectStore['watch']>) => await this.#watch(...args) } as Partial<ObjectStore> as ObjectStore
    const onObject = ({ spec }: StoredObject): void => { if (this.seen.at(-1) !== spec) this.seen.push(spec) }
    new StoreWatcher({
      store,
      kind: 'k',
      timers: this.timers,
      random: new SeededRandom(1),
      log: new NoopCallLog(),
      turnIntervalMs: TURN_INTERVAL_MS,
      batchDelayMs: BATCH_DELAY_MS,
      turn: () => this.isEnabled ? { position: 0, watchers: 1 } : undefined,
      onList: (objects) => objects.forEach(onObject),
      onChange: onObject
    }).run()
  }

  put (spec: unknown): void {
    const number = ++this.#number
    this.#events.push({ number, deleted: false, object: { name: 'a', revision: { epoch: this.#epoch, number }, spec, status: undefined } })
    this.#wakeWatch()
  }

  /** Loses everything after a revision, takes `specs` and raises the revision to `number` with changes of other kinds. */
  restore (to: number, specs: unknown[], number: number): void {
    this.#epoch++
    this.#number = to
    this.#events = this.#events.filter((event) => event.number <= to)
    const wake = this.#wakeWatch
    this.#wakeWatch = () => {}
    for (const spec of specs) this.put(spec)
    this.#wakeWatch = wake
    this.#number = Math.max(this.#number, number)
  }

  /** Ends the open watch, if any, as a store does that goes away. */
  cutWatch (): void {
    this.#cutWatch()
  }

  async run (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += 50) {
      for (let i = 0; i < 20; i++) await Promise.resolve()
      if (elapsedMs < ms) this.timers.advance(50)
    }
  }

  #list (): Listing {
    if (this.isAway) throw new StoreUnavailable('away')
    this.lists++
    this.epochs.observe(this.#epoch, 'store')
    return { revision: this.#revision(), objects: this.#events.slice(-1).map(({ object }) => object) }
  }

  async #watch (_kind: string, revision: StoreRevision, waitMs: number, signal: AbortSignal): Promise<EventBatch> {
    if (this.isAway) throw new StoreUnavailable('away')
    if (revision.number > this.#number) throw new HistoryGone('gone')
    const events = (): StoreEvent[] => this.#events.filter(({ number }) => number > revision.number)
    if (events().length === 0 && waitMs > 0) {
      await new Promise<void>((resolve, reject) => {
        this.#wakeWatch = resolve
        this.#cutWatch = () => reject(new StoreUnavailable('cut off'))
        this.timers.after(waitMs, resolve)
        signal.addEventListener('abort', () => reject(new StoreUnavailable('aborted')))
      })
    }
    this.epochs.observe(this.#epoch, 'store')
    if (this.#epoch !== revision.epoch) throw new HistoryGone('another epoch')
    return { revision: this.#revision(), events: events() }
  }

  #revision (): StoreRevision {
    return { epoch: this.#epoch, number: this.#number }
  }
}

test('guards against a change being missed that was made while the store came back in the pause after another change', async (t) => {
  const harness = new Harness()
  await harness.run(1_000)
  harness.put('before')
  await harness.run(100)
  harness.restore(10, ['after'], 40)
  await harness.run(1_000)
  t.deepEqual(harness.seen, ['before', 'after'])
})

test('guards against a change being missed that was made before the store answered again after an outage', async (t) => {
  const harness = new Harness()
  await harness.run(1_000)
  harness.put('before')
  await harness.run(800)
  harness.isAway = true
  harness.put('lost')
  await harness.run(3_000)
  harness.restore(10, ['after'], 40)
  harness.isAway = false
  await harness.run(3_000)
  t.deepEqual(harness.seen.at(-1), 'after')
})

test('guards against a daemon that becomes a watcher after a restore continuing from a revision of before', async (t) => {
  const harness = new Harness()
  harness.put('before')
  await harness.run(1_000)
  harness.isEnabled = false
  await harness.run(TURN_INTERVAL_MS)
  harness.restore(10, ['after'], 40)
  harness.isEnabled = true
  await harness.run(1_000)
  t.deepEqual(harness.seen.at(-1), 'after')
})

test('guards against an open watch that the restore has not cut off hiding a change until its time is over', async (t) => {
  const harness = new Harness()
  harness.put('before')
  await harness.run(2_000)
  harness.restore(10, ['after'], 40)
  await harness.run(500)
  t.deepEqual(harness.seen, ['before'], 'the watch is still open')
  harness.epochs.observe(2, 'peer')
  await harness.run(100)
  t.deepEqual(harness.seen, ['before', 'after'])
})

test('guards against lists without end when peers name an epoch that the store has not', async (t) => {
  const harness = new Harness()
  await harness.run(2_000)
  harness.epochs.observe(9, 'peer')
  await harness.run(60_000)
  t.is(harness.lists, 2)
})

const SOAK_SEEDS = 60
const SOAK_STEPS = 40
/** Longer than the longest backoff and the pause after a change, but shorter than a watch. */
const SETTLE_MS = 4_000

test('guards against a change being missed in any order of changes, restores, outages and pauses', async (t) => {
  for (let seed = 1; seed <= SOAK_SEEDS; seed++) {
    const random = new SeededRandom(seed)
    const harness = new Harness()
    let last: unknown
    for (let step = 0; step < SOAK_STEPS; step++) {
      const dice = random.int(10)
      if (dice < 4) harness.put(last = `${seed}.${step}`)
      else if (dice === 4) {
        harness.restore(10 + random.int(20), last === undefined ? [] : [last], 10 + random.int(60))
        harness.cutWatch()
      } else if (dice === 5) harness.isAway = !harness.isAway
      else if (dice === 6) harness.isEnabled = !harness.isEnabled
      else if (dice === 7) harness.epochs.observe(harness.epochs.current + random.int(2), 'peer')
      else await harness.run(random.int(2_500))
    }
    harness.isAway = false
    harness.isEnabled = true
    await harness.run(SETTLE_MS)
    t.is(harness.seen.at(-1), last, `seed ${seed}`)
  }
})

test('guards against all watchers being deaf for long when their connections go silent together', async (t) => {
  const watchers = 8
  const turnIntervalMs = 1_000
  const timers = new VirtualTimers()
  const ends: number[] = []
  const revision = { epoch: 1, number: 1 }
  const store = {
    epochs: new EpochTracker(new NoopCallLog()),
    list: async () => ({ revision, objects: [] }),
    watch: async (_kind: string, _revision: StoreRevision, waitMs: number) => {
      if (waitMs > 0) await new Promise<void>((resolve) => { timers.after(waitMs, resolve) })
      if (waitMs > 0) ends.push(timers.now())
      return { revision, events: [] }
    }
  } as Partial<ObjectStore> as ObjectStore
  for (let position = 0; position < watchers; position++) {
    // Daemons start at any time.
    timers.advance(position * 137)
    new StoreWatcher({
      store, kind: 'k', timers, random: new SeededRandom(1), log: new NoopCallLog(), turnIntervalMs, batchDelayMs: BATCH_DELAY_MS, turn: () => ({ position, watchers }), onList: () => {}, onChange: () => {}
    }).run()
  }
  const runMs = 60_000
  for (let elapsedMs = 0; elapsedMs < runMs; elapsedMs += 50) {
    for (let i = 0; i < 20; i++) await Promise.resolve()
    timers.advance(50)
  }
  const steady = ends.slice(2 * watchers)
  const gaps = steady.slice(1).map((at, i) => at - steady[i]!)
  t.true(Math.max(...gaps) <= turnIntervalMs + 100, `${Math.max(...gaps)} ms without a proof`)
  t.true(steady.length <= runMs / turnIntervalMs, `${steady.length} watches`)
})
