import { serve, type ServerType } from '@hono/node-server'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Hono } from 'hono'

/** Operators and targets of one host need a few connections; the bound keeps a faulty one from taking all files. */
const MAX_CONNECTIONS = 256
const LIMITS = { maxHeaderSize: 16 * 1024, headersTimeout: 5_000, requestTimeout: 10_000 }

/** Serves a hono app on one address; rejects when the address is taken. */
export async function listenApp (app: Hono, port: number, hostname: string): Promise<{ server: ServerType, port: number }> {
  return await new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, port, hostname, serverOptions: LIMITS }, (info: AddressInfo) => {
      server.off('error', reject)
      resolve({ server, port: info.port })
    }) as Server
    server.maxConnections = MAX_CONNECTIONS
    server.once('error', reject)
  })
}
