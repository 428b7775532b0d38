import type { MeshConfig, MeshRoute } from './meshConfig.js'

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteTable {
  readonly config: MeshConfig
  readonly #routesByHost = new Map<string, Map<string, MeshRoute>>()

  constructor (config: MeshConfig) {
    this.config = config
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      let prefixes = this.#routesByHost.get(host)
      if (!prefixes) this.#routesByHost.set(host, prefixes = new Map())
      prefixes.set(route.pathPrefix, route)
    }
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
