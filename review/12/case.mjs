import { hasTrouble, runCase } from '../lib-3/case.mjs'
import { meshConfig, sleep } from '../lib-3/mesh.mjs'

/** Figures of the site `kitaboshi-mesh`. */
const CONFIG_APPLY_MS = 2_000
const ADDRESS_REUSE_MS = 2_000
/** Time between two losses, and before the change: all machines have been calm for longer than `stability_window_ms`. */
const CALM_MS = 6_000
const CHECKS = 20

await runCase(import.meta.url, {}, async (mesh, record) => {
  await mesh.start(meshConfig(1, { list: { service: 'shop' } }))
  const first = [await mesh.addHost({ service: 'web' }), await mesh.addHost({ service: 'web' })]
  const others = []
  for (const service of ['web', 'shop', 'books']) others.push(await mesh.addHost({ service }))
  await mesh.ready()
  await sleep(2_000)
  for (const lost of first) {
    record.add(`the machine of ${lost.name} is lost for good`)
    await mesh.loseHost(lost)
    await sleep(ADDRESS_REUSE_MS + 300)
    const added = await mesh.addHost({ service: 'billing', ...hasTrouble ? { formerHost: lost } : {} })
    others.push(added)
    record.add(`a new machine, ${added.name}, with an instance of another service starts at ${hasTrouble ? 'the address of the lost one' : 'an address of its own'}`)
    await sleep(CALM_MS)
  }
  mesh.store.put('config', 'main', meshConfig(2, { list: { service: 'books' }, added: { service: 'shop' } }))
  record.add('the store confirms version 2: list goes to books, and the route added is new')
  await sleep(CONFIG_APPLY_MS + 1_000)
  let breaches = 0
  for (let n = 1; n <= CHECKS; n++) {
    for (const host of others) breaches += await check(mesh, record, host, n)
    await sleep(500)
  }
  record.add(`handled as only version 1 allows: ${breaches} of ${2 * CHECKS * others.length} requests, sent 3 s and more after the confirmation`)
  return breaches > 0 ? `CONFIG: ${breaches} requests were handled as only version 1 allows` : undefined
})

/** Sends one request on each route and counts those that are handled as only version 1 allows. */
async function check (mesh, record, host, n) {
  let breaches = 0
  for (const route of ['list', 'added']) {
    const id = `${route}-${host.name}-${n}`
    record.add(`sent ${id} GET /${route}/a on ${host.name}`)
    const { status } = await mesh.request(host, { id, path: `/${route}/a` })
    record.add(`answer ${id} ${status}`)
    const run = mesh.runs.find(({ requestId }) => requestId === id)
    if (route === 'list' ? run?.service === 'shop' : status === 404) breaches++
  }
  return breaches
}
