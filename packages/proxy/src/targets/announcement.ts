import { z } from 'zod'
import type { Endpoint } from '@lentilwheel/core'

const pathSchema = z.string().max(500).regex(/^\/[^\s]*$/, 'a path starts with "/"')
const loadSchema = z.number().min(0).max(1)

/** Body of a target's announcement at the daemon beside it. */
export const announcementSchema = z.strictObject({
  name: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/).max(64).describe('Name, unique beside this daemon'),
  service: z.string().min(1).max(100).describe('Service that it belongs to'),
  version: z.string().min(1).max(100).describe('Version that it runs'),
  address: z.ipv4().default('127.0.0.1').describe('IP address at which callers\' daemons reach it'),
  port: z.int().min(1).max(65_535).describe('Port at which it takes calls'),
  slots: z.int().min(1).max(10_000).default(6).describe('Calls that it runs at a time'),
  connections: z.int().min(1).max(10_000).default(100).describe('Connections that it accepts'),
  healthPath: pathSchema.optional().describe('Answers 2xx when it is ready; a hint'),
  loadPath: pathSchema.optional().describe('Answers its load, 0 to 1, as a JSON number or {"load": n}; a hint')
})

/** Body of the renewal of a target's lease. */
export const renewalSchema = z.strictObject({
  load: loadSchema.optional().describe('Load from 0 to 1'),
  draining: z.boolean().optional().describe('Takes no new work any more')
})

export type Announcement = z.output<typeof announcementSchema>
export type Renewal = z.output<typeof renewalSchema>

/** The endpoint that an announcement makes known to other daemons. */
export function toEndpoint (daemon: { id: string, dataCentre: string }, announcement: Announcement): Endpoint {
  const { name, healthPath, loadPath, ...rest } = announcement
  return { ...rest, id: `${daemon.id}/${name}`, dataCentre: daemon.dataCentre, state: 'starting' }
}

/** Parses the response body of a load endpoint; undefined when it isn't a load. */
export function parseLoad (text: string): number | undefined {
  try {
    const value: unknown = JSON.parse(text)
    const parsed = loadSchema.safeParse(typeof value === 'object' && value !== null ? (value as { load?: unknown }).load : value)
    return parsed.data
  } catch {
    return undefined
  }
}
