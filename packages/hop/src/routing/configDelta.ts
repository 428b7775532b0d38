import type { MeshConfig, MeshRoute, MeshService, RequestLimits } from './meshConfig.js'

/** What turns one configuration into a later one. Most versions differ in a few routes from the one before. */
export interface ConfigDelta {
  version: number
  /** Version that the change applies to; 0 when it holds the whole configuration. */
  base: number
  /** Routes that are new or changed. */
  put: MeshRoute[]
  /** Names of routes that are gone. */
  gone: string[]
  services: MeshService[]
  limits: RequestLimits
}

/** Fields that a delta from a peer has to have. */
export const DELTA_FIELDS = ['version', 'base', 'put', 'gone', 'services', 'limits'] as const satisfies readonly (keyof ConfigDelta)[]

/** The change from `base` to `config`; the whole of it without a base, or where routes can't be told apart by name. */
export function deltaBetween (base: MeshConfig | undefined, config: MeshConfig): ConfigDelta {
  const { version, limits } = config
  const services = [...config.services.values()]
  const held = base && byName(base)
  const wanted = byName(config)
  if (!base || !held || !wanted) return { version, base: 0, put: [...config.routes], gone: [], services, limits }
  const put = config.routes.filter((route) => !isSame(held.get(route.name), route))
  const gone = [...held.keys()].filter((name) => !wanted.has(name))
  return { version, base: base.version, put, gone, services, limits }
}

/** The configuration that a delta leads to; undefined when it applies to a version that isn't held. */
export function applyDelta (held: MeshConfig | undefined, delta: ConfigDelta): MeshConfig | undefined {
  const { version, base, put, gone, limits } = delta
  const services = new Map(delta.services.map((service) => [service.name, service]))
  if (base === 0) return { version, routes: put, services, limits }
  if (held?.version !== base) return undefined
  const replaced = new Set([...gone, ...put.map(({ name }) => name)])
  return { version, routes: [...held.routes.filter(({ name }) => !replaced.has(name)), ...put], services, limits }
}

/** Routes by name; undefined when a name stands twice. */
function byName ({ routes }: MeshConfig): Map<string, MeshRoute> | undefined {
  const map = new Map(routes.map((route) => [route.name, route]))
  return map.size === routes.length ? map : undefined
}

function isSame (a: MeshRoute | undefined, b: MeshRoute): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b)
}
