import test from 'ava'
import { SeededRandom, type MoveFacts } from '@lentilwheel/core'
import { testHost } from '../../__tests__/fixtures.js'
import type { HostRecord } from '../../fleet/hostRecord.js'
import type { MoveOrder } from '../moveOrder.js'
import { BEFORE_ORDERS, type TrustedVersion } from '../trustedVersion.js'
import { VersionRules } from '../versionRules.js'

const RUNNING = ['v1', 'v2', 'v3']
const BEFORE: TrustedVersion = { service: 's', version: 'v1', since: BEFORE_ORDERS }

/** Two ready targets of each version. */
function hostsOf (versions: readonly string[]): HostRecord[] {
  return versions.flatMap((version) => [1, 2].map((n) => testHost(`${version}-${n}`, 'dc', { version })))
}

function orderOf (to: string, number: number, state: MoveOrder['state'] = 'running'): MoveOrder {
  return { id: `s/${to}@${number}`, service: 's', to, durationMs: 16_000, state, revision: { epoch: 1, number } }
}

function stageOf ({ id }: MoveOrder, stage: number, share: number): MoveFacts {
  return { stage: { kind: 'stage', move: id, stage, share, at: 1 } }
}

/** Share of the requests that each version gets. */
function sharesOf (rules: VersionRules, versions: readonly string[] = RUNNING): Record<string, number> {
  const options = rules.options('s')
  const shareOf = (version: string): number => options.filter((option) => hostsOf([version]).some((record) => option.accepts(record))).reduce((sum, { share }) => sum + share, 0)
  return Object.fromEntries(versions.map((version) => [version, options.length === 0 ? 1 : shareOf(version)]))
}

function setUp (versions: readonly string[] = RUNNING, trusted: TrustedVersion | null = BEFORE): VersionRules {
  const rules = new VersionRules(new SeededRandom(1))
  if (trusted) rules.trust(trusted)
  rules.setHosts(hostsOf(versions))
  return rules
}

const onTheWay = orderOf('v2', 10)
/** A move to v2 that has given it 12% of the traffic. */
function movingRules (): VersionRules {
  const rules = setUp()
  rules.setOrder(onTheWay)
  rules.setFacts(onTheWay.id, stageOf(onTheWay, 2, 0.12))
  return rules
}

