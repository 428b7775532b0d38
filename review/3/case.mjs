import { BEAT_MS, sleep } from '../lib/deployment.mjs'
import { answerOf, Instance } from '../lib/instance.mjs'
import { Requester } from '../lib/requester.mjs'
import { runCase } from '../lib/runCase.mjs'

const HOST = 'showroom.example'
const TIMEOUT_MS = 1_200
const DEADLINE_MS = 2_500
const WORK_MS = 15
/** Length of the disruption, and requests a second in it. */
const GARBLE_MS = 5_000
const REQUESTS_PER_S = 350
/** Share of the answers of one of the two instances that are spoiled. */
const SPOILED_SHARE = 0.03
/** Time past the timeout of its route after which a request has had its final answer. */
const LATE_MS = 500
const MIN_UNANSWERED = 8

await runCase(import.meta.url, [
  { service: 'showroom', zone: 'sapporo-a' }, { service: 'showroom', zone: 'sapporo-b' }, { service: 'orders', zone: 'otaru' }
], async (deployment, isDisrupted) => {
  const { ports, machines } = deployment
  const route = { host: HOST, path_prefix: '/catalogue/', kind: 'safe', service: 'showroom', max_attempts: 2, priority: 2 }
  deployment.putConfig(5, [{ name: 'browse', ...route, timeout_ms: TIMEOUT_MS, target_latency_ms: 600 }])
  let isGarbling = false
  let answers = 0
  let spoiled = 0
  const instances = machines.map(({ ip, zone, service, name }, i) => new Instance({
    id: `i-${name}`,
    service,
    zone,
    ip,
    port: ports.app,
    controlPort: ports.control,
    beatMs: BEAT_MS,
    answer: async ({ id }) => {
      await sleep(WORK_MS)
      const isSpoiled = isGarbling && i === 0 && Math.floor(++answers * SPOILED_SHARE) > Math.floor((answers - 1) * SPOILED_SHARE)
      if (isSpoiled) spoiled++
      deployment.record(`i-${name} ran ${id}${isSpoiled ? ', answer spoiled' : ''}`)
      return answerOf(id, 200, `ran ${id}`, isSpoiled ? ['X-Note: a\x01b'] : [])
    }
  }))
  for (const instance of instances) {
    await instance.listen()
    instance.startBeats()
  }
  await deployment.untilReady()
  await sleep(4_000)
  isGarbling = isDisrupted
  const requesters = machines.map(({ ip }) => new Requester(ip, ports.outbound))
  const results = await Promise.all(Array.from({ length: GARBLE_MS / 1000 * REQUESTS_PER_S }, async (_, i) => {
    await sleep(i * 1000 / REQUESTS_PER_S)
    const result = await requesters[i % requesters.length].send({ host: HOST, url: '/catalogue/1', deadlineMs: DEADLINE_MS })
    deployment.record(`request ${result.id}: ${result.outcome} ${result.status} after ${result.ms} ms`)
    return result
  }))
  const late = results.filter(({ ms }) => ms > TIMEOUT_MS)
  const unanswered = late.filter(({ ms }) => ms > TIMEOUT_MS + LATE_MS)
  const text = `${results.length} requests, ${spoiled} answers spoiled; ${late.length} requests lasted longer than their timeout, ` +
    `${unanswered.length} of them had no final answer ${LATE_MS} ms after it`
  deployment.record(text)
  for (const closable of [...instances, ...requesters]) closable.close()
  return unanswered.length >= MIN_UNANSWERED && unanswered.length > late.length / 4 ? [text] : []
})
