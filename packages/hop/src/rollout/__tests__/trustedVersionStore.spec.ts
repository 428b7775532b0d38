import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import { MemoryStore } from '../../__tests__/memoryStore.js'
import type { CallLog } from '../../observe/callLog.js'
import { BEFORE_ORDERS } from '../trustedVersion.js'
import { TrustedVersionStore } from '../trustedVersionStore.js'
import { VersionRules } from '../versionRules.js'

const V1 = { service: 's', version: 'v1', since: BEFORE_ORDERS }
const V2 = { service: 's', version: 'v2', since: { epoch: 1, number: 20 } }

class TestSetup {
  readonly timers = new VirtualTimers()
  readonly decisions: string[] = []
  readonly rules = new VersionRules(new SeededRandom(1))
  readonly versions: TrustedVersionStore

  constructor (store: MemoryStore) {
    const log: CallLog = { call: () => {}, decision: (what) => { this.decisions.push(what) } }
    this.versions = new TrustedVersionStore({ store, rules: this.rules, timers: this.timers, random: new SeededRandom(1), log })
    this.versions.start()
  }

  /** Lets a second pass, with the coordinator's periodic look. */
  async second (): Promise<void> {
    for (let i = 0; i < 5; i++) {
      this.timers.advance(200)
      this.versions.reconcile()
      for (let turn = 0; turn < 20; turn++) await Promise.resolve()
    }
  }
}

test('guards against the version that a service runs before its first order being forgotten in a restart of all daemons', async (t) => {
  const store = new MemoryStore()
  const first = new TestSetup(store)
  first.rules.setHosts([testHost('a', 'dc', { version: 'v1' })])
  await first.second()
  t.deepEqual(first.rules.trustedVersions(), [V1])
  const restarted = new TestSetup(store)
  restarted.rules.setHosts(['v1', 'v2', 'v2'].map((version, n) => testHost(`h${n}`, 'dc', { version })))
  await restarted.second()
  t.deepEqual(restarted.rules.trustedVersions(), [V1])
  t.deepEqual(store.objects.get('s')?.spec, V1)
})

test('guards against the version of a completed move being forgotten, and against a later one in the store being overwritten', async (t) => {
  const store = new MemoryStore()
  store.put('s', V1)
  const setup = new TestSetup(store)
  await setup.second()
  setup.rules.trust(V2)
  await setup.second()
  t.deepEqual(store.objects.get('s')?.spec, V2)
  const late = new TestSetup(new MemoryStore())
  await late.second()
  const behind = new TestSetup(store)
  behind.rules.trust({ ...V1, version: 'v0' })
  await behind.second()
  t.deepEqual(store.objects.get('s')?.spec, V2)
  t.deepEqual(behind.rules.trustedVersions(), [V2])
})

test('guards against a daemon waiting for a store that is away, and against a version being presumed while it is', async (t) => {
  const store = new MemoryStore()
  store.put('s', V2)
  store.isAway = true
  const setup = new TestSetup(store)
  let isLoaded = false
  setup.versions.whenLoaded(() => { isLoaded = true })
  setup.rules.setHosts([testHost('a', 'dc', { version: 'v1' })])
  await setup.second()
  t.true(isLoaded)
  t.deepEqual(setup.rules.trustedVersions(), [])
  store.isAway = false
  for (let i = 0; i < 5; i++) await setup.second()
  t.deepEqual(setup.rules.trustedVersions(), [V2])
})

test('guards against an object that another writer has spoilt being taken for a version', async (t) => {
  const store = new MemoryStore()
  store.put('s', { service: 'other', version: 'v9', since: BEFORE_ORDERS })
  store.put('t', 'odd')
  const setup = new TestSetup(store)
  await setup.second()
  t.deepEqual(setup.rules.trustedVersions(), [])
  t.deepEqual(setup.decisions.filter((what) => what === 'badRecord').length, 2)
  setup.rules.setHosts([testHost('a', 'dc', { version: 'v1' })])
  await setup.second()
  t.deepEqual(store.objects.get('s')?.spec, V1)
})
