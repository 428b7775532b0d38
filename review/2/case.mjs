import { BEAT_MS, BOUNDS, sleep } from '../lib/deployment.mjs'
import { answerOf, Instance } from '../lib/instance.mjs'
import { Requester } from '../lib/requester.mjs'
import { runCase } from '../lib/runCase.mjs'

const HOST = 'orders.example'
const REQUEST_INTERVAL_MS = 50
/** Time from the leaving instance's last heartbeat to its DELETE. */
const LEAVE_AFTER_BEAT_MS = 200
/** Time from the confirmation until all daemons are killed, and for which they are down. */
const KILL_AFTER_MS = 300
const DOWN_MS = 600
/** Time from a heartbeat to its late arrival. */
const BEAT_DELAY_MS = 2_600
/** Time for which the instance serves on after the confirmation. */
const SERVES_ON_MS = 9_000

await runCase(import.meta.url, [
  { service: 'orders', zone: 'sapporo-a' }, { service: 'orders', zone: 'sapporo-b' }, { service: 'orders', zone: 'otaru' }, { service: 'orders', zone: 'asahikawa' }
], async (deployment, isDisrupted) => {
  const { ports, machines } = deployment
  const route = { host: HOST, path_prefix: '/', kind: 'safe', service: 'orders', max_attempts: 2, priority: 1 }
  deployment.putConfig(5, [{ name: 'lookup', ...route, timeout_ms: 1_200, target_latency_ms: 300 }])
  const instances = machines.map(({ ip, zone, service, name }) => new Instance({
    id: `i-${name}`,
    service,
    zone,
    ip,
    port: ports.app,
    controlPort: ports.control,
    beatMs: BEAT_MS,
    onRun: ({ id }) => deployment.record(`i-${name} runs ${id}`),
    answer: async ({ id }) => {
      await sleep(20)
      return answerOf(id, 200, `ran ${id}`)
    }
  }))
  for (const instance of instances) {
    await instance.listen()
    instance.startBeats()
  }
  await deployment.untilReady()
  await sleep(4_000)
  const requesters = machines.map(({ ip }) => new Requester(ip, ports.outbound))
  const sentAt = new Map()
  const send = async (i) => {
    const result = await requesters[i % requesters.length].send({ host: HOST, url: '/1', deadlineMs: 1_200 })
    sentAt.set(result.id, result.sentAt)
    deployment.record(`request ${result.id}: ${result.outcome} ${result.status} after ${result.ms} ms`)
  }
  const sending = []
  let i = 0
  const timer = setInterval(() => sending.push(send(i++)), REQUEST_INTERVAL_MS)
  await sleep(1_000)

  const [leaving] = instances
  const lateBeat = leaving.nextBeat()
  deployment.record(`${leaving.id} makes heartbeat ${lateBeat.sequence}, state ${lateBeat.state}, which will arrive late`)
  const beatMadeAt = Date.now()
  await sleep(LEAVE_AFTER_BEAT_MS)
  const status = await leaving.leave()
  const confirmedAt = Date.now()
  deployment.record(`DELETE of ${leaving.id} is answered ${status}`)
  await sleep(KILL_AFTER_MS)
  let restartedAt = 0
  if (isDisrupted) {
    for (const machine of machines) deployment.kill(machine)
    await sleep(DOWN_MS)
    for (const machine of machines) deployment.startDaemon(machine)
    restartedAt = Date.now()
  }
  await sleep(Math.max(0, beatMadeAt + BEAT_DELAY_MS - Date.now()))
  deployment.record(`late heartbeat ${lateBeat.sequence} is answered ${await leaving.beat(lateBeat).catch((err) => err.message)}`)
  await sleep(confirmedAt + SERVES_ON_MS - Date.now())
  clearInterval(timer)
  await Promise.all(sending)
  const touchAt = restartedAt === 0 ? 0 : restartedAt + BOUNDS.stability_window_ms
  const late = leaving.runs.filter(({ at, id }) => at > confirmedAt + BOUNDS.drain_ms && sentAt.get(id) > touchAt)
  for (const { id, at } of late) deployment.record(`late: ${id} reached ${leaving.id} ${at - confirmedAt} ms after the confirmation`)
  for (const closable of [...instances, ...requesters]) closable.close()
  return late.length > 0 ? [`${late.length} requests reached ${leaving.id} more than ${BOUNDS.drain_ms} ms after its leaving was confirmed, sent by machines in touch`] : []
})
