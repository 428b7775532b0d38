import test from 'ava'
import { once } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import { connect } from 'node:net'
import { readResponseHead } from '../requests/responseHead.js'
import { ordersConfig, Rig, snapshotOf, viewOf } from './rig.js'

const SHAPES: Readonly<Record<string, string>> = {
  'length and chunked': 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  'two lengths': 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd',
  'two equal lengths': 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc',
  'signed length': 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc',
  'gzip, chunked': 'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
  'chunked twice': 'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  'chunked with a tab': 'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding:\x0bchunked\r\n\r\n0\r\n\r\n',
  'space before colon': 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length : 3\r\n\r\nabc',
  'folded header': 'GET /x HTTP/1.1\r\nhost: a\r\nx-a: b\r\n c\r\n\r\n',
  'bare line feed': 'GET /x HTTP/1.1\nhost: a\n\n',
  'no host': 'GET /x HTTP/1.1\r\n\r\n',
  'two hosts': 'GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n',
  'absolute target': 'GET http://b/x HTTP/1.1\r\nhost: a\r\n\r\n',
  'host named in connection': 'GET /x HTTP/1.1\r\nhost: a\r\nconnection: close, host\r\n\r\n',
  'large head': `GET /x HTTP/1.1\r\nhost: a\r\nx-a: ${'y'.repeat(20_000)}\r\n\r\n`,
  'unknown method': 'PROPFIND /x HTTP/1.1\r\nhost: a\r\n\r\n',
  'other expectation': 'GET /x HTTP/1.1\r\nhost: a\r\nexpect: tea\r\n\r\n',
  'not a deadline': 'GET /x HTTP/1.1\r\nhost: a\r\nx-lentilwheel-deadline-ms: -1\r\n\r\n',
  garbage: '\x16\x03\x01\x02\x00\r\n\r\n'
}

/** Guards against request smuggling: none of these may reach a target, and each is truthfully refused. */
test('shapes that are refused', async (t) => {
  const rig = await new Rig().start(1)
  const rows: string[] = []
  for (const [name, bytes] of Object.entries(SHAPES)) {
    const answer = await rig.raw(bytes)
    const notRun = /x-lentilwheel-not-run: 1/i.test(answer)
    const code = /x-lentilwheel-refusal: (\S+)/i.exec(answer)?.[1] ?? ''
    rows.push(`${name}: ${answer.slice(9, 12)} ${code}${notRun ? ', not run' : ''}`)
  }
  t.is(rig.targets[0]!.received, 0)
  t.snapshot(rows)
  await rig.stop()
})

/** Guards against internal and hop-by-hop headers that leak, and deadlines or attempts that a caller could widen. */
test('headers that reach the target and the caller', async (t) => {
  const rig = await new Rig().start(1)
  let seen: IncomingHttpHeaders = {}
  rig.targets[0]!.answerStatus = (req) => {
    seen = req.headers
    return 200
  }
  const result = await rig.call({
    headers: {
      'x-lentilwheel-not-run': '1',
      'x-lentilwheel-secret': 'a',
      'x-lentilwheel-deadline-ms': '15000',
      'x-lentilwheel-attempt': '2',
      connection: 'close, x-hop',
      'x-hop': '1',
      te: 'trailers',
      'x-kept': 'yes'
    }
  })
  t.is(result.status, 200)
  t.true(Number(seen['x-lentilwheel-deadline-ms']) <= 15_000)
  t.is(seen['x-lentilwheel-attempt'], '2')
  t.is(seen['x-kept'], 'yes')
  for (const name of ['x-lentilwheel-secret', 'x-lentilwheel-not-run', 'x-hop', 'te']) t.is(seen[name], undefined)
  await rig.stop()
})

/** Guards against retries that multiply over hops. */
test('a request that was retried upstream is not retried again', async (t) => {
  const rig = await new Rig().start(2)
  for (const target of rig.targets) target.faultOf = () => 'shedUnrun'
  const result = await rig.call({ headers: { 'x-lentilwheel-attempt': '1' } })
  t.deepEqual([result.status, result.headers['x-lentilwheel-not-run']], [503, '1'])
  t.is(rig.targets[0]!.received + rig.targets[1]!.received, 1)
  await rig.stop()
})

