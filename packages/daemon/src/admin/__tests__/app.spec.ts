import test from 'ava'
import { createAdminApp, type AdminBackend } from '../app.js'

const status = {
  daemon: 'd1',
  dataCentre: 'sapporo',
  version: 3,
  rootHash: 'h',
  since: 0,
  ready: false,
  reason: 'no peer answered yet',
  relay: false,
  members: 2,
  targets: [{ service: 'orders', version: 'v1', dataCentre: 'sapporo', ready: 1, total: 2 }]
}

const backend: AdminBackend = {
  status: () => status,
  fleetStatus: async () => ({ accounts: [], moves: [] }),
  events: (since) => [{ id: `d1#${since + 1}`, daemon: 'd1', time: { wallMs: 0, counter: 0 }, type: 'daemonStarted', fields: {} }],
  fleetEvents: async () => ({ events: [], silent: ['d2'] }),
  counters: () => ({ 'platform.calls': 1 }),
  takeBack: (move) => move === 'm1' ? { move, published: true } : { move, published: false, reason: 'no such move' },
  debug: () => ({ connections: 3 })
}

/** Guards against changes of the JSON that the command line reads. */
const REQUESTS: [string, string][] = [
  ['GET', '/healthz'], ['GET', '/readyz'], ['GET', '/status'], ['GET', '/status?debug=1'], ['GET', '/status?scope=fleet'], ['GET', '/events?since=4'],
  ['GET', '/events?since=x'], ['GET', '/events?scope=fleet'], ['GET', '/counters'], ['POST', '/moves/m1/take-back'],
  ['POST', '/moves/m2/take-back'], ['GET', '/nothing']
]

for (const [method, path] of REQUESTS) {
  test(`${method} ${path}`, async (t) => {
    const res = await createAdminApp(backend).request(path, { method })
    t.snapshot({ status: res.status, body: await res.text() })
  })
}

/** Guards against a client that fills the daemon's memory with a request body. */
test('requests with a body are rejected, with a content length or chunked', async (t) => {
  const headers: Record<string, string>[] = [
    { 'content-length': '1' }, { 'content-length': '99999999999' }, { 'transfer-encoding': 'chunked' }, { 'content-length': 'x' }
  ]
  for (const header of headers) {
    const res = await createAdminApp(backend).request('/moves/m1/take-back', { method: 'POST', headers: header })
    t.is(res.status, 413)
  }
})
