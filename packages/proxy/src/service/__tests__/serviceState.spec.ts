import test from 'ava'
import { SeededRandom, type EndpointView } from '@lentilwheel/core'
import { checkConfig } from '@lentilwheel/config'
import { TargetState } from '../../balance/targetState.js'
import { ServiceState, type WaitingCall } from '../serviceState.js'

const cfg = checkConfig({ services: { a: { versions: ['v1', 'v2'], current: 'v1', queue: 3 } } }).services['a']!

function setUp () {
  const retired: string[] = []
  const state = new ServiceState<TargetState>(cfg, {
    daemon: 'd0',
    dataCentre: 'here',
    random: new SeededRandom(1),
    makeTarget: (view, now, warm) => new TargetState(view, now, warm),
    retireTarget: (target) => retired.push(target.view.id)
  })
  return { state, retired }
}

function view (name: string, change: Partial<EndpointView> = {}): EndpointView {
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

function waiting (name: string, deadline: number, log: string[]): WaitingCall<TargetState> {
  return {
    deadline,
    queueIndex: -1,
    begin: (target) => {
      target.inFlight++
      log.push(`${name} begins on ${target.view.id}`)
    },
    readmit: () => { log.push(`${name} is admitted again`) }
  }
}

/** Guards against calls that wait for ever, in the wrong order, beyond the bound or past their deadline. */
test('waiting calls begin by deadline as slots come free', (t) => {
  const { state } = setUp()
  const log: string[] = []
  state.update([view('x')], 1, 0)
  const target = state.choose('v1', [])!
  target.inFlight++
  t.is(state.choose('v1', []), undefined)
  const calls = [waiting('late', 900, log), waiting('early', 500, log), waiting('gone', 100, log)]
  for (const call of calls) t.true(state.enqueue('v1', call, 0))
  t.false(state.enqueue('v1', waiting('fourth', 900, log), 0), 'the queue is full')
  state.abandon('v1', calls[2]!)
  t.false(state.enqueue('v1', waiting('hopeless', 2, log), 0), 'its turn would come after its deadline')
  state.release(target, 1)
  state.release(target, 1)
  t.deepEqual(log, ['early begins on d1/x', 'late begins on d1/x'])
  t.is(state.waiting, 0)
})

/** Guards against calls stuck in the queue of a version whose targets left, and work sent to leaving targets. */
test('targets that drain get nothing, and calls that wait for them are admitted again', (t) => {
  const { state, retired } = setUp()
  const log: string[] = []
  state.update([view('x'), view('y', { version: 'v2' })], 1, 0)
  state.choose('v2', [])!.inFlight++
  state.enqueue('v2', waiting('call', 900, log), 0)
  state.update([view('x'), view('y', { version: 'v2', state: 'draining' })], 1, 10)
  t.deepEqual(log, ['call is admitted again'])
  t.deepEqual(retired, ['d1/y'])
  t.false(state.hasTargets('v2'))
  t.is(state.choose('v1', [])!.view.id, 'd1/x')
})

/** Guards against a target that sheds load and is sent as much as before. */
test('a target that sheds gets fewer calls at a time and recovers', (t) => {
  const { state } = setUp()
  state.update([view('x', { slots: 10 })], 1, 0)
  const target = state.choose('v1', [])!
  target.observeShed()
  t.is(target.limit, 8)
  state.tick(250, 250)
  state.tick(500, 250)
  t.is(target.limit, 10)
})

/** Guards against an update that is taken for unchanged: another state, another order of callers, a target that left. */
test('an update changes targets exactly when the endpoints or the callers differ', (t) => {
  const { state, retired } = setUp()
  const [a, b] = [view('a'), view('b')]
  state.update([a, b], 1, 0)
  const before = [...state.targets]
  state.update([a, b], 1, 1)
  t.deepEqual([...state.targets], before)
  state.update([a, { ...b, state: 'draining' }], 1, 2)
  t.deepEqual(retired, ['d1/b'])
  state.update([a, b], 1, 3)
  t.deepEqual([...state.targets].map((target) => target.view.id).sort(), ['d1/a', 'd1/b'])
  state.update([], 1, 4)
  t.deepEqual([...state.targets], [])
})
