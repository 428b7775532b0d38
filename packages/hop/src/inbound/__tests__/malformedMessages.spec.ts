import test from 'ava'
import { createServer, type AddressInfo } from 'node:net'
import { VirtualTimers } from '@lentilwheel/core'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { classifyMessage } from '../classifyMessage.js'
import { NodeTargetClient } from '../nodeTargetClient.js'
import { createResponseLimits } from '../responseLimits.js'
import type { TargetResult } from '../targetResult.js'

const MAX_WAIT_MS = 500
const OWN_HEADERS = 'x-id: r1\r\nx-sig: s\r\n'

/**
 * Sends one request to a server that writes the given bytes and keeps the connection open, and describes the result; `nothing` if there is
 * none at once. The client's clock stands still, so that no request times out.
 */
async function resultOf (bytes: string, method = 'GET'): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(Buffer.from(bytes, 'latin1')))
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const client = new NodeTargetClient({
    host: '127.0.0.1', port, names, timers: new VirtualTimers(), limits: createResponseLimits(), onUnsolicitedData: () => {}, onLimitExceeded: () => {}, onConnect: () => {}
  })
  let abort = (): void => {}
  const result = await new Promise<TargetResult | undefined>((resolve) => {
    const timer = setTimeout(() => resolve(undefined), MAX_WAIT_MS)
    const request = { requestId: 'r1', method, bytes: Buffer.from(`${method} / HTTP/1.1\r\nx-id: r1\r\n\r\n`), timeoutMs: 60_000 }
    abort = client.send(request, true, (received) => {
      clearTimeout(timer)
      resolve(received)
    })
  })
  abort()
  client.reset()
  server.close()
  if (!result) return 'nothing'
  return result.kind === 'response' ? `${result.status} ${String(result.body)}` : `${result.kind} ${result.reason}`
}

/** A response with the given status line, or the given headers, or the given framing and body. */
const withStatusLine = (line: string): string => `${line}\r\n${OWN_HEADERS}Content-Length: 2\r\n\r\nok`
const withHeaders = (headers: string, body = 'ok', status = 200): string => `HTTP/1.1 ${status} OK\r\n${OWN_HEADERS}${headers}\r\n${body}`
const inChunks = (body: string): string => withHeaders('Transfer-Encoding: chunked\r\n', body)
const COMPLETE = withStatusLine('HTTP/1.1 200 OK')

const malformed: Record<string, string> = {
  'status 000': withStatusLine('HTTP/1.1 000 OK'),
  'status 099': withStatusLine('HTTP/1.1 099 OK'),
  'status 001': withStatusLine('HTTP/1.1 001 OK'),
  'status 0200': withStatusLine('HTTP/1.1 0200 OK'),
  'status 600': withStatusLine('HTTP/1.1 600 OK'),
  'status 999': withStatusLine('HTTP/1.1 999 OK'),
  'status 2000': withStatusLine('HTTP/1.1 2000 OK'),
  'status 2000 without a reason': withStatusLine('HTTP/1.1 2000'),
  'status 200OK': withStatusLine('HTTP/1.1 200OK'),
  'status 20': withStatusLine('HTTP/1.1 20 OK'),
  'status -01': withStatusLine('HTTP/1.1 -01 OK'),
  'status 2e2': withStatusLine('HTTP/1.1 2e2 OK'),
  'status 0xC8': withStatusLine('HTTP/1.1 0xC8 OK'),
  'no status': withStatusLine('HTTP/1.1 OK'),
  'a control character in the reason': withStatusLine('HTTP/1.1 200 O\x01K'),
  'version 0.9': withStatusLine('HTTP/0.9 200 OK'),
  'version 2.0': withStatusLine('HTTP/2.0 200 OK'),
  'version 9.9': withStatusLine('HTTP/9.9 200 OK'),
  'version 1.10': withStatusLine('HTTP/1.10 200 OK'),
  'another protocol': withStatusLine('ICY 200 OK'),
  'bytes that begin no status line and have no end': '\x16\x03\x01\x02\x00',
  'a text without an end': 'internal error',
  'an empty length': withHeaders('Content-Length:\r\n'),
  'a length with a plus sign': withHeaders('Content-Length: +2\r\n'),
  'a negative length': withHeaders('Content-Length: -2\r\n'),
  'a hexadecimal length': withHeaders('Content-Length: 0x2\r\n'),
  'a length with an exponent': withHeaders('Content-Length: 2e0\r\n'),
  'a length with a fraction': withHeaders('Content-Length: 2.0\r\n'),
  'a length in words': withHeaders('Content-Length: two\r\n'),
  'a length beyond exact numbers': withHeaders('Content-Length: 99999999999999999999\r\n'),
  'two lengths in one header': withHeaders('Content-Length: 2, 2\r\n'),
  'two different lengths': withHeaders('Content-Length: 2\r\nContent-Length: 3\r\n'),
  'two lengths that only read alike': withHeaders('Content-Length: 2\r\nContent-Length: 0x2\r\n'),
  'a length and chunks': withHeaders('Content-Length: 2\r\nTransfer-Encoding: chunked\r\n', '2\r\nok\r\n0\r\n\r\n'),
  'an unknown transfer coding': withHeaders('Transfer-Encoding: xchunked\r\n', '2\r\nok\r\n0\r\n\r\n'),
  'two transfer codings': withHeaders('Transfer-Encoding: gzip, chunked\r\n', '2\r\nok\r\n0\r\n\r\n'),
  'two headers for the transfer coding': withHeaders('Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n', '2\r\nok\r\n0\r\n\r\n'),
  'a chunk without a size': inChunks('\r\nok\r\n0\r\n\r\n'),
  'a chunk size in words': inChunks('two\r\nok\r\n0\r\n\r\n'),
  'a chunk size with a prefix': inChunks('0x2\r\nok\r\n0\r\n\r\n'),
  'a chunk size with a sign': inChunks('+2\r\nok\r\n0\r\n\r\n'),
  'a negative chunk size': inChunks('-2\r\nok\r\n0\r\n\r\n'),
  'a chunk size with more after it': inChunks('2 bytes\r\nok\r\n0\r\n\r\n'),
  'a chunk size beyond exact numbers': inChunks('fffffffffffffffff\r\nok'),
  'a last chunk of words': inChunks('2\r\nok\r\nend\r\n\r\n'),
  'a switch of protocols': `HTTP/1.1 101 Switching Protocols\r\n${OWN_HEADERS}Connection: upgrade\r\nUpgrade: x\r\n\r\n`,
  'an interim response with a length': `HTTP/1.1 102 Processing\r\nContent-Length: 2\r\n\r\nok${COMPLETE}`,
  'an interim response in chunks': `HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n${COMPLETE}`,
  'an interim response with an undeclared body': `HTTP/1.1 100 Continue\r\n\r\nok${COMPLETE}`
}
for (const [name, bytes] of Object.entries(malformed)) {
  test(`guards against a message that is not HTTP being judged by the part of it that can be read, or waited for: ${name}`, async (t) => {
    t.is(await resultOf(bytes), 'failed garbled')
  })
}

