// A daemon is told to stop while requesters wait for a large answer, and send further requests on the same connection until it has come. No
// answer that an instance was asked for may be cut off.
import net from 'node:net'
import { Store } from '../lib-2/store.mjs'
import { Instance } from '../lib-2/instance.mjs'
import { configuration, Deployment, sleep } from '../lib-2/deployment.mjs'
import { newId, parse } from '../lib-2/requester.mjs'
import { runCase, TROUBLE } from '../lib-2/runCase.mjs'

/** The largest answer of `styling-sheet`, and the mean of its work. */
const SHEET_BYTES = 540_000
const SHEET_WORK_MS = 180
const LOOKUP_WORK_MS = 8
/** How fast a requester takes an answer: the large one takes 0.27 s. */
const READ_BYTES_PER_MS = 2_000
const DEADLINE_MS = 2_500
const REQUESTERS = 6
/** Sent until the first answer has come, one each interval. */
const LOOKUPS = 20
const LOOKUP_INTERVAL_MS = 60
/** When the daemon is told to stop, after the first requests. */
const STOP_AFTER_MS = 60
const ROUNDS = 3

const HOST = 'shop.example'
const ROUTES = [
  { name: 'lookup', host: HOST, path_prefix: '/', kind: 'safe', timeout_ms: 1_200, target_latency_ms: 600, max_attempts: 2, priority: 1, service: 'shop' },
  { name: 'sheet', host: HOST, path_prefix: '/sheet/', kind: 'download', timeout_ms: 2_500, target_latency_ms: 600, max_attempts: 2, priority: 2, service: 'shop' }
]

/** Sends a download and then `safe` requests on one connection, before the answers have come; resolves to what became of each. */
async function pipeline ({ address, port }) {
  const requests = []
  const socket = net.connect({ host: address, port, noDelay: true })
  const chunks = []
  let ending = ''
  socket.on('data', (chunk) => {
    chunks.push(chunk)
    socket.pause()
    setTimeout(() => socket.resume(), chunk.length / READ_BYTES_PER_MS)
  })
  socket.on('end', () => { ending ||= 'closed' })
  socket.on('error', (err) => { ending ||= err.code })
  const closed = new Promise((resolve) => socket.once('close', resolve))
  const isFirstAnswered = () => parse(Buffer.concat(chunks), false).end === 'complete'
  for (let i = 0; i <= LOOKUPS && !socket.destroyed && !socket.readableEnded && !isFirstAnswered(); i++) {
    const id = newId()
    requests.push({ id, path: i === 0 ? '/sheet/0' : `/lookup/${i}`, sentAt: Date.now() })
    socket.write(`GET ${requests[i].path} HTTP/1.1\r\nHost: ${HOST}\r\nLentilwheel-Request-Id: ${id}\r\nLentilwheel-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`)
    await sleep(LOOKUP_INTERVAL_MS)
  }
  await Promise.race([closed, sleep(DEADLINE_MS)])
  const endedAt = Date.now()
  socket.destroy()
  let rest = Buffer.concat(chunks)
  for (const request of requests) {
    const { status, body, end, headers } = parse(rest, false)
    Object.assign(request, { status, received: body?.length ?? 0, isComplete: end === 'complete', endedAt, ending: ending || 'left open' })
    rest = end === 'complete' ? rest.subarray(rest.indexOf('\r\n\r\n') + 4 + Number(headers['content-length'])) : Buffer.alloc(0)
  }
  return requests
}

runCase(import.meta.url, async ({ record, end }) => {
  const deployment = await Deployment.create([{ name: 'side-a-1', zone: 'a', service: 'shop' }, { name: 'side-b-1', zone: 'b', service: 'shop' }])
  end(() => deployment.end())
  const store = new Store()
  await store.listen(deployment.store.address, deployment.store.port)
  end(() => store.close())
  store.put('config', 'main', configuration(1, { services: ['shop'], routes: ROUTES }))
  const runs = new Map()
  for (const machine of deployment.machines) {
    deployment.start(machine)
    const respond = async ({ id, path, instance }) => {
      const isSheet = path.startsWith('/sheet/')
      runs.set(id, { instance, answeredAt: undefined })
      await sleep(isSheet ? SHEET_WORK_MS : LOOKUP_WORK_MS)
      runs.set(id, { instance, answeredAt: Date.now() })
      return { body: Buffer.alloc(isSheet ? SHEET_BYTES : 400, `${id} `) }
    }
    const instance = new Instance({ id: `i-${machine.zone}`, service: 'shop', zone: machine.zone, ...machine.app, control: machine.control, respond })
    await instance.start()
    end(() => instance.stop())
  }
  const [machine] = deployment.machines
  const broken = []
  for (let round = 1; round <= ROUNDS; round++) {
    await deployment.whenReady()
    // The daemons are calm for `stability_window_ms` before the planned work.
    await sleep(3_500)
    const answers = Promise.all(Array.from({ length: REQUESTERS }, () => pipeline(machine.outbound)))
    await sleep(STOP_AFTER_MS)
    if (TROUBLE) {
      record(`round ${round}: SIGTERM to the daemon of ${machine.name}`)
      machine.isWanted = false
      machine.child.kill('SIGTERM')
    }
    for (const requests of await answers) {
      for (const { id, path, status, received, isComplete, ending, endedAt, sentAt } of requests) {
        const run = runs.get(id)
        record(`${id} ${path}: ${run ? `passed on to ${run.instance}, which answered after ${run.answeredAt - sentAt} ms` : 'not passed on'}; ${isComplete ? `complete answer ${status}` : `no complete answer, ${received} bytes of a body`}; connection ${ending} after ${endedAt - sentAt} ms`)
        // A write that failed (EPIPE) keeps this requester from reading the rest of what has arrived, so such a connection isn't counted.
        if (run && !isComplete && ending !== 'EPIPE' && endedAt - sentAt < DEADLINE_MS) broken.push(id)
      }
    }
    if (TROUBLE) {
      await machine.exited
      deployment.start(machine)
    }
  }
  return broken.length > 0 ? [`${broken.length} requests that were passed on to an instance had no complete answer when their connection ended`] : []
})
