import test from 'ava'
import { connect } from 'node:net'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { testQuarantine } from '../../__tests__/fixtures.js'
import { Fleet } from '../../fleet/fleet.js'
import type { InboundHandler } from '../../inbound/inboundHandler.js'
import { NoopCallLog } from '../../observe/callLog.js'
import { EpochTracker } from '../../store/epochTracker.js'
import { encode } from '../codec.js'
import { FRAME_KINDS, FrameSocket, type Frame } from '../nodeFrameSocket.js'
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
  'a call of another protocol version': [FRAME_KINDS.call, 1, [1, 2, 3]],
  'a sync message with a field that is not a list': [FRAME_KINDS.sync, 1, { ...syncMessage, facts: 'x' }],
  'a sync message without a numeric configuration version': [FRAME_KINDS.sync, 1, { ...syncMessage, configVersion: 'new' }],
  'a null record': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [null] }],
  'a record without an address': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [{ ...record, address: undefined }] }],
  'a record with a port out of range': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [{ ...record, port: 70_000 }] }],
  'a target without slots': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [{ ...record, target: { ...target, slots: 0 } }] }],
  'a target in an unknown state': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [{ ...record, target: { ...target, state: 'odd' } }] }],
  'a sync message without a numeric epoch': [FRAME_KINDS.sync, 1, { ...syncMessage, storeEpoch: 'new' }],
  'an order whose revision has no epoch': [FRAME_KINDS.sync, 1, { ...syncMessage, orders: [{ ...order, revision: 7 }] }],
  'an order in an unknown state': [FRAME_KINDS.sync, 1, { ...syncMessage, orders: [{ ...order, state: 'odd' }] }],
  'a departed target without an id': [FRAME_KINDS.sync, 1, { ...syncMessage, records: [{ ...record, leavings: [{ state: 'gone', startedAt: 1 }] }] }]
}

function createFleet (linkedHosts: string[]): Fleet {
  return new Fleet({
    own: { ...record, host: 'own' },
    quarantine: testQuarantine(timers),
    timers,
    random: new SeededRandom(1),
    log: new NoopCallLog(),
    openLink: (host) => {
      linkedHosts.push(host)
      return { isUp: false, endpoint: { address: '', port: 0 }, call: () => () => {}, sync: async (message) => message, fetchConfig: async () => undefined, keepAlive: () => {}, close: () => {} }
    },
    onChange: () => {},
    onNewerPeerVersion: () => {},
    onDepartures: () => {},
    onFact: () => {},
    orders: () => [],
    onOrder: () => {},
    onReport: () => {},
    epochs: new EpochTracker(new NoopCallLog())
  })
}

for (const [name, frame] of Object.entries(malformedFrames)) {
  test(`guards against a malformed message from a peer affecting more than its own connection: ${name}`, async (t) => {
    const linkedHosts: string[] = []
    const fleet = createFleet(linkedHosts)
    const server = new NodeHopServer({
      address: '127.0.0.1', port: 0, timers, handler: {} as InboundHandler, log: new NoopCallLog(), onSync: (message) => fleet.onSync(message), deltaSince: () => undefined
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
      const pingSocket = new FrameSocket(connect(server.port, '127.0.0.1'), { timers, onFrame: resolve, onClose: () => {} })
      t.teardown(() => pingSocket.end())
      pingSocket.send([FRAME_KINDS.ping, 0])
    })
    t.is(reply[0], FRAME_KINDS.pong)
  })
}
