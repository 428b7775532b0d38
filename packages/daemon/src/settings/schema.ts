import { z } from 'zod'

const port = z.int().min(0).max(65_535)
const meshAddress = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'not an IP address and port such as 10.0.0.5:8083')

/** Minimum length of the mesh key in characters. */
export const MIN_MESH_KEY_LENGTH = 16

/** Schema of the daemon's YAML settings file. */
export const daemonSettingsSchema = z.strictObject({
  id: z.string().max(64).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/,
    'an id starts with a letter or digit and has only letters, digits, ".", "_" and "-"')
    .describe('Name of this daemon, unique in the fleet'),
  dataCentre: z.string().min(1).max(64).describe('Data centre of this host'),
  region: z.string().min(1).max(64).default('default').describe('Region of this host'),
  address: z.ipv4().default('127.0.0.1').describe('IP address at which callers and other daemons reach this host'),
  proxyPort: port.default(8080).describe('Port for calls'),
  meshPort: port.default(8083).describe('Port for other daemons, TCP and UDP'),
  adminAddress: z.ipv4().default('127.0.0.1')
    .describe('IP address for operators; loopback by default, since this port has no authentication'),
  adminPort: port.default(8081).describe('Port for operators: /healthz, /readyz, /status, /events, /counters'),
  targetAddress: z.ipv4().default('127.0.0.1').describe('IP address at which targets announce themselves'),
  targetPort: port.default(8082).describe('Port at which targets announce themselves'),
  seeds: z.array(meshAddress).max(100).default([]).describe('Mesh addresses of some other daemons'),
  meshKey: z.string().min(MIN_MESH_KEY_LENGTH).optional().describe('Key that all daemons share; meshKeyFile keeps it out of this file'),
  meshKeyFile: z.string().optional().describe('File that holds the mesh key'),
  platform: z.strictObject({
    url: z.url().describe('Base address of the object API'),
    callsPerSecond: z.number().min(0.1).max(1_000).default(5).describe('Calls to the platform that this daemon may make'),
    callBurst: z.int().min(1).max(10_000).default(50).describe('Calls to the platform that may be made at once after a pause')
  }).describe('The platform'),
  statsd: z.strictObject({
    address: z.ipv4().default('127.0.0.1').describe('IP address that receives metrics'),
    port: port.default(8125).describe('UDP port that receives metrics')
  }).optional().describe('Where metrics go; none are sent when absent'),
  log: z.enum(['json', 'pretty', 'off']).default('json').describe('Format of log lines'),
  drainSeconds: z.number().min(0).max(3_600).default(30)
    .describe('Time that a planned stop waits for calls in flight')
}).refine((cfg) => cfg.meshKey === undefined || cfg.meshKeyFile === undefined, {
  path: ['meshKey'], message: 'set meshKey or meshKeyFile, not both'
}).refine((cfg) => cfg.meshKey !== undefined || cfg.meshKeyFile !== undefined, {
  path: ['meshKey'], message: 'set meshKey or meshKeyFile; daemons accept no peer without the key'
})

export type DaemonSettings = z.output<typeof daemonSettingsSchema>

/** Resolved settings: defaults are filled in and the mesh key is read from its file. */
export interface ResolvedConfig extends Omit<DaemonSettings, 'meshKey' | 'meshKeyFile'> {
  meshKey: string
}

/** Masks the mesh key, so that `--check` can print the settings. */
export function maskSecrets (cfg: ResolvedConfig): Record<string, unknown> {
  return { ...cfg, meshKey: '********' }
}
