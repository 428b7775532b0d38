import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import type { EndpointView } from '@lentilwheel/core'
import { serveCommands } from '@lentilwheel/testkit'

/**
 * Minimal forwarder of GET requests, built on the two libraries that the proxy uses (node:http and undici). As a
 * baseline it shows the cost that a proxy can't go below.
 */
let pools: Pool[] = []
let nextPool = 0

const server = createServer((req, res) => {
  const headers = req.rawHeaders
  pools[nextPool++ % pools.length]!.dispatch({ path: req.url!, method: 'GET', headers }, {
    onRequestStart () {},
    onResponseStart (_controller, status, responseHeaders) { res.writeHead(status, responseHeaders) },
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
