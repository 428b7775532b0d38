// A daemon is killed while it passes on answers that have no length and end with their connection. A part of one must not look complete.
import { Store } from '../lib-2/store.mjs'
import { Instance, signature } from '../lib-2/instance.mjs'
import { configuration, Deployment, sleep } from '../lib-2/deployment.mjs'
import { send } from '../lib-2/requester.mjs'
import { runCase, TROUBLE } from '../lib-2/runCase.mjs'

/** The largest answer of `styling-sheet`. */
const ANSWER_BYTES = 540_000
/** The narrowest link of the grown deployments, in Mbit/s. */
const LINK_MBPS = 7
const ROUNDS = 4
const REQUESTS = 3
/** When the daemon is killed after the requests were sent: some of each answer has come through, and some has not. */
const KILL_AFTER_MS = 900

const HOST = 'sheets.example'
const ROUTE = { name: 'sheet', host: HOST, path_prefix: '/', kind: 'download', timeout_ms: 5_000, target_latency_ms: 1_339, max_attempts: 2, priority: 2, service: 'sheets' }

runCase(import.meta.url, async ({ record, end }) => {
  const deployment = await Deployment.create([{ name: 'side-a-1', zone: 'a', service: 'sheets' }, { name: 'side-b-1', zone: 'b', service: 'sheets' }], {
    limits: { cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: LINK_MBPS, disk_mb: 0 }
  })
  end(() => deployment.end())
  const store = new Store()
  await store.listen(deployment.store.address, deployment.store.port)
  end(() => store.close())
  store.put('config', 'main', configuration(1, { services: ['sheets'], routes: [ROUTE] }))
  for (const machine of deployment.machines) {
    deployment.start(machine)
    const respond = ({ id }) => ({ body: Buffer.alloc(ANSWER_BYTES, `${id} `), unframed: true })
    const instance = new Instance({ id: `i-${machine.zone}`, service: 'sheets', zone: machine.zone, ...machine.app, control: machine.control, respond, record })
    await instance.start()
    end(() => instance.stop())
  }
  const [machine] = deployment.machines
  const broken = []
  for (let round = 1; round <= ROUNDS; round++) {
    await deployment.whenReady()
    await sleep(1_500)
    const answers = Promise.all(Array.from({ length: REQUESTS }, () => send(machine.outbound, { host: HOST, path: '/sheet', deadlineMs: 5_579 })))
    await sleep(KILL_AFTER_MS)
    if (TROUBLE) {
      record(`round ${round}: SIGKILL to the daemon of ${machine.name}`)
      await deployment.kill(machine)
    }
    for (const { id, status, headers, body, end: how, ms } of await answers) {
      const isWhole = headers?.['lentilwheel-response-signature'] === signature(id, status, body ?? Buffer.alloc(0))
      const signed = headers?.['lentilwheel-response-signature'] ? 'signed' : 'not signed'
      record(`answered ${id} after ${ms} ms: ${status ?? 'no status'}, ${signed}, length ${headers?.['content-length'] ?? 'none'}, ${body?.length ?? 0} of ${ANSWER_BYTES} bytes, end of the connection: ${how}`)
      if (status === 200 && !isWhole && (how === 'closed' || how === 'complete')) broken.push(`${id} got 200 with ${body.length} of ${ANSWER_BYTES} bytes, and the end of the connection as the end of the answer`)
    }
    if (TROUBLE) deployment.start(machine)
  }
  return broken
})
