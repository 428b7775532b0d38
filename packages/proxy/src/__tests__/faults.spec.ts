import test from 'ava'
import fc from 'fast-check'
import { FAULTS, TargetServer, type Fault } from '@lentilwheel/testkit'
import { brokenProperty, isFirstAttempt, ordersConfig, Rig, snapshotOf, viewOf, type CallResult } from './rig.js'

/** These end by the deadline of the call, which is therefore short. */
const ENDED_BY_DEADLINE: ReadonlySet<Fault> = new Set(['hang', 'answerLate'])
const LATE_MS = 5_000

async function rigFor (fault: Fault): Promise<Rig> {
  const cfg = ordersConfig()
  if (ENDED_BY_DEADLINE.has(fault)) cfg.routes!['short'] = { service: 'orders', path: '/x', timeout: '100ms' }
  const rig = await new Rig().start(2, cfg)
  for (const target of rig.targets) {
    target.lateMs = LATE_MS
    target.faultOf = (req) => isFirstAttempt(req) && req.url === '/x' ? fault : undefined
  }
  return rig
}

function describe (result: CallResult, runs: number | string): string {
  const seen = result.broken ? 'broken' : String(result.status)
  return `${seen}, runs ${runs}${result.headers['x-lentilwheel-not-run'] === '1' ? ', said not run' : ''}`
}

/** Guards against double runs, false refusals, cut or foreign answers and missing retries, per fault of a target. */
test('each fault of a target has its outcome', async (t) => {
  const rows: string[] = []
  for (const fault of FAULTS) {
    for (const method of ['PUT', 'POST']) {
      const rig = await rigFor(fault)
      const id = `${fault}-${method}`
      const result = await rig.call({ method, id, body: 'an order' })
      t.is(brokenProperty(rig, id, method === 'PUT', result), undefined)
      const next = await rig.call({ path: '/next', id: 'next' })
      t.true(next.body.includes('"id":"next"'), `the call after ${id} gets its own answer`)
      // Whether a run began before the deadline depends on the speed of the machine.
      const runs = ENDED_BY_DEADLINE.has(fault) ? 'any' : rig.runs(id)
      rows.push(`${fault} ${method}: ${describe(result, runs)}`)
      await rig.stop()
    }
  }
  t.snapshot(rows)
})

/** Guards against a non-idempotent request on a connection that the target has just closed. */
test('a target that closes a used connection under a request', async (t) => {
  const rig = await new Rig().start(1)
  rig.targets[0]!.faultOf = () => 'closeReused'
  t.is((await rig.call({ id: 'a' })).status, 200)
  t.is((await rig.call({ id: 'b' })).status, 200)
  const order = await rig.call({ method: 'POST', id: 'c', body: 'x' })
  t.is(brokenProperty(rig, 'c', false, order), undefined)
  await rig.stop()
})

/** Guards against emptying a service by its own symptoms, and against false refusals when nothing is left. */
test('every target of a service fails, then none is there', async (t) => {
  const rig = await new Rig().start(3)
  for (const target of rig.targets) target.faultOf = () => 'fail'
  for (let i = 0; i < 20; i++) t.is((await rig.call({ id: `f${i}` })).status, 500)
  for (const target of rig.targets) target.faultOf = () => undefined
  t.is((await rig.call({ id: 'again' })).status, 200)
  const gone = new TargetServer({ service: 'orders', version: 'v1' })
  await gone.start()
  const view = viewOf(gone, 9)
  await gone.kill()
  rig.proxy.setEndpoints([view])
  const dead = await rig.call({ method: 'POST', id: 'dead', body: 'x' })
  t.is(dead.status, 502)
  t.is(dead.headers['x-lentilwheel-not-run'], '1')
  rig.proxy.setEndpoints([])
  const none = await rig.call({ method: 'POST', id: 'none', body: 'x' })
  t.deepEqual([none.status, none.headers['x-lentilwheel-refusal']], [503, 'no-target'])
  await rig.stop()
})

interface Step { fault: Fault | undefined, retryFault: Fault | undefined, method: 'PUT' | 'POST', abort: boolean, swap: boolean }

const steps = fc.array(fc.record<Step>({
  fault: fc.option(fc.constantFrom(...FAULTS), { nil: undefined }),
  retryFault: fc.option(fc.constantFrom(...FAULTS), { nil: undefined }),
  method: fc.constantFrom('PUT', 'POST'),
  abort: fc.boolean(),
  swap: fc.boolean()
}), { minLength: 4, maxLength: 14 })

/** Guards the three properties of section 6 against interleavings of faults, caller aborts, swaps and drains. */
test('no interleaving of faults breaks a property', async (t) => {
  await fc.assert(fc.asyncProperty(steps, fc.boolean(), async (plan, drains) => {
    const rig = await new Rig().start(3, ordersConfig('150ms'))
    const faults = new Map(plan.map((step, i) => [`s${i}`, step]))
    for (const target of rig.targets) {
      target.lateMs = 300
      target.faultOf = (req) => {
        const step = faults.get(String(req.headers['x-request-id']))
        return isFirstAttempt(req) ? step?.fault : step?.retryFault
      }
    }
    const calls = plan.map(async (step, i) => {
      const onRequest = (abort: () => void): void => { if (step.abort && i % 3 === 0) setImmediate(abort) }
      if (step.swap) rig.proxy.setSnapshot(snapshotOf(ordersConfig('150ms'), i + 2))
      return await rig.call({ method: step.method, id: `s${i}`, body: 'an order', onRequest })
    })
    const drained = drains ? rig.proxy.drain({ lingerMs: 0 }) : undefined
    const results = await Promise.all(calls)
    await drained
    await rig.stop()
    const wrong = results.map((result, i) => brokenProperty(rig, `s${i}`, plan[i]!.method === 'PUT', result))
    t.deepEqual(wrong.filter((text) => text !== undefined), [])
  }), { seed: 20261204, numRuns: 40, endOnFailure: true })
})
