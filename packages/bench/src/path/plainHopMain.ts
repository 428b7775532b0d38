import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import type { EndpointView } from '@lentilwheel/core'
import { serveCommands } from '@lentilwheel/testkit'

/** The least that forwards a GET with the same two libraries: the floor that the proxy is compared with. */
let pools: Pool[] = []
let nextPool = 0

const server = createServer((req, res) => {
  const headers = req.rawHeaders
  pools[nextPool++ % pools.length]!.dispatch({ path: req.url!, method: 'GET', headers }, {
    onRequestStart () {},
    onResponseStart (_controller, status, answered) { res.writeHead(status, answered) },
    onResponseData (_controller, chunk) { res.write(chunk) },
    onResponseEnd () { res.end() },
    onResponseError () { res.destroy() }
  })
})

serveCommands({
  listen: async () => {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return (server.address() as AddressInfo).port
  },
  setConfig: () => {},
  setEndpoints: (endpoints: EndpointView[]) => {
    pools = endpoints.map(({ address, port }) => new Pool(`http://${address}:${port}`, { connections: 64 }))
  },
  usage: () => {
    const { user, system } = process.cpuUsage()
    return { cpuMs: (user + system) / 1000, rssMb: process.memoryUsage.rss() / 1024 ** 2, counters: {} }
  }
})