/** Guards HEAD, Expect and large bodies in both directions. */
test('HEAD, 100-continue and large bodies', async (t) => {
  const rig = await new Rig().start(1)
  const head = await rig.call({ method: 'HEAD', id: 'h' })
  t.deepEqual([head.status, head.body, Number(head.headers['content-length']) > 0], [200, '', true])
  const expecting = await rig.raw('POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi')
  t.regex(expecting, /^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 OK/)
  rig.targets[0]!.answerBytes = 3_000_000
  const large = await rig.call({ method: 'POST', id: 'big', body: 'b'.repeat(3_000_000) })
  t.deepEqual([large.status, large.broken, large.body.length > 3_000_000], [200, false, true])
  await rig.stop()
})

/** Guards against work that goes on for a caller that went away. */
test('a caller that goes away cancels its call at the target', async (t) => {
  const rig = await new Rig().start(1)
  const target = rig.targets[0]!
  let abort = (): void => {}
  const atTarget = new Promise<void>((resolve) => {
    target.faultOf = (req) => {
      req.socket.once('close', () => resolve())
      abort()
      return 'hang'
    }
  })
  await rig.call({ onRequest: (fn) => { abort = fn } })
  await atTarget
  t.is(target.cancelled, 1)
  await rig.stop()
})

/** Guards against callers that hold a slot or memory for ever by not sending or not reading. */
test('callers that stall end with their deadline', async (t) => {
  const rig = await new Rig().start(1, ordersConfig('200ms'))
  const unsent = await rig.raw('POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab')
  t.regex(unsent, /^HTTP\/1\.1 504 .*x-lentilwheel-not-run: 1/s)
  t.is(rig.targets[0]!.received, 0)
  rig.targets[0]!.answerBytes = 30_000_000
  const socket = connect({ port: rig.port, host: '127.0.0.1' })
  socket.on('error', () => {})
  socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n')
  await once(socket, 'readable')
  // Ends when no call is left; the limit lies beyond the time-out of the test run.
  await rig.proxy.drain({ lingerMs: 0, limitMs: 600_000 })
  socket.destroy()
  await rig.stop()
})

/** Guards against a parse error whose answer a caller would take for that of its call in progress. */
test('garbage after a request gives no second answer', async (t) => {
  const rig = await new Rig().start(1)
  rig.targets[0]!.faultOf = () => 'hang'
  t.is(await rig.raw('POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nnot-hex\r\n'), '')
  await rig.stop()
})

