import { isIdempotent, METHODS, type Config, type Route, type Service } from '@lentilwheel/config'

/** A route with its service, resolved once per snapshot for the per-call path. */
export interface CompiledRoute {
  readonly name: string
  readonly route: Route
  readonly service: Service
  readonly serviceName: string
  readonly timeoutMs: number
  /** Methods by which the call may run more than once. */
  readonly idempotentMethods: ReadonlySet<string>
}

export type HeaderValues = Readonly<Record<string, unknown>>

/** Finds the route of a call; built once per snapshot. */
export interface Router {
  match (method: string, host: string, path: string, headers: HeaderValues): CompiledRoute | undefined
}

interface Entry {
  compiled: CompiledRoute
  methods: ReadonlySet<string> | undefined
  host: string | undefined
  headers: readonly (readonly [string, string])[]
}

/** Exact paths go before prefixes, longer prefixes before shorter, then more conditions before fewer. */
export function buildRouter (cfg: Config): Router {
  const exact = new Map<string, Entry[]>()
  const prefixes = new Map<string, Entry[]>()
  for (const entry of sortedEntries(cfg)) {
    const path = entry.compiled.route.path
    const isPrefix = path.endsWith('*')
    addTo(isPrefix ? prefixes : exact, isPrefix ? path.slice(0, -1) : path, entry)
  }
  const lengths = [...new Set(Array.from(prefixes.keys(), (prefix) => prefix.length))].sort((a, b) => b - a)
  return {
    match (method, host, path, headers) {
      const found = firstMatch(exact.get(path), method, host, headers)
      if (found) return found
      for (const length of lengths) {
        if (length > path.length) continue
        const match = firstMatch(prefixes.get(path.slice(0, length)), method, host, headers)
        if (match) return match
      }
      return undefined
    }
  }
}

function sortedEntries (cfg: Config): Entry[] {
  return Object.entries(cfg.routes)
    .map(([name, route]): Entry => ({
      compiled: compile(name, route, cfg.services[route.service]!),
      methods: route.methods && new Set(route.methods),
      host: route.host,
      headers: Object.entries(route.headers ?? {}).map(([key, value]) => [key.toLowerCase(), value] as const)
    }))
    .sort((a, b) => conditions(b) - conditions(a))
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

/** Header matches weigh more than a host, a host more than methods. */
function conditions (entry: Entry): number {
  return entry.headers.length * 4 + (entry.host ? 2 : 0) + (entry.methods ? 1 : 0)
}

function addTo (map: Map<string, Entry[]>, key: string, entry: Entry): void {
  const entries = map.get(key)
  if (entries) entries.push(entry)
  else map.set(key, [entry])
}

function firstMatch (
  entries: readonly Entry[] | undefined, method: string, host: string, headers: HeaderValues
): CompiledRoute | undefined {
  if (!entries) return undefined
  for (const entry of entries) {
    if (entry.methods && !entry.methods.has(method)) continue
    if (entry.host !== undefined && entry.host !== host) continue
    if (entry.headers.every(([name, value]) => headers[name] === value)) return entry.compiled
  }
  return undefined
}
