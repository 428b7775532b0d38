import test from 'ava'
import { TEST_HEADERS as names } from '../../__tests__/fixtures.js'
import { Admission } from '../admission.js'
import { classifyMessage } from '../classifyMessage.js'
import { TargetSlowdown } from '../targetSlowdown.js'
import { TestSetup } from './inboundSetup.js'

function slowdownIn (load: string): number | string {
  const headers = [names.requestId, 'r', names.signature, 's', names.load, load]
  const message = classifyMessage({ status: 200, headers, body: Buffer.alloc(0), unframed: false }, 'r', true, names)
  if (message.kind !== 'result' || message.result.kind !== 'response') return 'no response'
  const { reported } = message.result
  return reported ? reported.slowdown ?? 'none' : 'no load'
}

test('guards against an odd slowdown being believed, or costing the response or the load beside it', (t) => {
  const loads = ['1,2,6', '1,2,6,100', '1, 2, 6, 250', '1,2,6,87.5', '1,2,6,250,7', '1,2,6,', '1,2,6,0', '1,2,6,-100', '1,2,6,1e3', '1,2,6,0x64', '1,2,6,99999999', '1,2,6,NaN', '1,x,6,100', '']
  t.snapshot(Object.fromEntries(loads.map((load) => [load, slowdownIn(load)])))
})

test('guards against an old slowdown being taken for the present one', (t) => {
  const slowdown = new TargetSlowdown()
  t.false(slowdown.isKnown)
  t.is(slowdown.at(0), 1)
  for (let now = 0; now <= 10_000; now += 100) slowdown.record(1, now)
  slowdown.record(2.5, 10_100)
  t.is(slowdown.at(10_100), 2.5)
  t.true(slowdown.at(10_500) < 1.8)
  t.true(Math.abs(slowdown.at(20_000) - 1) < 0.01)
})

test('guards against a request being queued at a target that is slowed down for too long to serve it in time', (t) => {
  const outcomes = [1, 2.5].map((factor) => {
    const slowdown = new TargetSlowdown()
    const admission = new Admission(undefined, slowdown)
    admission.reset(6)
    slowdown.record(factor, 0)
    const request = (key: string) => ({ key, nested: false, priority: 1, targetLatencyMs: 600, deadlineAt: 2_000, arrivedAt: 0, deliveryMs: 0 })
    for (let i = 0; i < 6; i++) admission.admit(request(`r${i}`), true, 0)
    return admission.admit(request('last'), true, 0)
  })
  t.deepEqual(outcomes, ['queued', 'busy'])
})

test('guards against a temporary slowdown being taken for the permanent speed of a target', (t) => {
  const setup = new TestSetup()
  const run = (id: string, ms: number, slowdown: number): void => {
    setup.offer(id)
    setup.timers.advance(ms)
    setup.respond(id, {}, slowdown)
  }
  for (let i = 0; i < 30; i++) run(`usual${i}`, 120, 1)
  const usual = setup.handler.load()!.pace
  for (let i = 0; i < 30; i++) run(`slow${i}`, 300, 2.5)
  t.true(Math.abs(setup.handler.load()!.pace - usual) < 0.05, `${setup.handler.load()!.pace} instead of ${usual}`)
  t.true(setup.handler.load()!.slowdown! > 2.4)
})

test('guards against a load with a slowdown from a target that reports none', (t) => {
  const setup = new TestSetup()
  setup.offer('a')
  setup.respond('a')
  t.false('slowdown' in setup.handler.load()!)
  t.is(setup.handler.slowdown, undefined)
})
