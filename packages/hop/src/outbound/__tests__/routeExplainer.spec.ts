import test from 'ava'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names, TEST_ROUTE, testHost, testQuarantine } from '../../__tests__/fixtures.js'
import { requestFingerprint } from '../../quarantine/requestFingerprint.js'
import { VersionRules } from '../../rollout/versionRules.js'
import type { MeshRoute } from '../../routing/meshConfig.js'
import { RouteTable } from '../../routing/routeTable.js'
import { LoadBalancer } from '../loadBalancer.js'
import { readRouteQuery, RouteExplainer, type RouteExplanation, type RouteQuery } from '../routeExplainer.js'
import type { OutboundOptions } from '../outboundTypes.js'
import { workspaceWithKey } from './outboundSetup.js'

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
const HOTEL = workspaceWithKey('hotel', 'hotel-key', { priority: 0, ratePerS: 20, burst: 5 })
const ROUTES: MeshRoute[] = [
  { ...TEST_ROUTE, name: 'closed', pathPrefix: '/closed/' },
  { ...TEST_ROUTE, name: 'open', pathPrefix: '/open/', allowsAnonymous: true, parts: [{ service: 's', weight: 3 }, { service: 'other', weight: 1 }] }
]

function refuse (): never {
  throw new Error('an explanation has an effect')
}

/** An explainer on real parts; whatever would send, count or log something fails. */
class Setup {
  readonly timers = new VirtualTimers()
  readonly balancer = new LoadBalancer({ timers: this.timers, random: new SeededRandom(1), dataCentre: 'dc', host: 'a' })
  readonly quarantine = testQuarantine(this.timers)
  readonly rules = new VersionRules({ next: refuse, int: refuse, pick: refuse })
  table: RouteTable | undefined = new RouteTable({ version: 7, routes: ROUTES, services: new Map(), limits: LIMITS, workspaces: new Map([[HOTEL.name, HOTEL]]) })
  readonly downHosts = new Set<string>()
  readonly explainer = new RouteExplainer({
    outbound: {
      timers: { now: () => this.timers.now(), after: refuse },
      random: new SeededRandom(1),
      names,
      log: { call: refuse, decision: refuse },
      metrics: {},
      inbound: {},
      fleet: { own: { host: 'a', dataCentre: 'dc' }, isUp: (host: string) => !this.downHosts.has(host), live: refuse, link: refuse },
      loadBalancer: this.balancer,
      budget: { deposit: refuse, tryWithdraw: refuse },
      hedging: { policy: { recordRequest: refuse, recordLatency: refuse, delayMs: () => 540, tryWithdraw: refuse, retain: refuse } },
      sizes: { expectedBytes: () => 0, record: refuse },
      traffic: { record: refuse, recordWorkspace: refuse },
      versions: { choose: refuse },
      quarantine: this.quarantine,
      quota: { admit: refuse, giveBack: refuse },
      callerService: () => 'web'
    } as unknown as OutboundOptions,
    table: () => this.table,
    versionOptions: (service) => this.rules.options(service)
  })

  constructor () {
    const hosts = [testHost('a'), testHost('b'), testHost('c', 'dc2'), testHost('new', 'dc', { version: 'v2' })]
    this.balancer.setHosts(hosts)
    this.rules.setHosts(hosts)
    this.balancer.recordOffer('a')
    this.balancer.recordOffer('a')
    this.balancer.recordReply('a', { targetId: 't-a', running: 6, queued: 3, slots: 6, pace: 0.5, failing: 0 })
    this.balancer.markBusy('a')
    this.balancer.recordReply('b', { targetId: 't-b', running: 1, queued: 0, slots: 6, pace: 0.3, failing: 0.1 })
    this.balancer.recordReply('c', { targetId: 't-c', running: 2, queued: 0, slots: 6, pace: 0.9, failing: 0 })
    this.timers.advance(10)
  }

  explain (query: Partial<RouteQuery>): RouteExplanation {
    return this.explainer.explain({ method: 'GET', host: 'H:80', path: '/closed/1', ...query })
  }
}

