import test from 'ava'
import { SeededRandom, type MoveFacts } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import type { MoveOrder } from '../moveOrder.js'
import { VersionRules } from '../versionRules.js'

const hosts = [['a', 'v1'], ['b', 'v1'], ['c', 'v2'], ['d', 'v2']].map(([name, version]) => testHost(name!, 'dc', { version: version! }))
const order: MoveOrder = { id: 's/v2', service: 's', to: 'v2', durationMs: 16_000, state: 'running', revision: { epoch: 1, number: 5 } }
const stage = (number: number, share: number): MoveFacts => ({ stage: { kind: 'stage', move: 's/v2', stage: number, share, at: 1 } })
const rollback: MoveFacts = { ...stage(2, 0.1), rollback: { kind: 'rollback', move: 's/v2', reason: 'bad', at: 2, daemon: 'a' } }
const done: MoveFacts = { ...stage(4, 1), outcome: { kind: 'outcome', move: 's/v2', outcome: 'done', reason: 'fine', at: 3 } }

const cases: [name: string, order: MoveOrder | undefined, facts: MoveFacts][] = [
  ['no order known', undefined, {}],
  ['order known, no stage decided', { ...order, state: 'ordered' }, {}],
  ['first stage', order, stage(1, 0.1)],
  ['load test stage, which prefers one target', order, stage(3, 0.3)],
  ['last stage, all traffic', order, stage(4, 1)],
  ['rolled back by a fact', order, rollback],
  ['rolled back in the store', { ...order, state: 'rolledBack' }, {}],
  ['completed by a fact', order, done],
  ['completed in the store', { ...order, state: 'completed' }, {}]
]

for (const [name, knownOrder, facts] of cases) {
  test(`guards against traffic to the wrong versions: ${name}`, (t) => {
    const rules = new VersionRules(new SeededRandom(1))
    rules.setHosts(hosts.slice(0, 2))
    rules.setHosts(hosts)
    if (knownOrder) rules.setOrder(knownOrder)
    rules.setFacts('s/v2', facts)
    const counts: Record<string, number> = {}
    for (let i = 0; i < 100; i++) {
      const choice = rules.choose('s')
      const accepted = hosts.filter((record) => choice?.accepts(record) ?? true).map((record) => record.host).join('')
      const key = choice?.preferredHost === undefined ? accepted : `${accepted} first ${choice.preferredHost}`
      counts[key] = (counts[key] ?? 0) + 1
    }
    t.snapshot({ counts, allowed: { v1: rules.isVersionAllowed('s', 'v1'), v2: rules.isVersionAllowed('s', 'v2') } })
  })
}

test('guards against an older revision of an order replacing a newer one', (t) => {
  const rules = new VersionRules(new SeededRandom(1))
  t.true(rules.setOrder({ ...order, state: 'rolledBack', revision: { epoch: 1, number: 9 } }))
  t.false(rules.setOrder({ ...order, revision: { epoch: 1, number: 8 } }))
  t.is(rules.phase('s'), 'rolledBack')
})

test('guards against a version getting all traffic because its order has a lower revision than one from before the store was restored', (t) => {
  const rules = new VersionRules(new SeededRandom(1))
  rules.setHosts(hosts)
  rules.setOrder({ ...order, to: 'v1', id: 's/v1', state: 'rolledBack', revision: { epoch: 1, number: 27 } })
  t.true(rules.setOrder({ ...order, state: 'ordered', revision: { epoch: 2, number: 24 } }))
  t.false(rules.setOrder({ ...order, to: 'v1', id: 's/v1', revision: { epoch: 1, number: 40 } }))
  t.deepEqual(['v1', 'v2'].map((version) => rules.isVersionAllowed('s', version)), [true, false])
})

test('guards against requests failing because all targets of the new version are gone', (t) => {
  const rules = new VersionRules(new SeededRandom(1))
  rules.setOrder(order)
  rules.setFacts('s/v2', stage(4, 1))
  rules.setHosts(hosts.slice(0, 2))
  t.true(rules.choose('s')!.accepts(hosts[0]!))
})

test('guards against traffic to a version that no order has named, after the order of another one was rolled back', (t) => {
  const rules = new VersionRules(new SeededRandom(1))
  rules.setHosts(hosts.slice(0, 2))
  rules.setOrder({ ...order, state: 'rolledBack' })
  const unnamed = testHost('e', 'dc', { version: 'v3' })
  rules.setHosts([...hosts, unnamed])
  t.deepEqual([...hosts, unnamed].filter((record) => rules.choose('s')!.accepts(record)).map(({ target }) => target!.version), ['v1', 'v1'])
})

test('guards against traffic to a version that no order has named, after a move is completed and its old targets have gone', (t) => {
  const rules = new VersionRules(new SeededRandom(1))
  rules.setHosts(hosts)
  rules.setOrder({ ...order, state: 'completed' })
  const unnamed = ['e', 'f', 'g'].map((name) => testHost(name, 'dc', { version: 'v3' }))
  rules.setHosts([...hosts.slice(2), ...unnamed])
  rules.setOrder({ ...order, id: 's/v3', to: 'v3', state: 'ordered', revision: { epoch: 1, number: 9 } })
  t.deepEqual([...hosts.slice(2), ...unnamed].filter((record) => rules.choose('s')!.accepts(record)).map(({ target }) => target!.version), ['v2', 'v2'])
})

test('guards against the options of a service having another share than the requests get, or drawing from the random numbers', (t) => {
  let draws = 0
  let drawn = 0
  const rules = new VersionRules({
    ...new SeededRandom(1),
    next: () => {
      draws++
      return drawn
    }
  } as unknown as SeededRandom)
  t.deepEqual(rules.options('s'), [])
  rules.setOrder({ ...order, state: 'running' })
  rules.setFacts('s/v2', stage(2, 0.2))
  rules.setHosts(hosts)
  t.deepEqual(rules.options('s').map(({ share }) => share), [0.8, 0.2])
  t.is(draws, 0)
  const versionsAt = (value: number): string[] => {
    drawn = value
    return [...new Set(hosts.filter((record) => rules.choose('s')!.accepts(record)).map(({ target }) => target!.version))]
  }
  t.deepEqual([versionsAt(0.19), versionsAt(0.2)], [['v2'], ['v1']])
})
