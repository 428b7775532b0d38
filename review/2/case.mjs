import { BEAT_MS, sleep, until } from '../lib/deployment.mjs'
import { answerOf, Instance } from '../lib/instance.mjs'
import { Requester } from '../lib/requester.mjs'
import { runCase } from '../lib/runCase.mjs'

const SERVICE = 'showroom'
const HOST = 'showroom.example'
const DURATION_S = 14
const REQUEST_INTERVAL_MS = 20
/** Share of the requests to the second version that fail. */
const BAD_SHARE = 0.5
const WORK_MS = 40
/** Time from the roll-back until the instances of the second version drain, and for which they serve on. */
const DRAIN_AFTER_MS = 2_000
const SERVES_ON_MS = 4_000
/** Time from the start of the third version's instances to its order. */
const WARM_UP_MS = 5_000

await runCase(import.meta.url, [...Array(12).keys()].map((i) => ({ service: SERVICE, zone: `zone-${i % 4}` })), async (deployment, isDisrupted) => {
  const { ports, machines, store } = deployment
  const route = { host: HOST, path_prefix: '/', kind: 'safe', service: SERVICE, max_attempts: 2, priority: 2 }
  deployment.putConfig(5, [{ name: 'browse', ...route, timeout_ms: 1_200, target_latency_ms: 600 }])
  const all = []
  const startAll = async (group, version) => {
    const started = []
    for (const { ip, zone, service, name } of group) {
      const instance = new Instance({
        id: `i-${name}-${version}`,
        service,
        zone,
        ip,
        version,
        port: ports.app,
        controlPort: ports.control,
        beatMs: BEAT_MS,
        onRun: (run) => deployment.record(`${run.instance} runs ${run.id}`),
        answer: async ({ id }) => {
          await sleep(WORK_MS)
          const isBad = isDisrupted && version === 'v2' && Math.random() < BAD_SHARE
          return answerOf(id, isBad ? 500 : 200, `ran ${id}`)
        }
      })
      await instance.listen()
      instance.startBeats()
      started.push(instance)
    }
    all.push(...started)
    deployment.record(`instances of ${version} started on ${group.map(({ name }) => name).join(', ')}`)
    return started
  }
  const first = await startAll(machines.slice(0, 4), 'v1')
  await deployment.untilReady()
  await sleep(4_000)
  const requesters = machines.map(({ ip }) => new Requester(ip, ports.outbound))
  const sending = []
  let i = 0
  const timer = setInterval(() => sending.push((async () => {
    const result = await requesters[i++ % requesters.length].send({ host: HOST, url: '/1', deadlineMs: 2_500 })
    deployment.record(`request ${result.id}: ${result.outcome} ${result.status} after ${result.ms} ms`)
  })()), REQUEST_INTERVAL_MS)
  const order = (version) => {
    store.put('rollouts', SERVICE, { service: SERVICE, target_version: version, duration_s: DURATION_S })
    deployment.record(`order: ${SERVICE} to ${version} within ${DURATION_S} s`)
  }
  const stateOf = (version) => {
    const status = store.get('rollouts', SERVICE)?.status
    return status?.target_version === version ? status.state : undefined
  }
  const second = await startAll(machines.slice(4, 8), 'v2')
  order('v2')
  await until('the end of the move to v2', () => ['completed', 'rolled_back'].includes(stateOf('v2')), DURATION_S * 2_000)
  const state = stateOf('v2')
  deployment.record(`v2 is ${state}`)
  if (state === 'completed') {
    for (const instance of first) instance.close()
  } else {
    await sleep(DRAIN_AFTER_MS)
    for (const instance of second) {
      instance.state = 'draining'
      deployment.record(`${instance.id} drains, answered ${await instance.beat()}`)
    }
    await sleep(SERVES_ON_MS)
    for (const instance of second) {
      await instance.leave()
      instance.close()
    }
    deployment.record('the instances of v2 have left')
  }
  const third = await startAll(machines.slice(8), 'v3')
  await sleep(WARM_UP_MS)
  const early = third.flatMap(({ runs }) => runs)
  const text = `${early.length} requests were run by v3 before any order named it; the state of v2 was ${state}`
  deployment.record(text)
  clearInterval(timer)
  await Promise.all(sending)
  for (const closable of [...all, ...requesters]) closable.close()
  return early.length > 0 ? [text] : []
})
