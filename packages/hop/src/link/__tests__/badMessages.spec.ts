import test from 'ava'
import { connect } from 'node:net'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { NO_FLEET_EVENTS, NO_LAG, testQuarantine, unlimitedQueue } from '../../__tests__/fixtures.js'
import { Fleet } from '../../fleet/fleet.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../../store/epochTracker.js'
import { encode } from '../codec.js'
import type { SyncMessage } from '../messages.js'
import { FRAME_KINDS, type Frame } from '../frames.js'
import { FrameSocket } from '../nodeFrameSocket.js'
import { NodeHopServer } from '../nodeHopServer.js'

const timers = new VirtualTimers()
const record = { host: 'p', dataCentre: 'dc', address: '127.0.0.1', port: 1, incarnation: 1, sequence: 1, stopping: false }
const order = { id: 's/v2', service: 's', to: 'v2', durationMs: 1_000, state: 'ordered', revision: { epoch: 1, number: 7 } }
const syncMessage = { from: 'p', configVersion: 0, storeEpoch: 0, records: [], facts: [], orders: [], reports: [] }
const target = { id: 'i', startedAt: 1_000, service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0 }

const malformedFrames: Record<string, unknown> = {
  'not a frame': 'hello',
  'a frame without an exchange id': [FRAME_KINDS.sync],
  'a frame of an unknown kind': [99, 1, {}],
  'a quota message that is not a list': [FRAME_KINDS.quota, 1, { mode: 'direct', questions: [] }],
  'a quota message without a question': [FRAME_KINDS.quota, 1, [0]],
  'a quota message with too many questions': [FRAME_KINDS.quota, 1, [0, ...Array.from({ length: 257 }, () => ['w', 1, 10, 5])]],
  'a quota message of an unknown mode': [FRAME_KINDS.quota, 1, [3, ['w', 1, 10, 5]]],
  'a question about hosts that names no hosts': [FRAME_KINDS.reach, 1, [1, 2]],
  'a question about too many hosts': [FRAME_KINDS.reach, 1, Array.from({ length: 257 }, (_, i) => `h${i}`)],
  'a quota question for no credits': [FRAME_KINDS.quota, 1, [0, ['w', 0, 10, 5]]],
  'a quota question for too many credits': [FRAME_KINDS.quota, 1, [0, ['w', 1e9, 10, 5]]],
  'a quota question with an endless rate': [FRAME_KINDS.quota, 1, [0, ['w', 1, Infinity, 5]]],
  'a quota question with a long name': [FRAME_KINDS.quota, 1, [0, ['w'.repeat(257), 1, 10, 5]]],
  'a call of another protocol version': [FRAME_KINDS.call, 1, [1, 2, 3]],
  'a sync message with a field that is not a list': [FRAME_KINDS.sync, 1, { ...syncMessage, facts: 'x' }],
  'a sync message without a numeric configuration version': [FRAME_KINDS.sync, 1, { ...syncMessage, configVersion: 'new' }],
  'a sync message without a numeric epoch': [FRAME_KINDS.sync, 1, { ...syncMessage, storeEpoch: 'new' }]
}

const badRecords: Record<string, { records?: unknown[], orders?: unknown[], facts?: unknown[], reports?: unknown[] }> = {
  'a null record': { records: [null] },
  'a record without an address': { records: [{ ...record, address: undefined }] },
  'a record with a name for an address': { records: [{ ...record, address: 'host' }] },
  'a record with a port out of range': { records: [{ ...record, port: 70_000 }] },
  'a record with a number too large': { records: [{ ...record, incarnation: 1e300 }] },
  'a record that starts in the far future': { records: [{ ...record, incarnation: Number.MAX_SAFE_INTEGER }] },
  'a target without slots': { records: [{ ...record, target: { ...target, slots: 0 } }] },
  'a target in an unknown state': { records: [{ ...record, target: { ...target, state: 'odd' } }] },
  'a departed target without an id': { records: [{ ...record, leavings: [{ state: 'gone', startedAt: 1 }] }] },
  'more departed targets than a record has': { records: [{ ...record, leavings: Array.from({ length: 9 }, (_, i) => ({ id: `i${i}`, state: 'gone', startedAt: 1 })) }] },
  'an order whose revision has no epoch': { orders: [{ ...order, revision: 7 }] },
  'an order in an unknown state': { orders: [{ ...order, state: 'odd' }] },
  'an order that takes for ever': { orders: [{ ...order, durationMs: Infinity }] },
  'a fact of an unknown kind': { facts: [{ kind: 'odd', move: 's/v2', at: 1 }] },
  'a null fact': { facts: [null] },
  'a report whose rows are no list': { reports: [{ service: 's', daemon: 'p', incarnation: 1, sequence: 1, rows: 'x' }] },
  'a report without a number': { reports: [{ service: 's', daemon: 'p', incarnation: 1, rows: [] }] }
}

