import { BEAT_MS, BOUNDS, sleep } from '../lib/deployment.mjs'
import { answerOf, Instance } from '../lib/instance.mjs'
import { Requester } from '../lib/requester.mjs'
import { runCase } from '../lib/runCase.mjs'
import { StoreProxy } from '../lib/storeProxy.mjs'

const HOST = 'fittings.example'
const OLD_SERVICE = 'orders'
const NEW_SERVICE = 'workroom'
const PROXY_IP = '127.77.2.1'
const STORE_IP = '127.77.0.1'
/** Time from an ordinary change of the configuration to the disruption, and from there to the change that is judged. */
const SILENCE_AFTER_MS = 2_000
const CHANGE_AFTER_MS = BOUNDS.stability_window_ms + 500
const REQUEST_INTERVAL_MS = 100
const WATCH_MS = 14_000

const proxy = new StoreProxy()
/** Every daemon reaches the store through the proxy. */
const prepare = async (deployment, machine) => {
  const { base } = deployment
  if (machine.name === 'm01') await proxy.listen(base, PROXY_IP, { ip: STORE_IP, port: base })
  machine.storeAddress = `${PROXY_IP}:${base}`
}
const machineList = [...Array(12).keys()].map((i) => ({ service: i % 2 === 0 ? OLD_SERVICE : NEW_SERVICE, zone: `zone-${i % 4}`, prepare }))

await runCase(import.meta.url, machineList, async (deployment, isDisrupted) => {
  const { ports, machines } = deployment
  const route = { name: 'lookup', host: HOST, path_prefix: '/', kind: 'safe', max_attempts: 2, priority: 1, target_latency_ms: 300 }
  deployment.putConfig(5, [{ ...route, service: OLD_SERVICE, timeout_ms: 1_200 }])
  const instances = machines.map(({ ip, zone, service, name }) => new Instance({
    id: `i-${name}`,
    service,
    zone,
    ip,
    port: ports.app,
    controlPort: ports.control,
    beatMs: BEAT_MS,
    onRun: ({ id }) => deployment.record(`i-${name} of ${service} runs ${id}`),
    answer: async ({ id }) => {
      await sleep(20)
      return answerOf(id, 200, service)
    }
  }))
  for (const instance of instances) {
    await instance.listen()
    instance.startBeats()
  }
  await deployment.untilReady()
  await sleep(6_000)
  deployment.putConfig(7, [{ ...route, service: OLD_SERVICE, timeout_ms: 1_100 }])
  await sleep(SILENCE_AFTER_MS)
  if (isDisrupted) deployment.record(`${proxy.silence()} open connections to the store go silent; new ones work`)
  await sleep(CHANGE_AFTER_MS)
  const confirmedAt = deployment.putConfig(9, [{ ...route, service: NEW_SERVICE, timeout_ms: 1_100 }])
  const requesters = machines.map(({ ip }) => new Requester(ip, ports.outbound))
  const stale = []
  while (Date.now() < confirmedAt + WATCH_MS) {
    await sleep(REQUEST_INTERVAL_MS)
    await Promise.all(requesters.map(async (requester, i) => {
      const { id, sentAt, status, body } = await requester.send({ host: HOST, url: '/1', deadlineMs: 1_200 })
      const sinceMs = sentAt - confirmedAt
      deployment.record(`request ${id} on ${machines[i].name}, sent ${sinceMs} ms after the confirmation: ${status}, run by ${body}`)
      if (body === OLD_SERVICE && sinceMs > BOUNDS.config_apply_ms) stale.push({ sinceMs, machine: machines[i].name })
    }))
  }
  for (const closable of [...instances, ...requesters, proxy]) closable.close()
  const latestMs = Math.max(0, ...stale.map(({ sinceMs }) => sinceMs))
  const text = `${stale.length} requests on ${new Set(stale.map(({ machine }) => machine)).size} of ${machines.length} machines, sent more than ` +
    `${BOUNDS.config_apply_ms} ms after the confirmation, were run by the old service; the last was sent ${latestMs} ms after it`
  deployment.record(text)
  return stale.length > 0 ? [text] : []
})