/** Without the costs, which have a random part. */
function withoutCosts (explanation: RouteExplanation): object {
  return JSON.parse(JSON.stringify(explanation, (name, value: unknown) => name === 'costMs' ? undefined : value)) as object
}

test('guards against an explanation that differs from the decision, or that has an effect', (t) => {
  const setup = new Setup()
  const figures = ['a', 'b', 'c', 'new'].map((host) => setup.balancer.figures(host))
  const explanation = setup.explain({ workspace: 'hotel' })
  t.snapshot(withoutCosts(explanation))
  const [{ versions }] = explanation.services as [RouteExplanation['services'][number]]
  t.deepEqual(versions[0]!.first, { kind: 'offer', host: 'b', mode: 'now' })
  t.deepEqual(['a', 'b', 'c', 'new'].map((host) => setup.balancer.figures(host)), figures)
  t.false(JSON.stringify(explanation).includes(HOTEL.keyHashes[0]!))
})

test('guards against shares of a split or of a move being left out', (t) => {
  const setup = new Setup()
  setup.rules.setOrder({ id: 's/v2', service: 's', to: 'v2', durationMs: 1_000, state: 'running', revision: { epoch: 1, number: 1 } })
  setup.rules.setFacts('s/v2', { stage: { kind: 'stage', move: 's/v2', stage: 2, share: 0.2, at: 1 } as never })
  const { services } = setup.explain({ path: '/open/1' })
  t.deepEqual(services.map(({ service, share, versions }) => [service, share, versions.map((entry) => [entry.share, [...new Set(entry.candidates.map(({ version }) => version))]])]), [
    ['s', 0.75, [[0.8, ['v1']], [0.2, ['v2']]]],
    ['other', 0.25, [[1, []]]]
  ])
  t.deepEqual(services[1]!.versions[0]!.first, { kind: 'wait', ms: 60 })
})

test('guards against a rejection being explained otherwise than it is decided', (t) => {
  const setup = new Setup()
  const rejections = (query: Partial<RouteQuery>): unknown => setup.explain(query).rejection
  t.deepEqual(rejections({}), { status: 401, reason: 'keyMissing' })
  t.deepEqual(rejections({ workspace: 'nobody' }), { status: 401, reason: 'unknownKey' })
  t.deepEqual(rejections({ path: '/none/1' }), { status: 404, reason: 'noRoute' })
  t.is(rejections({ path: '/open/1' }), undefined)
  setup.table = undefined
  t.deepEqual(rejections({}), { status: 503, reason: 'noConfiguration' })
})

test('guards against a blocked request being explained as one that may run', (t) => {
  const setup = new Setup()
  const fingerprint = requestFingerprint({ method: 'GET', url: '/closed/1?x=1', headers: ['Host', 'H:80', names.callerService, 'web'], body: new Uint8Array() }, names)
  setup.quarantine.merge({ reports: [], blocks: [{ fingerprint, level: 1, isCleared: false, ageMs: 5 }] })
  const [version] = setup.explain({ path: '/closed/1?x=1', workspace: 'hotel' }).services[0]!.versions
  t.is(version!.standing, 'blocked')
  const { first } = version!
  t.like(first, { kind: 'reject', rejection: { status: 503, reason: 'quarantined' } })
  t.is(setup.explain({ path: '/closed/1?x=2', workspace: 'hotel' }).services[0]!.versions[0]!.standing, 'clear')
})

test('guards against hosts that can\'t be reached being named as candidates', (t) => {
  const setup = new Setup()
  setup.downHosts.add('b')
  const [version] = setup.explain({ workspace: 'hotel' }).services[0]!.versions
  t.false(version!.candidates.some(({ host }) => host === 'b'))
})

test('guards against a query without a host or a path being explained', (t) => {
  const read = (text: string): unknown => readRouteQuery(new URLSearchParams(text))
  t.deepEqual(read('host=h&path=/a%3Fb=1'), { method: 'GET', host: 'h', path: '/a?b=1' })
  t.deepEqual(read('method=POST&host=h&path=/a&workspace=w'), { method: 'POST', host: 'h', path: '/a', workspace: 'w' })
  for (const text of ['', 'host=h', 'path=/a', 'host=&path=/a', 'host=h&path=a']) t.is(read(text), undefined, text)
})