function createFleet (linkedHosts: string[], received: unknown[] = []): Fleet {
  return new Fleet({
    own: { ...record, host: 'own' },
    quarantine: testQuarantine(timers),
    timers,
    random: new SeededRandom(1),
    log: new NoopCallLog(),
    openLink: (host) => {
      linkedHosts.push(host)
      return { isUp: false, isRefused: false, endpoint: { address: '', port: 0 }, call: () => () => {}, sync: async (message) => message, fetchConfig: async () => undefined, askQuota: () => {}, askReach: () => {}, keepAlive: () => {}, reopen: () => {}, check: () => {}, close: () => {} }
    },
    ...NO_FLEET_EVENTS,
    onFact: (fact) => { received.push(fact) },
    onOrder: (given) => { received.push(given) },
    onReport: (report) => { received.push(report) },
    epochs: new EpochTracker(new NoopCallLog())
  })
}

for (const [name, frame] of Object.entries(malformedFrames)) {
  test(`guards against a malformed message from a peer affecting more than its own connection: ${name}`, async (t) => {
    const linkedHosts: string[] = []
    const fleet = createFleet(linkedHosts)
    const server = new NodeHopServer({
      address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), lag: NO_LAG, queue: unlimitedQueue(), timers, handler: {} as InboundHandler, log: new NoopCallLog(), onSync: (message) => fleet.onSync(message), onQuota: () => {}, isUp: () => true, deltaSince: () => undefined
    })
    await server.listen()
    t.teardown(() => server.close())
    const socket = connect(server.port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(encode(frame))
    await new Promise<void>((resolve) => { socket.once('close', () => resolve()) })
    t.deepEqual(fleet.records().map(({ host }) => host), ['own'])
    t.deepEqual(linkedHosts, [])
    const reply = await new Promise<Frame>((resolve) => {
      const pingSocket = new FrameSocket(connect(server.port, '127.0.0.1'), { timers, queue: unlimitedQueue(), onFrame: resolve, onClose: () => {} })
      t.teardown(() => pingSocket.end())
      pingSocket.send([FRAME_KINDS.ping, 0])
    })
    t.is(reply[0], FRAME_KINDS.pong)
  })
}

for (const [name, fields] of Object.entries(badRecords)) {
  test(`guards against an invalid record of a peer costing the others, being kept or passed on: ${name}`, async (t) => {
    const linkedHosts: string[] = []
    const received: unknown[] = []
    const decisions: string[] = []
    const fleet = createFleet(linkedHosts, received)
    const server = new NodeHopServer({
      address: '127.0.0.1', port: 0, identity: () => ({ host: 'p', incarnation: 1 }), lag: NO_LAG, queue: unlimitedQueue(), timers, handler: {} as InboundHandler, log: { call: () => {}, decision: (what) => { decisions.push(what) } }, onSync: (message) => fleet.onSync(message), onQuota: () => {}, isUp: () => true, deltaSince: () => undefined
    })
    await server.listen()
    t.teardown(() => server.close())
    const good = { ...record, host: 'good', extra: 'not passed on' }
    const message = { ...syncMessage, ...fields, records: [...fields.records ?? [], good], digest: 'other' }
    const reply = await new Promise<Frame>((resolve) => {
      const socket = new FrameSocket(connect(server.port, '127.0.0.1'), { timers, queue: unlimitedQueue(), onFrame: resolve, onClose: () => {} })
      t.teardown(() => socket.end())
      socket.send([FRAME_KINDS.sync, 1, message])
    })
    t.deepEqual((reply[2] as SyncMessage).records.map(({ host }) => host), ['own', 'good'])
    t.false('extra' in (reply[2] as SyncMessage).records[1]!)
    t.deepEqual(linkedHosts, ['good'])
    t.deepEqual(received, [])
    t.deepEqual(decisions, ['badRecord'])
  })
}
