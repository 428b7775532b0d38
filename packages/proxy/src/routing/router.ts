import type { Config, Route, Service } from '@lentilwheel/config'

/** A route with its service, ready for matching. */
export interface CompiledRoute {
  name: string
  route: Route
  service: Service
}

/** Finds the route of a call; built once per snapshot. */
export interface Router {
  match (method: string, host: string, path: string, headers: Readonly<Record<string, unknown>>): CompiledRoute | undefined
}

/** Exact paths go before prefixes, longer prefixes before shorter, then hosts and header matches before none. */
export function buildRouter (cfg: Config): Router {
  const routes = Object.entries(cfg.routes)
    .map(([name, route]): CompiledRoute => ({ name, route, service: cfg.services[route.service]! }))
    .sort((a, b) => precedence(b.route) - precedence(a.route))
  return {
    match: (method, host, path, headers) =>
      routes.find(({ route }) => matches(route, method, host, path, headers))
  }
}

function precedence (route: Route): number {
  const exact = route.path.endsWith('*') ? 0 : 1
  const extra = Object.keys(route.headers ?? {}).length * 4 + (route.host ? 2 : 0) + (route.methods ? 1 : 0)
  return exact * 1e9 + route.path.length * 1e4 + extra
}

function matches (
  route: Route, method: string, host: string, path: string, headers: Readonly<Record<string, unknown>>
): boolean {
  if (route.methods && !route.methods.some((known) => known === method)) return false
  if (route.host !== undefined && route.host !== host) return false
  const pathMatches = route.path.endsWith('*') ? path.startsWith(route.path.slice(0, -1)) : path === route.path
  if (!pathMatches) return false
  return Object.entries(route.headers ?? {}).every(([name, value]) => headers[name.toLowerCase()] === value)
}
