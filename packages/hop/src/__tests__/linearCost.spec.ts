import test from 'ava'
import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { setImmediate } from 'node:timers/promises'
import { HTTPParser } from 'http-parser-js'
import { VirtualTimers } from '@lentilwheel/core'
import { parseHeaderLine } from '../inbound/headerLines.js'
import { checkLines } from '../inbound/responseSyntax.js'
import { encode } from '../link/codec.js'
import { FRAME_KINDS } from '../link/frames.js'
import { FrameSocket } from '../link/nodeFrameSocket.js'
import { forwardedResponseHeaders, parseRequestHead } from '../outbound/requestHead.js'
import { RouteTable } from '../routing/routeTable.js'
import { TEST_HEADERS, TEST_ROUTE, unlimitedQueue } from './fixtures.js'

// Guards against bytes of a target, a caller or a peer whose reading costs more than in proportion to their number. Costs are counted, not timed: as
// characters or entries that a method of the language has gone through while it ran. Expressions are checked by the linter, see expressions.spec.ts.

type Method = (this: unknown, ...args: unknown[]) => unknown

/** Sum of the sizes of all calls of a method while `run` runs. */
function sizeOfCalls (owner: object, name: string, sizeOf: (receiver: unknown, args: unknown[], result: unknown) => number, run: () => void): number {
  const methods = owner as Record<string, Method>
  const original = methods[name]!
  let size = 0
  methods[name] = function (...args) {
    const result = original.apply(this, args)
    size += sizeOf(this, args, result)
    return result
  }
  try {
    run()
  } finally {
    methods[name] = original
  }
  return size
}

const BYTES = 16_000
const CHUNK_BYTES = 64 * 1024
/** Far more than any daemon sends at once. */
const MAX_TAKEN_BYTES = 1024 * 1024
/** Entries or characters that may be gone through for each byte. */
const MAX_PER_BYTE = 4
const lengthOf = (value: unknown): number => (value as { length: number }).length

/** Cost of reading a number of bytes. */
const costs: Record<string, (bytes: number) => number> = {
  'blanks inside a header line of a target': (bytes) => sizeOfCalls(String.prototype, 'charCodeAt', () => 1, () => parseHeaderLine(`x-a:${' '.repeat(bytes / 4)}a${' '.repeat(bytes / 2)}b${' '.repeat(bytes / 4)}`, [])),
  'a status line of a target in single bytes': (bytes) => sizeOfCalls(String.prototype, 'startsWith', lengthOf, () => {
    const parser = new HTTPParser(HTTPParser.RESPONSE)
    checkLines(parser)
    for (const byte of Buffer.from(`HTTP/1.1 200 ${'a'.repeat(bytes)}`)) parser.execute(Buffer.of(byte))
  }),
  'names in a connection header of a target': (bytes) => sizeOfCalls(Array.prototype, 'includes', lengthOf, () => forwardedResponseHeaders(manyHeaders(bytes))),
  'names in a connection header of a caller': (bytes) => sizeOfCalls(Array.prototype, 'includes', lengthOf, () => parseRequestHead('/', ['host', 'h', 'x-id', 'r', ...manyHeaders(bytes)], TEST_HEADERS)),
  'slashes in the path of a caller': (bytes) => sizeOfCalls(String.prototype, 'slice', (_, __, result) => lengthOf(result), () => routes().match('h', '/'.repeat(bytes))),
  'a frame of a peer in single bytes': (bytes) => copiedBytes(() => {
    const socket = new EventEmitter()
    const frames: unknown[] = []
    const frameSocket = new FrameSocket(socket as Socket, { timers: new VirtualTimers(), queue: unlimitedQueue(), onFrame: (frame) => { frames.push(frame) }, onClose: () => {} })
    for (const byte of encode([FRAME_KINDS.reply, 1, 'x'.repeat(bytes)])) socket.emit('data', Buffer.of(byte))
    if (frames.length !== 1 || frameSocket.lastReceivedAt < 0) throw new Error('the frame was not read')
  })
}

function copiedBytes (run: () => void): number {
  let other = 0
  const set = sizeOfCalls(Object.getPrototypeOf(Uint8Array.prototype) as object, 'set', (_, [source]) => lengthOf(source), () => {
    other = sizeOfCalls(Buffer, 'concat', (_, __, result) => lengthOf(result), () => {
      other = sizeOfCalls(Buffer.prototype, 'copy', (_, __, result) => result as number, run)
    }) + other
  })
  return set + other
}

function manyHeaders (bytes: number): string[] {
  return ['connection', 'x,'.repeat(bytes / 4), ...Array.from({ length: bytes / 16 }, (_, i) => [`h${i}`, 'v']).flat()]
}

function routes (): RouteTable {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  return new RouteTable({ version: 1, routes: ['/a/', '/a/b/', '/c/d/'].map((pathPrefix, i) => ({ ...TEST_ROUTE, name: `r${i}`, pathPrefix })), services: new Map(), workspaces: new Map(), limits })
}

for (const [name, costOf] of Object.entries(costs)) {
  test.serial(`guards against a process that stands still over a few bytes: ${name}`, (t) => {
    for (const bytes of [BYTES, 2 * BYTES]) t.true(costOf(bytes) <= MAX_PER_BYTE * bytes, `${costOf(bytes)} for ${bytes} bytes`)
  })
}

test('guards against a header line being read otherwise than HTTP defines it', (t) => {
  const read = (line: string): string[] => {
    const headers: string[] = []
    parseHeaderLine(line, headers)
    return headers
  }
  t.deepEqual(['a:b', 'a: b', 'a:\t b c \t', 'a:', 'a: \t', 'a:b:c', 'a:\x85b\xa0'].map(read), [['a', 'b'], ['a', 'b'], ['a', 'b c'], ['a', ''], ['a', ''], ['a', 'b:c'], ['a', '\x85b\xa0']])
  for (const line of ['', ':', ':b', 'a', 'a b: c', 'a : b', ' a: b', 'a: b\rc', 'a\r: b', 'HTTP/1.1 200 OK']) t.throws(() => read(line), { any: true }, line)
})

test('guards against a frame of a peer being taken in without end', async (t) => {
  const socket = Object.assign(new EventEmitter(), { destroyed: false, destroy: () => { socket.destroyed = true } })
  const frameSocket = new FrameSocket(socket as unknown as Socket, { timers: new VirtualTimers(), queue: unlimitedQueue(), onFrame: () => t.fail('a frame'), onClose: () => {} })
  // Binary of 64 MB within an array of three.
  socket.emit('data', Buffer.from([0x93, FRAME_KINDS.part, 0x01, 0xc6, 0x04, 0x00, 0x00, 0x00]))
  let taken = 0
  while (!socket.destroyed && taken < MAX_TAKEN_BYTES) {
    socket.emit('data', Buffer.alloc(CHUNK_BYTES))
    taken += CHUNK_BYTES
    await setImmediate()
  }
  t.true(taken < MAX_TAKEN_BYTES)
  t.true(frameSocket.lastReceivedAt >= 0)
})
