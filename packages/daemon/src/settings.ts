import { z } from 'zod'

const port = z.int().min(0).max(65_535)

export const daemonSettingsSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/).max(64).describe('Name of this daemon, unique in the fleet'),
  dataCentre: z.string().min(1).max(64).describe('Data centre of this host'),
  region: z.string().min(1).max(64).default('default').describe('Region of this host'),
  address: z.ipv4().default('127.0.0.1').describe('IP address at which other daemons and callers reach this host'),
  proxyPort: port.default(8080).describe('Port for calls'),
  adminPort: port.default(8081).describe('Loopback port for operators: /healthz, /readyz, /status, /events'),
  targetPort: port.default(8082).describe('Loopback port at which targets announce themselves'),
  meshPort: port.default(8083).describe('Port for other daemons, TCP and UDP'),
  platform: z.strictObject({
    url: z.url().describe('Base address of the object API')
  }).describe('The platform'),
  seeds: z.array(z.string().regex(/^[0-9.]+:\d+$/)).default([]).describe('Mesh addresses of some other daemons'),
  logFormat: z.enum(['json', 'pretty', 'off']).default('json').describe('Format of log lines')
})

/** Settings of a daemon with defaults filled in. */
export type ResolvedConfig = z.output<typeof daemonSettingsSchema>
