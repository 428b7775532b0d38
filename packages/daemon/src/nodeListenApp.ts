import { serve, type ServerType } from '@hono/node-server'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Hono } from 'hono'

/** Operators and targets of one host need few connections; the limit keeps a faulty client from using up all file descriptors. */
const MAX_CONNECTIONS = 256
const SERVER_LIMITS = { maxHeaderSize: 16 * 1024, headersTimeout: 5_000, requestTimeout: 10_000 }

/** Serves a Hono app on one address; rejects if the address is in use. */
export async function listenApp (app: Hono, port: number, hostname: string): Promise<{ server: ServerType, port: number }> {
  return await new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, port, hostname, serverOptions: SERVER_LIMITS }, (info: AddressInfo) => {
      server.off('error', reject)
      resolve({ server, port: info.port })
    }) as Server
    server.maxConnections = MAX_CONNECTIONS
    server.once('error', reject)
  })
}