test('guards against a version in a move getting what the old one had when the operator orders the old one', (t) => {
  const rules = movingRules()
  t.deepEqual(sharesOf(rules), { v1: 0.88, v2: 0.12, v3: 0 })
  rules.setOrder(orderOf('v1', 20, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
  t.deepEqual(RUNNING.map((version) => rules.isVersionAllowed('s', version)), [true, false, false])
  t.true(rules.isReturn(orderOf('v1', 20)))
})

test('guards against a version that got all traffic without its move being completed staying, when the operator orders the old one', (t) => {
  const rules = movingRules()
  rules.setFacts(onTheWay.id, stageOf(onTheWay, 4, 1))
  t.deepEqual(sharesOf(rules), { v1: 0, v2: 1, v3: 0 })
  rules.setOrder(orderOf('v1', 20, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
})

test('guards against a version in a move keeping or gaining traffic when the operator orders a third one', (t) => {
  const rules = movingRules()
  const next = orderOf('v3', 20, 'ordered')
  rules.setOrder(next)
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
  rules.setFacts(next.id, stageOf(next, 1, 0.06))
  t.deepEqual(sharesOf(rules), { v1: 0.94, v2: 0, v3: 0.06 })
  t.deepEqual(RUNNING.map((version) => rules.isVersionAllowed('s', version)), [true, false, true])
  t.deepEqual(rules.slots('s'), { newSlots: 12, oldSlots: 12, slotsPerTarget: 6 }, 'the version that was left does not count as room of the old one')
})

test('guards against a rolled back version getting traffic when the operator orders the old one, and then a third one', (t) => {
  const rules = setUp()
  rules.setOrder(orderOf('v2', 10, 'rolledBack'))
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
  rules.setOrder(orderOf('v1', 20, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
  rules.setOrder(orderOf('v3', 30, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
})

test('guards against a completed version being left for one that no order names, or given up by the next order', (t) => {
  const rules = movingRules()
  rules.setOrder(orderOf('v2', 12, 'completed'))
  t.deepEqual(rules.trustedVersions(), [{ service: 's', version: 'v2', since: { epoch: 1, number: 12 } }])
  rules.setOrder(orderOf('v3', 20, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 0, v2: 1, v3: 0 })
  rules.setOrder(orderOf('v1', 30, 'ordered'))
  t.deepEqual(sharesOf(rules), { v1: 0, v2: 1, v3: 0 }, 'the version before is tested like any other')
})

test('guards against requests being refused because the operator orders the version that the service runs, with or without a move before', (t) => {
  const rules = setUp(['v1'])
  rules.setOrder(orderOf('v1', 20, 'ordered'))
  t.deepEqual(sharesOf(rules, ['v1']), { v1: 1 })
  t.true(rules.isVersionAllowed('s', 'v1'))
})

test('guards against a version being trusted that one coordinator completed while another one took it back', (t) => {
  const rules = movingRules()
  const outcome: MoveFacts = { ...stageOf(onTheWay, 4, 1), outcome: { kind: 'outcome', move: onTheWay.id, outcome: 'done', reason: 'fine', at: 2 } }
  rules.setFacts(onTheWay.id, outcome)
  t.deepEqual(sharesOf(rules), { v1: 0, v2: 1, v3: 0 })
  rules.setFacts(onTheWay.id, { ...outcome, rollback: { kind: 'rollback', move: onTheWay.id, reason: 'bad', at: 3, daemon: 'a' } })
  t.deepEqual(sharesOf(rules), { v1: 1, v2: 0, v3: 0 })
})

test('guards against a daemon that starts taking the version of most targets for the one that the service runs', (t) => {
  const crowded = [...hostsOf(['v1', 'v2']), ...hostsOf(['v2']).map((record) => ({ ...record, host: `${record.host}-b` }))]
  const rules = new VersionRules(new SeededRandom(1))
  rules.setHosts(crowded)
  rules.trust(BEFORE)
  t.deepEqual(sharesOf(rules, ['v1', 'v2']), { v1: 1, v2: 0 })
  rules.setOrder(orderOf('v1', 20, 'ordered'))
  t.deepEqual(sharesOf(rules, ['v1', 'v2']), { v1: 1, v2: 0 })
})

test('guards against a daemon that starts in the middle of a move taking its version for the old one, whatever it hears first', (t) => {
  const order = onTheWay
  const steps: ((rules: VersionRules) => void)[] = [
    (rules) => rules.trust(BEFORE),
    (rules) => { rules.setOrder(order) },
    (rules) => rules.setFacts(order.id, stageOf(order, 2, 0.12)),
    (rules) => rules.setHosts(hostsOf(['v2'])),
    (rules) => rules.setHosts(hostsOf(RUNNING))
  ]
  const random = new SeededRandom(1)
  for (let n = 0; n < 50; n++) {
    const rules = new VersionRules(new SeededRandom(1))
    const rest = [...steps.slice(0, 4)]
    while (rest.length > 0) rest.splice(random.int(rest.length), 1)[0]!(rules)
    steps[4]!(rules)
    t.deepEqual(sharesOf(rules), { v1: 0.88, v2: 0.12, v3: 0 })
  }
})

test('guards against an older record of the trusted version replacing a later one', (t) => {
  const rules = setUp()
  rules.trust({ service: 's', version: 'v2', since: { epoch: 1, number: 10 } })
  rules.trust(BEFORE)
  rules.trust({ service: 's', version: 'v3', since: { epoch: 1, number: 9 } })
  t.deepEqual(sharesOf(rules), { v1: 0, v2: 1, v3: 0 })
})

test('guards against a service without requests because no target of the trusted version is ready', (t) => {
  const rules = setUp()
  rules.setHosts(hostsOf(['v4']))
  t.deepEqual(sharesOf(rules, ['v4']), { v4: 1 })
  rules.setHosts(hostsOf(['v1', 'v4']))
  t.deepEqual(sharesOf(rules, ['v1', 'v4']), { v1: 1, v4: 0 })
})

test('guards against a version being taken for the trusted one that an order names, or beside which another runs', (t) => {
  t.deepEqual(setUp(['v1'], null).presumedVersions(), [BEFORE])
  t.deepEqual(setUp(['v1', 'v2'], null).presumedVersions(), [])
  t.deepEqual(setUp(['v1']).presumedVersions(), [], 'it is known')
  const rules = setUp(['v1', 'v2'], null)
  rules.setOrder(onTheWay)
  t.deepEqual(rules.presumedVersions(), [BEFORE])
  rules.setHosts(hostsOf(['v2']))
  t.deepEqual(rules.presumedVersions(), [])
})
