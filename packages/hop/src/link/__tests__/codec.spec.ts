import test from 'ava'
import { errorCode } from '@lentilwheel/core'
import { unpack } from 'msgpackr'
import { encode, packCall, packReply, unpackCall, unpackReply, validateFields } from '../codec.js'
import type { CallMessage, HopReply } from '../messages.js'

const call: CallMessage = {
  key: 'a/1/1', requestId: 'r', incarnation: 1_787_199_927_259, mode: 'queue', service: 's', targetId: 'i', route: 'r', method: 'POST', url: '/x?y=\u00e9', headers: ['Host', 'h'], body: Buffer.from([0, 255]), deadlineMs: 12.5, targetLatencyMs: 600, priority: 1, idempotent: false, nested: true, suspect: false, repeat: false, heardLimitPerS: 17.5, workspace: 'hotel'
}

test('guards against a call being altered by encoding and decoding', (t) => {
  t.deepEqual(unpackCall(unpack(encode(packCall(call)))), call)
})

const NOW = 1_787_199_927_259
const load = { targetId: 'i', running: 1, queued: 2, slots: 6, pace: 0.25, failing: 0.5 }
const replies: HopReply[] = [
  { kind: 'response', status: 200, headers: ['a', 'b'], body: Buffer.from('x'), unframed: false, load },
  { kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false, departure: { id: 'i', startedAt: 1, state: 'draining' }, load: { ...load, limitPerS: Infinity } },
  { kind: 'notRun', reason: 'limited', load: { ...load, limitPerS: 0.5, limitedMs: 200 } },
  { kind: 'notRun', reason: 'busy', load: { ...load, slowdown: 2.5 } },
  { kind: 'failed', reason: 'reset' }
]
for (const [i, reply] of replies.entries()) {
  test(`guards against a reply being altered by encoding and decoding: ${reply.kind} (${i})`, (t) => {
    t.deepEqual(unpackReply(unpack(encode(packReply(reply))), NOW), reply)
  })
}

const invalidValues: [name: string, value: unknown][] = [['undefined', undefined], ['null', null], ['another protocol version', [2, 'x']], ['a number', 1], ['too few fields', [1, 'a']]]
for (const [name, value] of invalidValues) {
  test(`guards against an invalid value being accepted as a message: ${name}`, (t) => {
    for (const decode of [unpackCall, (given: unknown) => unpackReply(given, NOW), (given: unknown) => validateFields(given, ['from' as never])]) {
      t.is(errorCode(t.throws(() => decode(value), { any: true })), 'bad-message')
    }
  })
}

test('guards against a malformed departure being kept from a reply, or costing the response beside it', (t) => {
  const reply = { kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false, departure: { id: 'i', state: 'draining' } } as unknown as HopReply
  t.deepEqual(unpackReply(packReply(reply), NOW), { kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false })
})

const oddResponses: Record<string, object> = { 'no headers': { headers: null }, 'a status that is no number': { status: 'ok' }, 'a body that is a text': { body: 'x' } }
for (const [name, odd] of Object.entries(oddResponses)) {
  test(`guards against a response of a peer reaching a caller with a field of another type: ${name}`, (t) => {
    const reply = { kind: 'response', status: 200, headers: [], body: Buffer.alloc(0), unframed: false, ...odd } as unknown as HopReply
    t.is(errorCode(t.throws(() => unpackReply(packReply(reply), NOW), { any: true })), 'bad-message')
  })
}
