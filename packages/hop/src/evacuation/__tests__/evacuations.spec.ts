import test from 'ava'
import { VirtualTimers } from '@lentilwheel/core'
import { NoopCallLog } from '../../observe/callLog.js'
import { REWRITE_MS } from '../../rollout/supersededOrders.js'
import { EpochTracker } from '../../store/epochTracker.js'
import type { EvacuationRecord } from '../evacuationRecord.js'
import { Evacuations } from '../evacuations.js'

const DC = 'otaru'

class Setup {
  readonly timers = new VirtualTimers()
  readonly epochs = new EpochTracker(new NoopCallLog())
  changes = 0
  readonly evacuations = new Evacuations({ timers: this.timers, epochs: this.epochs, log: new NoopCallLog(), onChange: () => { this.changes++ } })

  get isEvacuated (): boolean {
    return this.evacuations.isEvacuated(DC)
  }
}

function order (number: number, epoch = 1, dataCentre = DC): EvacuationRecord {
  return { dataCentre, isOrdered: true, revision: { epoch, number } }
}

function removal (number: number, epoch = 1): EvacuationRecord {
  return { dataCentre: DC, isOrdered: false, revision: { epoch, number } }
}

const sequences: [name: string, records: EvacuationRecord[], isEvacuated: boolean][] = [
  ['an order', [order(5)], true],
  ['an order and its removal', [order(5), removal(9)], false],
  ['a removal before its order arrives', [removal(9), order(5)], false],
  ['a removal whose event has the revision of the order', [order(5), removal(5)], false],
  ['the order once more after such a removal', [removal(5), order(5)], false],
  ['a later order', [removal(9), order(12)], true],
  ['an order of a later epoch with a lower revision', [removal(9), order(3, 2)], true],
  ['an order of an earlier epoch', [removal(3, 2), order(9)], false]
]
for (const [name, records, isEvacuated] of sequences) {
  test(`guards against an older order or removal counting: ${name}`, (t) => {
    const setup = new Setup()
    for (const record of records) setup.evacuations.merge([record], 'peer')
    t.is(setup.isEvacuated, isEvacuated)
    t.is(setup.evacuations.count, Number(isEvacuated))
  })
}

test('guards against daemons telling each other the same for ever', (t) => {
  const setup = new Setup()
  setup.evacuations.merge([order(5)], 'peer')
  setup.evacuations.merge([order(5)], 'other')
  t.is(setup.changes, 1)
})

test('guards against one data centre\'s removal ending the evacuation of another one', (t) => {
  const setup = new Setup()
  setup.evacuations.merge([order(5), order(6, 1, 'asahikawa'), removal(7)], 'store')
  t.deepEqual([DC, 'asahikawa', 'sapporo'].map((dataCentre) => setup.evacuations.isEvacuated(dataCentre)), [false, true, false])
})

test('guards against a removal that no watch has brought being missed when the store is listed again', (t) => {
  const setup = new Setup()
  setup.evacuations.onList([order(5)], new Set([DC]), { epoch: 1, number: 6 })
  t.true(setup.isEvacuated)
  setup.evacuations.onList([], new Set(), { epoch: 1, number: 20 })
  t.false(setup.isEvacuated)
  t.deepEqual(setup.evacuations.records(), [removal(20)])
})

test('guards against a list that is older than an order ending it', (t) => {
  const setup = new Setup()
  setup.evacuations.merge([order(5)], 'peer')
  setup.evacuations.onList([], new Set(), { epoch: 1, number: 4 })
  t.true(setup.isEvacuated)
})

test('guards against an order that a daemon was cut off with coming back after all others have forgotten its removal', (t) => {
  const setup = new Setup()
  setup.evacuations.onList([], new Set(), { epoch: 1, number: 20 })
  setup.evacuations.merge([order(5)], 'peer')
  t.false(setup.isEvacuated)
  t.deepEqual(setup.evacuations.records(), [removal(20)], 'which the peer learns in turn')
  setup.evacuations.merge([order(21)], 'peer')
  t.true(setup.isEvacuated)
})

test('guards against an entry that another writer has spoilt ending an evacuation', (t) => {
  const setup = new Setup()
  setup.evacuations.merge([order(5)], 'store')
  setup.evacuations.onList([], new Set([DC]), { epoch: 1, number: 20 })
  t.true(setup.isEvacuated)
})

test('guards against an order being lost with the store, before its operator can write it again', (t) => {
  const setup = new Setup()
  setup.epochs.observe(1, 'store')
  setup.evacuations.merge([order(50)], 'store')
  setup.epochs.observe(2, 'store')
  setup.evacuations.onList([], new Set(), { epoch: 2, number: 30 })
  t.true(setup.isEvacuated)
  setup.timers.advance(REWRITE_MS + 1)
  setup.evacuations.onList([], new Set(), { epoch: 2, number: 31 })
  t.false(setup.isEvacuated)
})

test('guards against a restored store bringing back an order that was removed, and against a new one being held', (t) => {
  const setup = new Setup()
  setup.epochs.observe(1, 'store')
  setup.evacuations.merge([order(20), removal(50)], 'store')
  setup.epochs.observe(2, 'store')
  setup.evacuations.onList([order(20, 2)], new Set([DC]), { epoch: 2, number: 30 })
  t.false(setup.isEvacuated)
  setup.evacuations.merge([order(33, 2)], 'store')
  t.true(setup.isEvacuated)
})

test('guards against entries of another writer taking memory and messages without a bound', (t) => {
  const setup = new Setup()
  for (let i = 0; i < 1_000; i++) setup.evacuations.merge([order(i, 1, `dc${i}`)], 'store')
  t.true(setup.evacuations.records().length <= 64)
  t.true(setup.evacuations.isEvacuated('dc0'))
})
