import type { MeshConfig, MeshRoute, MeshWorkspace } from './meshConfig.js'
import { workspacesByKeyHash } from './workspaceIndex.js'

/** Routes of one host, and the lengths of their path prefixes, the longest first: no others are looked for, however many slashes a path has. */
interface HostRoutes {
  readonly byPrefix: Map<string, MeshRoute>
  prefixLengths: readonly number[]
}

/** Finds the route of a request by its host and the longest matching path prefix, and the workspace by its key. */
export class RouteTable {
  readonly config: MeshConfig
  readonly #routesByHost = new Map<string, HostRoutes>()
  readonly #workspacesByKeyHash: ReadonlyMap<string, MeshWorkspace>

  constructor (config: MeshConfig) {
    this.config = config
    this.#workspacesByKeyHash = workspacesByKeyHash(config.workspaces)
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      let routes = this.#routesByHost.get(host)
      if (!routes) this.#routesByHost.set(host, routes = { byPrefix: new Map(), prefixLengths: [] })
      routes.byPrefix.set(route.pathPrefix, route)
    }
    for (const routes of this.#routesByHost.values()) routes.prefixLengths = [...new Set([...routes.byPrefix.keys()].map(({ length }) => length))].sort((a, b) => b - a)
  }

  /** Whether callers need keys. */
  get hasWorkspaces (): boolean {
    return this.config.workspaces.size > 0
  }

  /** The workspace that has the key with this hash; undefined if none has. */
  workspaceOf (keyHash: string): MeshWorkspace | undefined {
    return this.#workspacesByKeyHash.get(keyHash)
  }

  /** The route of a request; undefined if none matches. `host` is in lower case, without a port. */
  match (host: string, path: string): MeshRoute | undefined {
    const routes = this.#routesByHost.get(host)
    if (!routes) return undefined
    for (const length of routes.prefixLengths) {
      const route = path[length - 1] === '/' ? routes.byPrefix.get(path.slice(0, length)) : undefined
      if (route) return route
    }
    return undefined
  }
}
