import { hasTrouble, runCase } from '../lib-3/case.mjs'
import { judgeExposure } from '../lib-3/exposure.mjs'
import { Load, loadRoutes } from '../lib-3/load.mjs'
import { endProcess, meshConfig, sleep } from '../lib-3/mesh.mjs'

const DURATION_S = 8
const BAD_DURATION_S = 12
const BAD_SHARE = 0.5
/** Name of the bad version: with trouble one that the service has run before. */
const BAD_VERSION = hasTrouble ? 'v2' : 'v3'

await runCase(import.meta.url, {}, async (mesh, record) => {
  await mesh.start(meshConfig(1, loadRoutes('shop')))
  const callers = [await mesh.addHost({ service: 'web' }), await mesh.addHost({ service: 'web' })]
  let current = []
  for (let i = 0; i < 3; i++) current.push(await mesh.addHost({ service: 'shop', version: 'v1' }))
  await mesh.ready()
  const load = new Load(mesh, record)
  load.start(callers, 20)
  await sleep(2_000)

  /** Orders a version and does what the platform does at the end of the roll-out; returns when it was ordered. */
  const order = async (version, durationS, statusOf) => {
    const next = []
    for (let i = 0; i < 3; i++) next.push(await mesh.addHost({ service: 'shop', version, statusOf }))
    await sleep(1_000)
    const orderedAt = performance.now()
    record.add(`the operator orders ${version} within ${durationS} s`)
    mesh.store.put('rollouts', 'shop', { service: 'shop', target_version: version, duration_s: durationS })
    const status = await endOf(version, orderedAt + durationS * 2_000)
    record.add(`the status of ${version} is ${JSON.stringify(status)} after ${Math.round(performance.now() - orderedAt)} ms`)
    if (status?.state !== 'completed') return orderedAt
    for (const { instance, daemon } of current) {
      instance.stop()
      endProcess(daemon, 'SIGTERM')
    }
    current = next
    return orderedAt
  }
  const endOf = async (version, until) => {
    for (;;) {
      const { status } = mesh.store.read('rollouts', 'shop')
      if (status?.target_version === version && status.state !== 'running') return status
      if (performance.now() > until) return status
      await sleep(20)
    }
  }

  await order('v2', DURATION_S)
  await sleep(2_000)
  await order('v1', DURATION_S)
  if (mesh.store.read('rollouts', 'shop').status?.state !== 'completed') throw new Error('the good versions were not completed')
  await sleep(2_000)
  record.add(`half of the answers of ${BAD_VERSION} are failures now`)
  const orderedAt = await order(BAD_VERSION, BAD_DURATION_S, () => Math.random() < BAD_SHARE ? 500 : 200)
  await sleep(Math.max(0, orderedAt + BAD_DURATION_S * 1_000 - performance.now()))
  await load.stop()
  record.add(`answers by status: ${load.summary()}`)
  const sentAt = new Map(load.answers.map((answer) => [answer.id, answer.sentAt]))
  return judgeExposure(record, { runs: mesh.runs.filter(({ service }) => service === 'shop'), sentAt, version: BAD_VERSION, orderedAt, durationMs: BAD_DURATION_S * 1_000 })
})
