import { serve, type ServerType } from '@hono/node-server'
import type { AddressInfo } from 'node:net'
import type { Hono } from 'hono'

/** Serves a hono app on one address. */
export async function listenApp (app: Hono, port: number, hostname: string): Promise<{ server: ServerType, port: number }> {
  return await new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, port, hostname }, (info: AddressInfo) => resolve({ server, port: info.port }))
  })
}
