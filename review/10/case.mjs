// An instance spoils a few of its answers: a line in the head of one goes on with blanks. The daemon beside it must not hang over it.
import { Store } from '../lib-2/store.mjs'
import { Instance } from '../lib-2/instance.mjs'
import { configuration, Deployment, sleep } from '../lib-2/deployment.mjs'
import { newId, send } from '../lib-2/requester.mjs'
import { runCase, TROUBLE } from '../lib-2/runCase.mjs'

const TIMEOUT_MS = 1_200
const DEADLINE_MS = 2_500
/** Time after the route's timeout by which a request has to have its final answer. */
const SLACK_MS = 500
const MIN_LATE = 8
const MAX_LATE_SHARE = 0.25
const WORK_MS = 60
const INTERVAL_MS = 25
const PLAY_MS = 24_000
/** One of the two instances spoils every 50th of its answers for some seconds. */
const SPOILT_EACH = 50
const GARBLE_FROM_MS = 4_000
const GARBLE_FOR_MS = 5_500
const BLANKS = 60_000

const HOST = 'shop.example'
const ROUTE = { name: 'browse', host: HOST, path_prefix: '/', kind: 'safe', timeout_ms: TIMEOUT_MS, target_latency_ms: 600, max_attempts: 2, priority: 1, service: 'shop' }

runCase(import.meta.url, async ({ record, end }) => {
  const deployment = await Deployment.create([{ name: 'side-a-1', zone: 'a', service: 'shop' }, { name: 'side-b-1', zone: 'b', service: 'shop' }])
  end(() => deployment.end())
  const store = new Store()
  await store.listen(deployment.store.address, deployment.store.port)
  end(() => store.close())
  store.put('config', 'main', configuration(1, { services: ['shop'], routes: [ROUTE] }))
  let startedAt = Infinity
  const [faulty] = deployment.machines
  for (const machine of deployment.machines) {
    deployment.start(machine)
    let answers = 0
    const respond = async ({ id }) => {
      await sleep(WORK_MS)
      const since = Date.now() - startedAt
      const isDue = machine === faulty && since >= GARBLE_FROM_MS && since < GARBLE_FROM_MS + GARBLE_FOR_MS && ++answers % SPOILT_EACH === 0
      if (!isDue) return {}
      record(`instance of ${machine.name} ${TROUBLE ? 'spoils' : 'gives'} the answer to ${id}`)
      return TROUBLE ? { headers: { 'X-Page': `a${' '.repeat(BLANKS)}b` } } : {}
    }
    const instance = new Instance({ id: `i-${machine.zone}`, service: 'shop', zone: machine.zone, ...machine.app, control: machine.control, respond })
    await instance.start()
    end(() => instance.stop())
  }
  await deployment.whenReady()
  await sleep(2_000)
  startedAt = Date.now()
  const requests = []
  while (Date.now() < startedAt + PLAY_MS) {
    for (const machine of deployment.machines) {
      const id = newId()
      requests.push(send(machine.outbound, { host: HOST, path: '/x', id, deadlineMs: DEADLINE_MS, timeoutMs: DEADLINE_MS }).then((answer) => ({ ...answer, machine: machine.name })))
    }
    await sleep(INTERVAL_MS)
  }
  const answers = await Promise.all(requests)
  const isLong = ({ end: how, ms }) => how !== 'complete' || ms > TIMEOUT_MS
  const isLate = ({ end: how, ms }) => how !== 'complete' || ms > TIMEOUT_MS + SLACK_MS
  const long = answers.filter(isLong)
  const late = long.filter(isLate)
  for (const { name } of deployment.machines) {
    const own = answers.filter(({ machine }) => machine === name)
    const ownLate = own.filter(isLate)
    record(`requests at ${name}: ${own.length}; over ${TIMEOUT_MS} ms: ${own.filter(isLong).length}; without a final answer after ${TIMEOUT_MS + SLACK_MS} ms: ${ownLate.length}${ownLate.length > 0 ? `, sent from ${ownLate[0].sentAt - startedAt} ms to ${ownLate.at(-1).sentAt - startedAt} ms` : ''}`)
  }
  const statuses = {}
  for (const { status, end: how } of answers) statuses[`${status ?? 'none'} ${how}`] = (statuses[`${status ?? 'none'} ${how}`] ?? 0) + 1
  record(`answers by status and end: ${JSON.stringify(statuses)}`)
  return late.length >= MIN_LATE && late.length > MAX_LATE_SHARE * long.length
    ? [`${late.length} of ${long.length} requests that lasted longer than ${TIMEOUT_MS} ms had no final answer ${SLACK_MS} ms later`]
    : []
})