const wellFormed: Record<string, [bytes: string, result: string, method?: string]> = {
  'a plain response': [COMPLETE, '200 ok'],
  'version 1.0': [withStatusLine('HTTP/1.0 200 OK'), '200 ok'],
  'no reason': [withStatusLine('HTTP/1.1 200 '), '200 ok'],
  'no blank after the status': [withStatusLine('HTTP/1.1 200'), '200 ok'],
  'a status without a meaning of its own': [withStatusLine('HTTP/1.1 599 Odd'), '599 ok'],
  'the lowest status of a class': [withStatusLine('HTTP/1.1 500 Error'), '500 ok'],
  'an empty line before': [`\r\n${COMPLETE}`, '200 ok'],
  'interim responses': [`HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${COMPLETE}`, '200 ok'],
  'an interim response with a length of 0': [`HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n${COMPLETE}`, '200 ok'],
  'the same length twice': [withHeaders('Content-Length: 2\r\nContent-Length: 2\r\n'), '200 ok'],
  'chunks with extensions, blanks and capitals': [inChunks('A;x=y\r\n0123456789\r\n2 \r\nok\r\n0\r\n\r\n'), '200 0123456789ok'],
  'a transfer coding in capitals': [withHeaders('Transfer-Encoding: Chunked\r\n', '2\r\nok\r\n0\r\n\r\n'), '200 ok'],
  'no content, with the length that there would be': [withHeaders('Content-Length: 2\r\n', '', 204), '204 '],
  'not modified, with the length that there would be': [withHeaders('Content-Length: 2\r\n', '', 304), '304 '],
  'a HEAD request': [withHeaders('Content-Length: 2\r\n', ''), '200 ', 'HEAD']
}
for (const [name, [bytes, result, method]] of Object.entries(wellFormed)) {
  test(`guards against a message that is HTTP failing: ${name}`, async (t) => {
    t.is(await resultOf(bytes, method), result)
  })
}

const loads: [value: string, isRead: boolean][] = [
  ['2,0,6', true], ['2, 0, 6', true], ['0,0,1', true], [',,6', false], ['2,0,', false], ['2,0', false], ['0x2,0,6', false], ['2e0,0,6', false], ['+2,0,6', false], ['-2,0,6', false], ['2.0,0,6', false],
  ['2,0,99999999999999999999', false]
]
for (const [value, isRead] of loads) {
  test(`guards against a load being taken for the part of it that can be read: ${value}`, (t) => {
    const message = { status: 200, headers: ['x-id', 'r1', 'x-sig', 's', 'x-load', value], body: Buffer.alloc(0), unframed: false }
    const messageClass = classifyMessage(message, 'r1', true, names)
    t.is(messageClass.kind === 'result' && messageClass.result.kind === 'response' && messageClass.result.reported !== undefined, isRead)
  })
}

const limits: [headers: string[], limitPerS: number | undefined][] = [
  [[], Infinity], [['x-limit', '17.5'], 17.5], [['x-limit', '0x11'], undefined], [['x-limit', '-1'], undefined], [['x-limit', `1${'0'.repeat(400)}`], undefined], [['x-limit', '5', 'x-limit', '50'], undefined]
]
for (const [headers, limitPerS] of limits) {
  test(`guards against a limit being taken for the part of it that can be read: ${headers.join(' ').slice(0, 40)}`, (t) => {
    const message = { status: 200, headers: ['x-id', 'r1', 'x-sig', 's', ...headers], body: Buffer.alloc(0), unframed: false }
    const messageClass = classifyMessage(message, 'r1', true, names)
    const statement = messageClass.kind === 'result' && messageClass.result.kind === 'response' ? messageClass.result.statement : undefined
    t.deepEqual(statement, { isLeaving: false, ...limitPerS === undefined ? {} : { limitPerS } })
  })
}