/** Guards against answers in the wrong order, and calls that are never ended, when a caller pipelines requests. */
test('pipelined requests are answered in order, and cancelled with their connection', async (t) => {
  const rig = await new Rig().start(1)
  const target = rig.targets[0]!
  target.delayMs = (req) => req.url === '/1' ? 20 : 0
  const request = (path: string, more = ''): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nx-request-id: ${path}\r\n${more}\r\n`
  const answers = await rig.raw(request('/1') + request('/2', 'connection: close\r\n'))
  t.deepEqual(answers.match(/"id":"[^"]*"/g), ['"id":"/1"', '"id":"/2"'])
  target.faultOf = (req) => req.url === '/3' ? 'hang' : 'dieBeforeBody'
  t.is(await rig.raw(request('/3') + 'garbage\r\n\r\n'), '')
  await rig.proxy.drain({ lingerMs: 0, limitMs: 60_000 })
  await rig.stop()
})

/** Guards against headers of the target's connection, and of our own, that reach a caller. */
test('answer heads', (t) => {
  const head = readResponseHead([
    'Connection', 'X-Hop, close', 'X-Hop', '1', 'X-Lentilwheel-Not-Run', '1', 'Set-Cookie', 'a', 'Set-Cookie', 'b',
    'Content-Length', '3', 'Keep-Alive', 'timeout=5'
  ])
  t.deepEqual(head.headers, ['set-cookie', 'a', 'set-cookie', 'b', 'content-length', '3'])
  t.true(head.notRun && head.hasLength)
})

/** Guards against a planned stop that cuts off a call, and against new work on a target that leaves. */
test('the proxy and a target drain with calls in flight', async (t) => {
  const rig = await new Rig().start(2)
  let arrived = 0
  let onAll = (): void => {}
  const all = new Promise<void>((resolve) => { onAll = resolve })
  for (const target of rig.targets) {
    target.delayMs = () => {
      if (++arrived === 6) onAll()
      return 50
    }
  }
  const calls = Array.from({ length: 6 }, async (_, i) => await rig.call({ method: 'POST', id: `d${i}`, body: 'x' }))
  await all
  rig.proxy.setEndpoints([viewOf(rig.targets[0]!, 0, { state: 'draining' }), viewOf(rig.targets[1]!, 1)])
  const before = rig.targets[0]!.received
  const later = await rig.call({ id: 'later' })
  const drained = rig.proxy.drain({ lingerMs: 0 })
  const results = await Promise.all(calls)
  await drained
  t.deepEqual(results.map((result) => result.status), [200, 200, 200, 200, 200, 200])
  t.deepEqual([later.status, rig.targets[0]!.received], [200, before])
  t.true((await rig.call()).broken, 'nothing is accepted after the drain')
  await rig.stop()
})

/** Guards against calls that fail because the configuration changes under them. */
test('configuration swaps under load fail no call', async (t) => {
  const rig = await new Rig().start(2)
  const statuses = await Promise.all(Array.from({ length: 100 }, async (_, i) => {
    rig.proxy.setSnapshot(snapshotOf(ordersConfig(i % 2 === 0 ? '20s' : '30s'), i + 2))
    return (await rig.call({ id: `c${i}` })).status
  }))
  t.true(statuses.every((status) => status === 200))
  await rig.stop()
})

/** Guards the share of a move, its evidence, and the fallback to the old version when the new one has no target. */
test('a move divides the calls and falls back to the old version', async (t) => {
  const seen = new Map<string, number>()
  const share = { from: 'v1', to: 'v2', share: 1 }
  const rig = await new Rig({
    shareOf: () => share,
    observer: { onCall: (_service, _route, version) => { seen.set(version, (seen.get(version) ?? 0) + 1) } }
  }).start(2)
  t.is((await rig.call()).status, 200)
  t.deepEqual([...seen], [['v1', 1]])
  rig.proxy.setEndpoints([viewOf(rig.targets[0]!, 0), viewOf(rig.targets[1]!, 1, { version: 'v2' })])
  t.is((await rig.call()).status, 200)
  rig.targets[1]!.faultOf = () => 'shedUnrun'
  t.is((await rig.call()).status, 200, 'what the new version refuses goes to the old one')
  share.share = 0
  t.is((await rig.call()).status, 200)
  t.deepEqual([...seen], [['v1', 3], ['v2', 2]])
  await rig.stop()
})

/** Guards against an unbounded queue and a refusal that isn't truthful when all slots are busy. */
test('calls wait for a slot in a bounded queue and are refused as not run beyond it', async (t) => {
  const cfg = ordersConfig('20s')
  cfg.services!['orders']!.queue = 1
  const rig = await new Rig().start(1, cfg)
  const target = rig.targets[0]!
  target.delayMs = () => 100
  rig.proxy.setEndpoints([viewOf(target, 0, { slots: 1 })])
  const results = await Promise.all(Array.from({ length: 4 }, async (_, i) => await rig.call({ path: '/slow', id: `q${i}` })))
  const served = results.filter((result) => result.status === 200)
  const refused = results.filter((result) => result.headers['x-lentilwheel-not-run'] === '1')
  t.is(served.length + refused.length, 4)
  t.true(served.length >= 2)
  for (const [i, result] of results.entries()) if (result.status !== 200) t.is(rig.runs(`q${i}`), 0)
  await rig.stop()
})
