import test from 'ava'
import { CliHarness } from './cliHarness.js'

const ROUTE = { name: 'order', pathPrefix: '/orders/', timeoutMs: 1_200, targetLatencyMs: 600, maxAttempts: 2, idempotent: true }
const START = { protocol: 1, daemon: 'otaru-1', dataCentre: 'otaru', config: 28, services: [] }
const HEALTHY = { inFlight: 1, avoidMs: 0, busyMs: 0, limitedMs: 0, coldMs: 0, load: { targetId: 'i-1', running: 2, queued: 0, slots: 6, pace: 0.4, failing: 0 }, loadAgeMs: 35 }
const IMPAIRED = { inFlight: 0, avoidMs: 220, busyMs: 15, limitedMs: 90, coldMs: 2_400 }
const CANDIDATES = [
  { host: 'otaru-2', targetId: 'i-2', version: 'v1', isLocal: true, costMs: 81.7, isBusy: false, isQueueFull: false, figures: HEALTHY },
  { host: 'sapporo-1', targetId: 'i-7', version: 'v1', isLocal: false, costMs: 6_130, isBusy: true, isQueueFull: true, figures: IMPAIRED },
  { host: 'gone-1', targetId: 'i-8', version: 'v1', isLocal: false, costMs: 90, isBusy: false, isQueueFull: false }
]
const NEW_VERSION = { share: 0.05, standing: 'clear', first: { kind: 'offer', host: 'otaru-3', mode: 'queue' }, candidates: [{ ...CANDIDATES[0], host: 'otaru-3', version: 'v2' }] }
const OFFER = { kind: 'offer', host: 'otaru-2', mode: 'now' }

const explanations: Record<string, object> = {
  'workspace with a quota': {
    ...START,
    route: ROUTE,
    workspace: { name: 'hotel', ratePerS: 20, burst: 5 },
    priority: { value: 0, from: 'workspace' },
    services: [{ service: 'orders', share: 1, versions: [{ share: 1, standing: 'clear', first: OFFER, candidates: CANDIDATES }] }]
  },
  'split and move': {
    ...START,
    route: { ...ROUTE, idempotent: false, maxAttempts: 1 },
    priority: { value: 1, from: 'route' },
    services: [
      { service: 'orders', share: 0.9, versions: [{ share: 0.95, standing: 'clear', first: OFFER, candidates: CANDIDATES.slice(0, 1) }, NEW_VERSION] },
      { service: 'archive', share: 0.1, versions: [{ share: 1, standing: 'clear', first: { kind: 'wait', ms: 60 }, candidates: [] }] }
    ]
  },
  'blocked request': {
    ...START,
    route: ROUTE,
    priority: { value: 1, from: 'route' },
    services: [{ service: 'orders', share: 1, versions: [{ share: 1, standing: 'blocked', first: { kind: 'reject', rejection: { status: 503, reason: 'quarantined', retryAfterMs: 3_600_000 } }, candidates: [] }] }]
  },
  'no key': { ...START, route: ROUTE, rejection: { status: 401, reason: 'keyMissing' } },
  'no route': { ...START, rejection: { status: 404, reason: 'noRoute' } }
}
for (const [name, explanation] of Object.entries(explanations)) {
  test(`guards against a daemon's explanation of a route losing something on the way to the operator: ${name}`, async (t) => {
    const cli = new CliHarness()
    cli.daemon.respondJson(explanation)
    t.snapshot(await cli.run('explain-route', 'shop.example', '/orders/1?x=1', '--daemon', '10.1.0.42:7701'))
    const { out, code } = await cli.run('explain-route', 'shop.example', '/orders/1?x=1', '--daemon', '10.1.0.42:7701', '--json')
    t.is(code, 0)
    t.like(JSON.parse(out), { daemon: 'otaru-1', config: 28 })
  })
}

test('guards against the daemon being asked for another request than the operator named', async (t) => {
  const cli = new CliHarness()
  cli.daemon.respondJson({ ...START, rejection: { status: 404, reason: 'noRoute' } })
  await cli.run('explain-route', 'h', '/a?b=1', '--method', 'POST', '--workspace', 'hotel', '--daemon', 'd:1')
  await cli.run('explain-route', 'h', '/a', '--daemon', 'd:1')
  t.deepEqual(cli.daemon.routeQueries, [{ method: 'POST', host: 'h', path: '/a?b=1', workspace: 'hotel' }, { method: 'GET', host: 'h', path: '/a' }])
})

const mistakes: Record<string, string[]> = {
  'no daemon': ['h', '/a'],
  'no path': ['h', '--daemon', 'd:1'],
  'a path without a slash': ['h', 'a', '--daemon', 'd:1'],
  csv: ['h', '/a', '--daemon', 'd:1', '--csv']
}
for (const [name, args] of Object.entries(mistakes)) {
  test(`guards against a wrong command line being sent to a daemon: ${name}`, async (t) => {
    const cli = new CliHarness()
    t.snapshot(await cli.run('explain-route', ...args))
    t.deepEqual(cli.daemon.routeQueries, [])
  })
}

test('guards against the metrics of an older daemon being taken for an explanation', async (t) => {
  const cli = new CliHarness()
  cli.daemon.response = { status: 200, text: '# HELP lentilwheel_requests_total Requests by route and outcome\n' }
  t.snapshot(await cli.run('explain-route', 'h', '/a', '--daemon', 'd:1'))
})
