import test from 'ava'
import { connect } from 'node:net'
import { SeededRandom, VirtualTimers } from '@lentilwheel/core'
import { Fleet } from '../../fleet/fleet.js'
import type { InboundDesk } from '../../inbound/inboundDesk.js'
import { NoCallLog } from '../../observe/callLog.js'
import { encode } from '../codec.js'
import { FRAMES, FrameSocket, type Frame } from '../nodeFrameSocket.js'
import { NodeHopServer } from '../nodeHopServer.js'

const timers = new VirtualTimers()
const record = { host: 'p', dataCentre: 'dc', address: '127.0.0.1', port: 1, incarnation: 1, sequence: 1, stopping: false }
const exchange = { from: 'p', configVersion: 0, records: [], facts: [], orders: [], reports: [] }
const target = { id: 'i', service: 's', version: 'v1', slots: 2, state: 'ready', coldMs: 0 }

const bad: Record<string, unknown> = {
  'no frame': 'hello',
  'a frame without a number': [FRAMES.sync],
  'an unknown kind': [99, 1, {}],
  'a call of another protocol': [FRAMES.call, 1, [1, 2, 3]],
  'an exchange without lists': [FRAMES.sync, 1, { ...exchange, facts: 'x' }],
  'an exchange without a version': [FRAMES.sync, 1, { ...exchange, configVersion: 'new' }],
  'no record': [FRAMES.sync, 1, { ...exchange, records: [null] }],
  'a record without an address': [FRAMES.sync, 1, { ...exchange, records: [{ ...record, address: undefined }] }],
  'a record with a port out of range': [FRAMES.sync, 1, { ...exchange, records: [{ ...record, port: 70_000 }] }],
  'a target without slots': [FRAMES.sync, 1, { ...exchange, records: [{ ...record, target: { ...target, slots: 0 } }] }],
  'a target in no known state': [FRAMES.sync, 1, { ...exchange, records: [{ ...record, target: { ...target, state: 'odd' } }] }],
  'a leaving without an id': [FRAMES.sync, 1, { ...exchange, records: [{ ...record, leavings: [{ state: 'gone', startedAt: 1 }] }] }]
}

function fleetOf (opened: string[]): Fleet {
  return new Fleet({
    own: { ...record, host: 'own' },
    timers,
    random: new SeededRandom(1),
    log: new NoCallLog(),
    openLink: (host) => {
      opened.push(host)
      return { isUp: false, target: { address: '', port: 0 }, call: () => () => {}, sync: async (message) => message, config: async () => undefined, upkeep: () => {}, close: () => {} }
    },
    onChange: () => {},
    onPeerVersion: () => {},
    onLeavings: () => {},
    onFact: () => {},
    orders: () => [],
    onOrder: () => {},
    onReport: () => {}
  })
}

for (const [name, frame] of Object.entries(bad)) {
  test(`guards against a malformed message of a peer harming more than its connection: ${name}`, async (t) => {
    const opened: string[] = []
    const fleet = fleetOf(opened)
    const server = new NodeHopServer({
      address: '127.0.0.1', port: 0, timers, desk: {} as InboundDesk, log: new NoCallLog(), onSync: (message) => fleet.onSync(message), onConfigAsked: () => undefined
    })
    await server.listen()
    t.teardown(() => server.close())
    const socket = connect(server.port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(encode(frame))
    await new Promise<void>((resolve) => { socket.once('close', () => resolve()) })
    t.deepEqual(fleet.records().map(({ host }) => host), ['own'])
    t.deepEqual(opened, [])
    const answer = await new Promise<Frame>((resolve) => {
      const good = new FrameSocket(connect(server.port, '127.0.0.1'), { timers, onFrame: resolve, onClose: () => {} })
      t.teardown(() => good.end())
      good.send([FRAMES.ping, 0])
    })
    t.is(answer[0], FRAMES.pong)
  })
}
