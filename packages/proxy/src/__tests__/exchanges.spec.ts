import test from 'ava'
import { once } from 'node:events'
import type { IncomingHttpHeaders } from 'node:http'
import { connect } from 'node:net'
import { readResponseHead } from '../requests/responseHead.js'
import { ordersConfig, ProxyHarness, snapshotOf, endpointOf } from './proxyHarness.js'

const MALFORMED_REQUESTS: Readonly<Record<string, string>> = {
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

/** Guards against request smuggling: none of these may reach a target, and each is reported as not run. */
test('malformed and ambiguous requests are rejected', async (t) => {
  const harness = await new ProxyHarness().start(1)
  const rows: string[] = []
  for (const [name, bytes] of Object.entries(MALFORMED_REQUESTS)) {
    const response = await harness.sendRaw(bytes)
    const notRun = /x-lentilwheel-not-run: 1/i.test(response)
    const code = /x-lentilwheel-refusal: (\S+)/i.exec(response)?.[1] ?? ''
    rows.push(`${name}: ${response.slice(9, 12)} ${code}${notRun ? ', not run' : ''}`)
  }
  t.is(harness.targets[0]!.received, 0)
  t.snapshot(rows)
  await harness.stop()
})

/** Guards against forwarding internal and hop-by-hop headers, and against callers that extend the deadline or reset the attempts. */
test('the headers of a request that reach the target', async (t) => {
  const harness = await new ProxyHarness().start(1)
  let seen: IncomingHttpHeaders = {}
  harness.targets[0]!.responseStatus = (req) => {
    seen = req.headers
    return 200
  }
  const result = await harness.call({
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
  await harness.stop()
})

/** Guards against retries that multiply from hop to hop. */
test('a request that was retried upstream is not retried again', async (t) => {
  const harness = await new ProxyHarness().start(2)
  for (const target of harness.targets) target.faultOf = () => 'shedUnrun'
  const result = await harness.call({ headers: { 'x-lentilwheel-attempt': '1' } })
  t.deepEqual([result.status, result.headers['x-lentilwheel-not-run']], [503, '1'])
  t.is(harness.targets[0]!.received + harness.targets[1]!.received, 1)
  await harness.stop()
})

/** Guards the forwarding of HEAD, Expect and large bodies in both directions. */
test('HEAD, 100-continue and large bodies', async (t) => {
  const harness = await new ProxyHarness().start(1)
  const head = await harness.call({ method: 'HEAD', id: 'h' })
  t.deepEqual([head.status, head.body, Number(head.headers['content-length']) > 0], [200, '', true])
  const expecting = await harness.sendRaw(
    'POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi'
  )
  t.regex(expecting, /^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 OK/)
  harness.targets[0]!.answerBytes = 3_000_000
  const large = await harness.call({ method: 'POST', id: 'big', body: 'b'.repeat(3_000_000) })
  t.deepEqual([large.status, large.isBroken, large.body.length > 3_000_000], [200, false, true])
  await harness.stop()
})

/** Guards against targets that go on working for a caller that went away. */
test('a caller that goes away cancels its call at the target', async (t) => {
  const harness = await new ProxyHarness().start(1)
  const target = harness.targets[0]!
  let abort = (): void => {}
  const atTarget = new Promise<void>((resolve) => {
    target.faultOf = (req) => {
      req.socket.once('close', () => resolve())
      abort()
      return 'hang'
    }
  })
  await harness.call({ onRequest: (fn) => { abort = fn } })
  await atTarget
  t.is(target.cancelled, 1)
  await harness.stop()
})

/** Guards against callers that occupy a slot or memory for ever by not sending or not reading. */
test('calls of stalled callers end at their deadline', async (t) => {
  const harness = await new ProxyHarness().start(1, ordersConfig('200ms'))
  const unsent = await harness.sendRaw('POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab')
  t.regex(unsent, /^HTTP\/1\.1 504 .*x-lentilwheel-not-run: 1/s)
  t.is(harness.targets[0]!.received, 0)
  harness.targets[0]!.answerBytes = 30_000_000
  const socket = connect({ port: harness.port, host: '127.0.0.1' })
  socket.on('error', () => {})
  socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n')
  await once(socket, 'readable')
  // Returns when no call is left; the limit is longer than the timeout of the test run.
  await harness.proxy.drain({ lingerMs: 0, timeoutMs: 600_000 })
  socket.destroy()
  await harness.stop()
})

/** Guards against a response to a parse error that the caller takes for the response to its call in progress. */
test('invalid bytes after a request get no second response', async (t) => {
  const harness = await new ProxyHarness().start(1)
  harness.targets[0]!.faultOf = () => 'hang'
  t.is(await harness.sendRaw('POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nnot-hex\r\n'), '')
  await harness.stop()
})

/** Guards against responses in the wrong order, and calls that never end, when a caller pipelines requests. */
test('pipelined requests get responses in order and are cancelled with their connection', async (t) => {
  const harness = await new ProxyHarness().start(1)
  const target = harness.targets[0]!
  target.delayMs = (req) => req.url === '/1' ? 20 : 0
  const request = (path: string, more = ''): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nx-request-id: ${path}\r\n${more}\r\n`
  const responses = await harness.sendRaw(request('/1') + request('/2', 'connection: close\r\n'))
  t.deepEqual(responses.match(/"id":"[^"]*"/g), ['"id":"/1"', '"id":"/2"'])
  target.faultOf = (req) => req.url === '/3' ? 'hang' : 'dieBeforeBody'
  t.is(await harness.sendRaw(request('/3') + 'garbage\r\n\r\n'), '')
  await harness.proxy.drain({ lingerMs: 0, timeoutMs: 60_000 })
  await harness.stop()
})

/** Guards against forwarding hop-by-hop and internal headers of a target to the caller. */
test('the headers of a response that reach the caller', (t) => {
  const head = readResponseHead([
    'Connection', 'X-Hop, close', 'X-Hop', '1', 'X-Lentilwheel-Not-Run', '1', 'Set-Cookie', 'a', 'Set-Cookie', 'b',
    'Content-Length', '3', 'Keep-Alive', 'timeout=5'
  ])
  t.deepEqual(head.headers, ['set-cookie', 'a', 'set-cookie', 'b', 'content-length', '3'])
  t.true(head.notRun && head.hasContentLength)
})

/** Guards against a planned stop that cuts off a call, and against new calls to a draining target. */
test('the proxy and a target drain with calls in flight', async (t) => {
  const harness = await new ProxyHarness().start(2)
  let arrived = 0
  let onAll = (): void => {}
  const all = new Promise<void>((resolve) => { onAll = resolve })
  for (const target of harness.targets) {
    target.delayMs = () => {
      if (++arrived === 6) onAll()
      return 50
    }
  }
  const calls = Array.from({ length: 6 }, async (_, i) => await harness.call({ method: 'POST', id: `d${i}`, body: 'x' }))
  await all
  harness.proxy.setEndpoints([endpointOf(harness.targets[0]!, 0, { state: 'draining' }), endpointOf(harness.targets[1]!, 1)])
  const before = harness.targets[0]!.received
  const later = await harness.call({ id: 'later' })
  const drained = harness.proxy.drain({ lingerMs: 0 })
  const results = await Promise.all(calls)
  await drained
  t.deepEqual(results.map((result) => result.status), [200, 200, 200, 200, 200, 200])
  t.deepEqual([later.status, harness.targets[0]!.received], [200, before])
  t.true((await harness.call()).isBroken, 'nothing is accepted after the drain')
  await harness.stop()
})

/** Guards against calls that fail because the configuration changes while they run. */
test('no call fails when the configuration changes under load', async (t) => {
  const harness = await new ProxyHarness().start(2)
  const statuses = await Promise.all(Array.from({ length: 100 }, async (_, i) => {
    harness.proxy.setSnapshot(snapshotOf(ordersConfig(i % 2 === 0 ? '20s' : '30s'), i + 2))
    return (await harness.call({ id: `c${i}` })).status
  }))
  t.true(statuses.every((status) => status === 200))
  await harness.stop()
})

/** Guards the traffic share of a move, the results reported for it, and the fallback when the new version can't serve. */
test('a move splits the calls and falls back to the old version', async (t) => {
  const seen = new Map<string, number>()
  const share = { from: 'v1', to: 'v2', share: 1 }
  const harness = await new ProxyHarness({
    shareOf: () => share,
    observer: { onCall: (_service, _route, version) => { seen.set(version, (seen.get(version) ?? 0) + 1) } }
  }).start(2)
  t.is((await harness.call()).status, 200)
  t.deepEqual([...seen], [['v1', 1]])
  harness.proxy.setEndpoints([endpointOf(harness.targets[0]!, 0), endpointOf(harness.targets[1]!, 1, { version: 'v2' })])
  t.is((await harness.call()).status, 200)
  harness.targets[1]!.faultOf = () => 'shedUnrun'
  t.is((await harness.call()).status, 200, 'a call that the new version rejects goes to the old one')
  share.share = 0
  t.is((await harness.call()).status, 200)
  t.deepEqual([...seen], [['v1', 3], ['v2', 2]])
  await harness.stop()
})

/** Guards against an unbounded queue, and against false not-run reports when all slots are busy. */
test('calls wait for a slot in a bounded queue and are rejected as not run beyond it', async (t) => {
  const cfg = ordersConfig('20s')
  cfg.services!['orders']!.queue = 1
  const harness = await new ProxyHarness().start(1, cfg)
  const target = harness.targets[0]!
  target.delayMs = () => 100
  harness.proxy.setEndpoints([endpointOf(target, 0, { slots: 1 })])
  const results = await Promise.all(Array.from({ length: 4 }, async (_, i) => await harness.call({ path: '/slow', id: `q${i}` })))
  const served = results.filter((result) => result.status === 200)
  const rejected = results.filter((result) => result.headers['x-lentilwheel-not-run'] === '1')
  t.is(served.length + rejected.length, 4)
  t.true(served.length >= 2)
  for (const [i, result] of results.entries()) if (result.status !== 200) t.is(harness.runCount(`q${i}`), 0)
  await harness.stop()
})
