import { sleep } from './mesh.mjs'

/** Requesters that send requests at a steady rate by turns on some hosts: two of three `safe`, one `unsafe`. */
export class Load {
  answers = []
  #mesh
  #record
  #isOn = true
  #pending = []
  #done

  constructor (mesh, record) {
    this.#mesh = mesh
    this.#record = record
  }

  start (hosts, intervalMs) {
    this.#done = this.#send(hosts, intervalMs)
  }

  async stop () {
    this.#isOn = false
    await this.#done
    await Promise.all(this.#pending)
  }

  /** Number of answers by status. */
  summary () {
    const counts = {}
    for (const { status } of this.answers) counts[status] = (counts[status] ?? 0) + 1
    return JSON.stringify(counts)
  }

  async #send (hosts, intervalMs) {
    for (let n = 1; this.#isOn; n++) {
      const host = hosts[n % hosts.length]
      const isUnsafe = n % 3 === 0
      const id = `r${n}`
      const sentAt = performance.now()
      this.#record.add(`sent ${id} ${isUnsafe ? 'POST /place/a' : 'GET /list/a'} on ${host.name}`)
      this.#pending.push(this.#mesh.request(host, { id, path: isUnsafe ? '/place/a' : '/list/a', ...isUnsafe ? { method: 'POST', body: 'x' } : {} }).then(({ status }) => {
        this.#record.add(`answer ${id} ${status}`)
        this.answers.push({ id, sentAt, status })
      }))
      await sleep(intervalMs)
    }
  }
}

/** Routes of the load, for a service. */
export function loadRoutes (service) {
  return { list: { service }, place: { service, kind: 'unsafe' } }
}
