import { hasTrouble, runCase } from '../lib-3/case.mjs'
import { judgeExposure } from '../lib-3/exposure.mjs'
import { Load, loadRoutes } from '../lib-3/load.mjs'
import { meshConfig, sleep } from '../lib-3/mesh.mjs'

const DURATION_S = 16
/** Time after which the operator orders the old version again. */
const TAKE_BACK_MS = 2_500
/** Time after the order from which the new version is bad, and the share of its answers that are failures then. */
const BAD_AFTER_MS = 3_000
const BAD_SHARE = 0.5
/** Time after a roll-back in which the new instances drain. */
const DRAIN_AFTER_MS = 4_000

await runCase(import.meta.url, {}, async (mesh, record) => {
  await mesh.start(meshConfig(1, loadRoutes('shop')))
  const callers = [await mesh.addHost({ service: 'web' }), await mesh.addHost({ service: 'web' })]
  for (let i = 0; i < 3; i++) await mesh.addHost({ service: 'shop', version: 'v1' })
  await mesh.ready()
  const load = new Load(mesh, record)
  load.start(callers, 20)
  await sleep(3_000)
  let orderedAt = Infinity
  const statusOf = () => performance.now() > orderedAt + BAD_AFTER_MS && Math.random() < BAD_SHARE ? 500 : 200
  const added = []
  for (let i = 0; i < 3; i++) added.push(await mesh.addHost({ service: 'shop', version: 'v2', statusOf }))
  await sleep(1_000)
  orderedAt = performance.now()
  record.add(`the operator orders v2 within ${DURATION_S} s; from ${BAD_AFTER_MS} ms on half of its answers are failures`)
  mesh.store.put('rollouts', 'shop', { service: 'shop', target_version: 'v2', duration_s: DURATION_S })
  await sleep(TAKE_BACK_MS)
  if (hasTrouble) {
    record.add(`the operator takes it back by an order of v1; the status is ${JSON.stringify(mesh.store.read('rollouts', 'shop').status)}`)
    mesh.store.put('rollouts', 'shop', { service: 'shop', target_version: 'v1', duration_s: DURATION_S })
  }
  await playPlatform(mesh, record, added, orderedAt + DURATION_S * 1_000)
  record.add(`the status is ${JSON.stringify(mesh.store.read('rollouts', 'shop').status)}`)
  await load.stop()
  record.add(`answers by status: ${load.summary()}`)
  const sentAt = new Map(load.answers.map((answer) => [answer.id, answer.sentAt]))
  return judgeExposure(record, { runs: mesh.runs, sentAt, version: 'v2', orderedAt, durationMs: DURATION_S * 1_000 })
})

/** Waits until a time; drains the new instances some seconds after the status is that of a roll-back. */
async function playPlatform (mesh, record, added, until) {
  let rolledBackAt = Infinity
  let isDrained = false
  for (; performance.now() < until; await sleep(50)) {
    const { status } = mesh.store.read('rollouts', 'shop')
    if (status?.state === 'rolled_back' && rolledBackAt === Infinity) {
      rolledBackAt = performance.now()
      record.add(`the status is ${JSON.stringify(status)}`)
    }
    if (isDrained || performance.now() < rolledBackAt + DRAIN_AFTER_MS) continue
    isDrained = true
    record.add('the new instances report that they drain')
    for (const { instance } of added) {
      instance.state = 'draining'
      await instance.heartbeat()
    }
  }
}
