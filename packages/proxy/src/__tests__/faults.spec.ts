import test from 'ava'
import fc from 'fast-check'
import { FAULTS, FakeTarget, type Fault } from '@lentilwheel/testkit'
import { findViolation, isFirstAttempt, ordersConfig, ProxyHarness, snapshotOf, endpointOf, type CallResult } from './proxyHarness.js'

/** Faults that end by the deadline of the call, which is therefore short. */
const ENDED_BY_DEADLINE: ReadonlySet<Fault> = new Set(['hang', 'answerLate'])
const LATE_MS = 5_000

async function harnessWithFault (fault: Fault): Promise<ProxyHarness> {
  const cfg = ordersConfig()
  if (ENDED_BY_DEADLINE.has(fault)) cfg.routes!['short'] = { service: 'orders', path: '/x', timeout: '100ms' }
  const harness = await new ProxyHarness().start(2, cfg)
  for (const target of harness.targets) {
    target.lateMs = LATE_MS
    target.faultOf = (req) => isFirstAttempt(req) && req.url === '/x' ? fault : undefined
  }
  return harness
}

function describeResult (result: CallResult, runs: number | string): string {
  const seen = result.isBroken ? 'broken' : String(result.status)
  return `${seen}, runs ${runs}${result.headers['x-lentilwheel-not-run'] === '1' ? ', said not run' : ''}`
}

/**
 * Guards against double runs, false not-run reports, incomplete responses, responses that belong to another call and
 * missing retries, for each fault.
 */
test('the outcome of each fault of a target', async (t) => {
  const rows: string[] = []
  for (const fault of FAULTS) {
    for (const method of ['PUT', 'POST']) {
      const harness = await harnessWithFault(fault)
      const id = `${fault}-${method}`
      const result = await harness.call({ method, id, body: 'an order' })
      t.is(findViolation(harness, id, method === 'PUT', result), undefined)
      const next = await harness.call({ path: '/next', id: 'next' })
      t.true(next.body.includes('"id":"next"'), `the call after ${id} gets its own response`)
      // Whether a run began before the deadline depends on the speed of the machine.
      const runs = ENDED_BY_DEADLINE.has(fault) ? 'any' : harness.runCount(id)
      rows.push(`${fault} ${method}: ${describeResult(result, runs)}`)
      await harness.stop()
    }
  }
  t.snapshot(rows)
})

/** Guards against a double run or a false not-run report when a target closes a reused connection during a request. */
test('a target closes a reused connection when a non-idempotent request arrives', async (t) => {
  const harness = await new ProxyHarness().start(1)
  harness.targets[0]!.faultOf = () => 'closeReused'
  t.is((await harness.call({ id: 'a' })).status, 200)
  t.is((await harness.call({ id: 'b' })).status, 200)
  const order = await harness.call({ method: 'POST', id: 'c', body: 'x' })
  t.is(findViolation(harness, 'c', false, order), undefined)
  await harness.stop()
})

/** Guards against ejecting all targets of a failing service, and against false reports when no target is left. */
test('all targets of a service fail, then it has none', async (t) => {
  const harness = await new ProxyHarness().start(3)
  for (const target of harness.targets) target.faultOf = () => 'fail'
  for (let i = 0; i < 20; i++) t.is((await harness.call({ id: `f${i}` })).status, 500)
  for (const target of harness.targets) target.faultOf = () => undefined
  t.is((await harness.call({ id: 'again' })).status, 200)
  const gone = new FakeTarget({ service: 'orders', version: 'v1' })
  await gone.start()
  const endpoint = endpointOf(gone, 9)
  await gone.kill()
  harness.proxy.setEndpoints([endpoint])
  const dead = await harness.call({ method: 'POST', id: 'dead', body: 'x' })
  t.is(dead.status, 502)
  t.is(dead.headers['x-lentilwheel-not-run'], '1')
  harness.proxy.setEndpoints([])
  const none = await harness.call({ method: 'POST', id: 'none', body: 'x' })
  t.deepEqual([none.status, none.headers['x-lentilwheel-refusal']], [503, 'no-target'])
  await harness.stop()
})

interface Step { fault: Fault | undefined, retryFault: Fault | undefined, method: 'PUT' | 'POST', isAborted: boolean, hasConfigChange: boolean }

const steps = fc.array(fc.record<Step>({
  fault: fc.option(fc.constantFrom(...FAULTS), { nil: undefined }),
  retryFault: fc.option(fc.constantFrom(...FAULTS), { nil: undefined }),
  method: fc.constantFrom('PUT', 'POST'),
  isAborted: fc.boolean(),
  hasConfigChange: fc.boolean()
}), { minLength: 4, maxLength: 14 })

/** Guards against interleavings of faults, aborts, configuration changes and drains that break a guarantee of the proxy. */
test('no interleaving of faults violates the guarantees of the proxy', async (t) => {
  await fc.assert(fc.asyncProperty(steps, fc.boolean(), async (plan, isDrained) => {
    const harness = await new ProxyHarness().start(3, ordersConfig('150ms'))
    const faults = new Map(plan.map((step, i) => [`s${i}`, step]))
    for (const target of harness.targets) {
      target.lateMs = 300
      target.faultOf = (req) => {
        const step = faults.get(String(req.headers['x-request-id']))
        return isFirstAttempt(req) ? step?.fault : step?.retryFault
      }
    }
    const calls = plan.map(async (step, i) => {
      const onRequest = (abort: () => void): void => { if (step.isAborted && i % 3 === 0) setImmediate(abort) }
      if (step.hasConfigChange) harness.proxy.setSnapshot(snapshotOf(ordersConfig('150ms'), i + 2))
      return await harness.call({ method: step.method, id: `s${i}`, body: 'an order', onRequest })
    })
    const drained = isDrained ? harness.proxy.drain({ lingerMs: 0 }) : undefined
    const results = await Promise.all(calls)
    await drained
    await harness.stop()
    const violations = results.map((result, i) => findViolation(harness, `s${i}`, plan[i]!.method === 'PUT', result))
    t.deepEqual(violations.filter((text) => text !== undefined), [])
  }), { seed: 20261204, numRuns: 40, endOnFailure: true })
})
