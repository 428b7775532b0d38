import test from 'ava'
import { SeededRandom, type EndpointView } from '@lentilwheel/core'
import { checkConfig } from '@lentilwheel/config'
import { TargetState } from '../../balance/targetState.js'
import { ServiceState, type QueuedCall } from '../serviceState.js'

const cfg = checkConfig({ services: { a: { versions: ['v1', 'v2'], current: 'v1', queue: 3 } } }).services['a']!

function setUp () {
  const retired: string[] = []
  const state = new ServiceState<TargetState>(cfg, {
    daemon: 'd0',
    dataCentre: 'here',
    random: new SeededRandom(1),
    createTarget: (endpoint, now, isWarm) => new TargetState(endpoint, now, isWarm),
    retireTarget: (target) => retired.push(target.endpoint.id)
  })
  return { state, retired }
}

function endpoint (name: string, change: Partial<EndpointView> = {}): EndpointView {
  return {
    id: `d1/${name}`,
    service: 'a',
    version: 'v1',
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'here',
    slots: 1,
    connections: 10,
    state: 'ready',
    reachable: true,
    ...change
  }
}

function queuedCall (name: string, deadline: number, log: string[]): QueuedCall<TargetState> {
  return {
    deadline,
    queueIndex: -1,
    startAttempt: (target) => {
      target.inFlight++
      log.push(`${name} begins on ${target.endpoint.id}`)
    },
    readmit: () => { log.push(`${name} is admitted again`) }
  }
}

/** Guards against calls that wait for ever, start in the wrong order, or are queued beyond the limit or too late. */
test('queued calls start in order of their deadlines as slots become free', (t) => {
  const { state } = setUp()
  const log: string[] = []
  state.updateEndpoints([endpoint('x')], 1, 0)
  const target = state.chooseTarget('v1', [])!
  target.inFlight++
  t.is(state.chooseTarget('v1', []), undefined)
  const calls = [queuedCall('late', 900, log), queuedCall('early', 500, log), queuedCall('gone', 100, log)]
  for (const call of calls) t.true(state.enqueue('v1', call, 0))
  t.false(state.enqueue('v1', queuedCall('fourth', 900, log), 0), 'the queue is full')
  state.removeQueued('v1', calls[2]!)
  t.false(state.enqueue('v1', queuedCall('hopeless', 2, log), 0), 'its turn would come after its deadline')
  state.releaseSlot(target, 1)
  state.releaseSlot(target, 1)
  t.deepEqual(log, ['early begins on d1/x', 'late begins on d1/x'])
  t.is(state.queuedCount, 0)
})

/** Guards against calls stuck in the queue of a version whose targets left, and against calls to draining targets. */
test('draining targets get no calls, and calls queued for them are admitted again', (t) => {
  const { state, retired } = setUp()
  const log: string[] = []
  state.updateEndpoints([endpoint('x'), endpoint('y', { version: 'v2' })], 1, 0)
  state.chooseTarget('v2', [])!.inFlight++
  state.enqueue('v2', queuedCall('call', 900, log), 0)
  state.updateEndpoints([endpoint('x'), endpoint('y', { version: 'v2', state: 'draining' })], 1, 10)
  t.deepEqual(log, ['call is admitted again'])
  t.deepEqual(retired, ['d1/y'])
  t.false(state.hasTargets('v2'))
  t.is(state.chooseTarget('v1', [])!.endpoint.id, 'd1/x')
})

/** Guards against a target that sheds load and gets as many calls as before. */
test('the concurrency limit of a target that sheds load falls and recovers', (t) => {
  const { state } = setUp()
  state.updateEndpoints([endpoint('x', { slots: 10 })], 1, 0)
  const target = state.chooseTarget('v1', [])!
  target.recordShed()
  t.is(target.concurrencyLimit, 8)
  state.tick(250, 250)
  state.tick(500, 250)
  t.is(target.concurrencyLimit, 10)
})

/** Guards against an update that is skipped as unchanged although a target's state changed or a target was removed. */
test('an update changes the targets exactly when the endpoints differ', (t) => {
  const { state, retired } = setUp()
  const [a, b] = [endpoint('a'), endpoint('b')]
  state.updateEndpoints([a, b], 1, 0)
  const before = [...state.targets]
  state.updateEndpoints([a, b], 1, 1)
  t.deepEqual([...state.targets], before)
  state.updateEndpoints([a, { ...b, state: 'draining' }], 1, 2)
  t.deepEqual(retired, ['d1/b'])
  state.updateEndpoints([a, b], 1, 3)
  t.deepEqual([...state.targets].map((target) => target.endpoint.id).sort(), ['d1/a', 'd1/b'])
  state.updateEndpoints([], 1, 4)
  t.deepEqual([...state.targets], [])
})
