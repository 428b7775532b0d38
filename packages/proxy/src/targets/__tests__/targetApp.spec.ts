import test from 'ava'
import { VirtualTimers, type Endpoint } from '@lentilwheel/core'
import { createTargetApp, type Probe } from '../targetApp.js'

const ANNOUNCEMENT = { name: 'orders', service: 'orders', version: 'v1', port: 9000 }

function setUp (probe: Probe = async () => ({ status: 200, body: '' })) {
  const timers = new VirtualTimers()
  const events: string[] = []
  let last: Endpoint[] = []
  const targets = createTargetApp({
    daemon: { id: 'd1', dataCentre: 'otaru' },
    timers,
    probe,
    onEndpoints: (endpoints) => { last = endpoints },
    onEvent: (event) => events.push(`${timers.now()} ${event.kind}: ${event.reason}`)
  })
  const send = async (method: string, path: string, body?: unknown): Promise<{ status: number, body: Record<string, unknown> }> => {
    const res = await targets.app.request(path, { method, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
    return { status: res.status, body: await res.json() as Record<string, unknown> }
  }
  return { timers, events, targets, send, states: () => last.map((endpoint) => `${endpoint.id} ${endpoint.state}`) }
}

/** Guards against a target that stays listed after its lease expired, and against one that is dropped while it renews. */
test('a target that stops renewing is gone when its lease expires', async (t) => {
  const { timers, events, send, states } = setUp()
  const created = await send('POST', '/targets', ANNOUNCEMENT)
  t.deepEqual([created.status, created.body['id']], [201, 'd1/orders'])
  for (let i = 0; i < 5; i++) {
    timers.advance(2_000)
    t.is((await send('PUT', '/targets/d1/orders', { load: 0.5 })).status, 200)
  }
  t.deepEqual(states(), ['d1/orders ready'])
  timers.advance(7_000)
  t.deepEqual(states(), ['d1/orders gone'])
  t.is((await send('PUT', '/targets/d1/orders')).status, 404)
  timers.advance(4_000)
  t.deepEqual(states(), [])
  t.snapshot(events)
})

/** Guards against calls to a target that leaves, and against removing it before other daemons know that it leaves. */
test('a leaving target drains before it is gone', async (t) => {
  const { timers, send, states, targets } = setUp()
  await send('POST', '/targets', ANNOUNCEMENT)
  t.deepEqual((await send('DELETE', '/targets/d1/orders')).body, { serveForMs: 3_000 })
  t.deepEqual(states(), ['d1/orders draining'])
  timers.advance(3_000)
  t.deepEqual(states(), ['d1/orders gone'])
  await send('POST', '/targets', ANNOUNCEMENT)
  targets.leaveAll()
  t.deepEqual(states(), ['d1/orders draining'])
})

/** Guards against a wrong health endpoint: it can delay the start of a target, and later only lower its preference. */
test('health and load endpoints delay readiness and lower preference, but take no target out', async (t) => {
  let healthy = false
  const { timers, send, states, targets } = setUp(async (_endpoint, path) =>
    path === '/load' ? { status: 200, body: '{"load":0.25}' } : { status: healthy ? 200 : 500, body: '' })
  await send('POST', '/targets', { ...ANNOUNCEMENT, healthPath: '/health', loadPath: '/load' })
  const step = async (): Promise<void> => {
    await timers.advanceAsync(2_000)
    await send('PUT', '/targets/d1/orders')
  }
  await step()
  t.deepEqual(states(), ['d1/orders starting'])
  healthy = true
  await step()
  t.deepEqual([states()[0], targets.endpoints()[0]!.load], ['d1/orders ready', 0.25])
  healthy = false
  for (let i = 0; i < 3; i++) await step()
  t.deepEqual([states()[0], targets.endpoints()[0]!.load], ['d1/orders ready', 1])
  healthy = true
  await step()
  t.not(targets.endpoints()[0]!.load, 1)
})

/** Guards against sending every change of a load to every daemon. */
test('loads are announced in steps and at a limited rate', async (t) => {
  const { timers, send, targets } = setUp()
  await send('POST', '/targets', ANNOUNCEMENT)
  const loads: (number | undefined)[] = []
  for (const load of [0.3, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9]) {
    await send('PUT', '/targets/d1/orders', { load })
    loads.push(targets.endpoints()[0]!.load)
    timers.advance(2_000)
  }
  t.deepEqual(loads, [0.25, 0.25, 0.25, 0.25, 0.25, 1, 1])
})

/** Guards against invalid announcements that reach other daemons. */
test('invalid announcements are rejected with the reasons', async (t) => {
  const { send, states } = setUp()
  for (const change of [{ port: 0 }, { service: '' }, { address: 'a host' }, { extra: 1 }, { slots: 'six' }]) {
    const { status, body } = await send('POST', '/targets', { ...ANNOUNCEMENT, ...change })
    t.is(status, 400)
    t.snapshot(body)
  }
  t.is((await send('POST', '/targets')).status, 400)
  t.deepEqual(states(), [])
})

/** Guards against a target that fills its daemon's memory, with or without a stated length. */
test('bodies above 16 KB are rejected and change nothing', async (t) => {
  const { targets, send, states } = setUp()
  await send('POST', '/targets', ANNOUNCEMENT)
  const text = JSON.stringify({ ...ANNOUNCEMENT, name: 'other', padding: 'x'.repeat(16 * 1024) })
  for (const [method, path] of [['POST', '/targets'], ['PUT', '/targets/d1/orders']] as const) {
    const stated = await targets.app.request(path, { method, body: text, headers: { 'content-length': String(text.length) } })
    t.is(stated.status, 413)
    const streamed = await targets.app.request(path, { method, body: new Blob([text]).stream(), duplex: 'half' } as RequestInit)
    t.is(streamed.status, 413)
  }
  t.deepEqual(states(), ['d1/orders ready'])
})
