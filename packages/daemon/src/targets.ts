import { z } from 'zod'
import type { Endpoint } from '@lentilwheel/core'

export const announcementSchema = z.strictObject({
  name: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/).max(64),
  service: z.string().max(100),
  version: z.string().max(100),
  address: z.ipv4(),
  port: z.int().min(1).max(65_535),
  slots: z.int().min(1).max(10_000),
  connections: z.int().min(1).max(10_000)
})

export type Announcement = z.output<typeof announcementSchema>

export function toEndpoint (daemon: { id: string, dataCentre: string }, announced: Announcement): Endpoint {
  const { name, ...rest } = announced
  return { ...rest, id: `${daemon.id}/${name}`, dataCentre: daemon.dataCentre, state: 'ready' }
}
