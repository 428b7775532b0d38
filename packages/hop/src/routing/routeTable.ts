import type { MeshConfig, MeshRoute, MeshWorkspace } from './meshConfig.js'
import { workspacesByKeyHash } from './workspaceIndex.js'

/** Finds the route of a request by its host and the longest matching path prefix, and the workspace by its key. */
export class RouteTable {
  readonly config: MeshConfig
  readonly #routesByHost = new Map<string, Map<string, MeshRoute>>()
  readonly #workspacesByKeyHash: ReadonlyMap<string, MeshWorkspace>

  constructor (config: MeshConfig) {
    this.config = config
    this.#workspacesByKeyHash = workspacesByKeyHash(config.workspaces)
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      let prefixes = this.#routesByHost.get(host)
      if (!prefixes) this.#routesByHost.set(host, prefixes = new Map())
      prefixes.set(route.pathPrefix, route)
    }
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
    const prefixes = this.#routesByHost.get(host)
    if (!prefixes) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1))
      if (route) return route
    }
    return undefined
  }
}
