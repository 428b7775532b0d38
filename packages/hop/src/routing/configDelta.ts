import type { MeshConfig, MeshRoute, MeshService, MeshWorkspace, RequestLimits } from './meshConfig.js'
import { applyWorkspaceChanges, workspaceChanges } from './workspaceIndex.js'

/** The change from one configuration to a later one; small, as most versions differ in a few routes from the one before. */
export interface ConfigDelta {
  version: number
  /** Version that the delta applies to; 0 if it contains the whole configuration. */
  base: number
  /** New and changed routes. */
  put: MeshRoute[]
  /** Names of removed routes. */
  gone: string[]
  services: MeshService[]
  limits: RequestLimits
  /** New and changed workspaces. */
  putWorkspaces: MeshWorkspace[]
  /** Names of removed workspaces. */
  goneWorkspaces: string[]
}

/** Fields required in a delta from a peer; one without workspaces, of an older build, would admit callers without keys. */
export const DELTA_FIELDS = ['version', 'base', 'put', 'gone', 'services', 'limits', 'putWorkspaces', 'goneWorkspaces'] as const satisfies readonly (keyof ConfigDelta)[]

/** The change from `base` to `config`; the whole of `config` without a base, or if route names are not unique. */
export function deltaBetween (base: MeshConfig | undefined, config: MeshConfig): ConfigDelta {
  const { version, limits } = config
  const services = [...config.services.values()]
  const baseRoutes = base && routesByName(base)
  const newRoutes = routesByName(config)
  if (!base || !baseRoutes || !newRoutes) {
    return { version, base: 0, put: [...config.routes], gone: [], services, limits, putWorkspaces: [...config.workspaces.values()], goneWorkspaces: [] }
  }
  const put = config.routes.filter((route) => !isSameRoute(baseRoutes.get(route.name), route))
  const gone = [...baseRoutes.keys()].filter((name) => !newRoutes.has(name))
  const { put: putWorkspaces, gone: goneWorkspaces } = workspaceChanges(base.workspaces, config.workspaces)
  return { version, base: base.version, put, gone, services, limits, putWorkspaces, goneWorkspaces }
}

/** Applies a delta to the current configuration; undefined if the delta is based on another version. */
export function applyDelta (current: MeshConfig | undefined, delta: ConfigDelta): MeshConfig | undefined {
  const { version, base, put, gone, limits, putWorkspaces, goneWorkspaces } = delta
  const services = new Map(delta.services.map((service) => [service.name, service]))
  if (base === 0) return { version, routes: put, services, limits, workspaces: applyWorkspaceChanges(new Map(), putWorkspaces, []) }
  if (current?.version !== base) return undefined
  const replaced = new Set([...gone, ...put.map(({ name }) => name)])
  const routes = [...current.routes.filter(({ name }) => !replaced.has(name)), ...put]
  return { version, routes, services, limits, workspaces: applyWorkspaceChanges(current.workspaces, putWorkspaces, goneWorkspaces) }
}

/** Routes by name; undefined if names are not unique. */
function routesByName ({ routes }: MeshConfig): Map<string, MeshRoute> | undefined {
  const map = new Map(routes.map((route) => [route.name, route]))
  return map.size === routes.length ? map : undefined
}

function isSameRoute (a: MeshRoute | undefined, b: MeshRoute): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b)
}
