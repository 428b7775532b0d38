import { isIdempotent, METHODS, type Config, type Route, type Service } from '@lentilwheel/config'

/** A route with its service, resolved once per snapshot so that matching a call stays cheap. */
export interface CompiledRoute {
  readonly name: string
  readonly route: Route
  readonly service: Service
  readonly serviceName: string
  readonly timeoutMs: number
  /** Methods whose calls may run more than once. */
  readonly idempotentMethods: ReadonlySet<string>
}

export type HeaderValues = Readonly<Record<string, unknown>>

/** Finds the route of a call; created once per snapshot. */
export interface Router {
  match (method: string, host: string, path: string, headers: HeaderValues): CompiledRoute | undefined
}

interface RouteEntry {
  compiled: CompiledRoute
  methods: ReadonlySet<string> | undefined
  host: string | undefined
  headers: readonly (readonly [string, string])[]
}

/** Builds the router: exact paths match before prefixes, longer prefixes before shorter, then more conditions first. */
export function buildRouter (cfg: Config): Router {
  const exact = new Map<string, RouteEntry[]>()
  const prefixes = new Map<string, RouteEntry[]>()
  for (const entry of sortedEntries(cfg)) {
    const path = entry.compiled.route.path
    const isPrefix = path.endsWith('*')
    append(isPrefix ? prefixes : exact, isPrefix ? path.slice(0, -1) : path, entry)
  }
  const prefixLengths = [...new Set(Array.from(prefixes.keys(), (prefix) => prefix.length))].sort((a, b) => b - a)
  return {
    match (method, host, path, headers) {
      const exactMatch = firstMatch(exact.get(path), method, host, headers)
      if (exactMatch) return exactMatch
      for (const length of prefixLengths) {
        if (length > path.length) continue
        const match = firstMatch(prefixes.get(path.slice(0, length)), method, host, headers)
        if (match) return match
      }
      return undefined
    }
  }
}

function sortedEntries (cfg: Config): RouteEntry[] {
  return Object.entries(cfg.routes)
    .map(([name, route]): RouteEntry => ({
      compiled: compile(name, route, cfg.services[route.service]!),
      methods: route.methods && new Set(route.methods),
      host: route.host,
      headers: Object.entries(route.headers ?? {}).map(([key, value]) => [key.toLowerCase(), value] as const)
    }))
    .sort((a, b) => specificity(b) - specificity(a))
}

function compile (name: string, route: Route, service: Service): CompiledRoute {
  return {
    name,
    route,
    service,
    serviceName: route.service,
    timeoutMs: route.timeout ?? service.timeout,
    idempotentMethods: new Set(METHODS.filter((method) => isIdempotent(route, service, method)))
  }
}

/** Precedence of an entry: header conditions count more than a host, a host more than methods. */
function specificity (entry: RouteEntry): number {
  return entry.headers.length * 4 + (entry.host ? 2 : 0) + (entry.methods ? 1 : 0)
}

function append (map: Map<string, RouteEntry[]>, key: string, entry: RouteEntry): void {
  const entries = map.get(key)
  if (entries) entries.push(entry)
  else map.set(key, [entry])
}

function firstMatch (
  entries: readonly RouteEntry[] | undefined, method: string, host: string, headers: HeaderValues
): CompiledRoute | undefined {
  if (!entries) return undefined
  for (const entry of entries) {
    if (entry.methods && !entry.methods.has(method)) continue
    if (entry.host !== undefined && entry.host !== host) continue
    if (entry.headers.every(([name, value]) => headers[name] === value)) return entry.compiled
  }
  return undefined
}
