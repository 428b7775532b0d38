// A service is moved to v2, back to v1, and to v2 again, which is bad by then. The last order must be tested like a first one.
import { Store } from '../lib-2/store.mjs'
import { Instance } from '../lib-2/instance.mjs'
import { configuration, Deployment, sleep } from '../lib-2/deployment.mjs'
import { send } from '../lib-2/requester.mjs'
import { runCase, TROUBLE } from '../lib-2/runCase.mjs'

const EXPOSURE_SHARE = 0.1
const EXPOSURE_SLACK = 50
const ROLLBACK_MS = 5_000
const BAD_ANSWERS = 50
/** Share of the requests that the bad version fails, as in the site file. */
const BAD_SHARE = 0.5
const DURATION_S = 12
const REQUEST_INTERVAL_MS = 30
const WORK_MS = 40

const HOST = 'shop.example'
const ROUTE = { name: 'browse', host: HOST, path_prefix: '/', kind: 'safe', timeout_ms: 1200, target_latency_ms: 600, max_attempts: 2, priority: 1, service: 'shop' }

runCase(import.meta.url, async ({ record, end }) => {
  const deployment = await Deployment.create(['a', 'b', 'c', 'd'].map((zone) => ({ name: `side-${zone}-1`, zone, service: 'shop' })))
  end(() => deployment.end())
  const store = new Store()
  await store.listen(deployment.store.address, deployment.store.port)
  end(() => store.close())
  store.put('config', 'main', configuration(1, { services: ['shop'], routes: [ROUTE] }))

  const running = new Map()
  const runs = []
  let isBad = false
  let boots = 0
  const startInstance = async (machine, version) => {
    const respond = async (run) => {
      const status = version === 'v2' && isBad && Math.random() < BAD_SHARE ? 500 : 200
      runs.push({ id: run.id, at: run.at, version, isBadAnswer: status === 500 })
      await sleep(WORK_MS)
      return { status }
    }
    const instance = new Instance({ id: `i-${machine.zone}-${++boots}`, version, service: 'shop', zone: machine.zone, ...machine.app, control: machine.control, respond })
    deployment.start(machine)
    await instance.start()
    running.set(machine, instance)
    await deployment.whenReady(15_000, [machine])
    record(`${machine.name} runs ${instance.id}, ${version}`)
  }
  const stopInstance = async (machine) => {
    running.get(machine).stop()
    running.delete(machine)
    await deployment.kill(machine, 'SIGTERM')
    record(`${machine.name} is taken away`)
  }
  end(() => { for (const instance of running.values()) instance.stop() })

  const requests = new Map()
  const traffic = { isOver: false }
  const client = (async () => {
    for (let i = 0; !traffic.isOver; i++) {
      const machines = [...running.keys()]
      const machine = machines[i % machines.length]
      if (machine) {
        const sentAt = Date.now()
        send(machine.outbound, { host: HOST, path: `/p${i}`, deadlineMs: 2500 }).then(({ id, status }) => requests.set(id, { sentAt, status }))
      }
      await sleep(REQUEST_INTERVAL_MS)
    }
  })()

  /** Orders a move as the operator does, starts the new instances alongside, and stops those that the end of the move leaves unused. */
  const move = async (version, news, olds) => {
    for (const machine of news) await startInstance(machine, version)
    await sleep(2_000)
    const orderedAt = Date.now()
    store.put('rollouts', 'shop', { service: 'shop', target_version: version, duration_s: DURATION_S })
    record(`order: shop to ${version} within ${DURATION_S} s`)
    let state
    while (Date.now() < orderedAt + DURATION_S * 1000) {
      const { status } = store.get('rollouts', 'shop')
      const now = status?.target_version === version ? status.state : undefined
      if (now !== state) {
        state = now
        record(`state of the order after ${Date.now() - orderedAt} ms: ${state}`)
      }
      if (state === 'completed' || state === 'rolled_back') break
      await sleep(20)
    }
    const unused = state === 'completed' ? olds : state === 'rolled_back' ? news : []
    for (const machine of unused) running.get(machine).stop()
    return { orderedAt, state, unused }
  }

  const [a, b, c, d] = deployment.machines
  await Promise.all([startInstance(a, 'v1'), startInstance(b, 'v1')])
  await sleep(2_000)
  const first = await move('v2', [c, d], [a, b])
  for (const machine of first.unused) await stopInstance(machine)
  const second = await move('v1', [a, b], [c, d])
  for (const machine of second.unused) await stopInstance(machine)
  isBad = TROUBLE
  const third = await move('v2', [c, d], [a, b])
  await sleep(Math.max(0, third.orderedAt + DURATION_S * 1000 - Date.now()))
  traffic.isOver = true
  await client
  await sleep(3_000)

  if (first.state !== 'completed' || second.state !== 'completed') throw new Error(`the first moves ended as ${first.state} and ${second.state}`)
  const until = third.orderedAt + DURATION_S * 1000
  const reached = runs.filter(({ at }) => at >= third.orderedAt && at < until)
  const onBad = reached.filter(({ version }) => version === 'v2')
  const bads = onBad.filter(({ isBadAnswer }) => isBadAnswer).map(({ at }) => at).sort((x, y) => x - y)
  const allowed = EXPOSURE_SHARE * reached.length + EXPOSURE_SLACK
  const bad50 = bads[BAD_ANSWERS - 1]
  const late = bad50 === undefined ? [] : runs.filter(({ id, version }) => version === 'v2' && requests.get(id)?.sentAt > bad50 + ROLLBACK_MS)
  record(`third order: ended as ${third.state}; ${reached.length} requests reached the service until its time budget, ${onBad.length} of them v2, ${bads.length} bad answers, allowed ${allowed}; ${late.length} were sent later than ${ROLLBACK_MS} ms after the ${BAD_ANSWERS}th bad answer`)
  // Without the disruption no version is bad, so that the rule says nothing about the shares.
  if (!TROUBLE) return []
  return [
    ...onBad.length > allowed ? [`the bad version got ${onBad.length} of ${reached.length} requests, allowed are ${allowed}`] : [],
    ...late.length > 0 ? [`${late.length} requests that were sent later than ${ROLLBACK_MS} ms after its ${BAD_ANSWERS}th bad answer reached the bad version`] : []
  ]
})
