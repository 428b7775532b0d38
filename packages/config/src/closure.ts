import { MAX_REPORTED_ISSUES } from './constants.js'
import type { ConfigIssue } from './errors.js'
import type { Config, Route } from './schema.js'
import { suggestion } from './suggest.js'

/**
 * Checks that everything a configuration refers to exists in it; run at acceptance and again before each swap.
 * Stops at the limit: a suggestion compares a name with all others, which took 87 s for 20,000 wrong routes.
 */
export function checkClosure (cfg: Config, limit = MAX_REPORTED_ISSUES): ConfigIssue[] {
  const found: ConfigIssue[] = []
  for (const check of [checkServices, checkRoutes, checkMoves]) {
    for (const issue of check(cfg)) {
      found.push(issue)
      if (found.length === limit) return found
    }
  }
  return found
}

function * checkServices (cfg: Config): Generator<ConfigIssue> {
  for (const [name, service] of Object.entries(cfg.services)) {
    if (service.versions.includes(service.current)) continue
    yield {
      code: 'missing-version',
      path: `services.${name}.current`,
      message: `version "${service.current}" is not in the versions of service "${name}"` +
        suggestion(service.current, service.versions)
    }
  }
}

function * checkRoutes (cfg: Config): Generator<ConfigIssue> {
  const seen = new Map<string, string>()
  for (const [name, route] of Object.entries(cfg.routes)) {
    if (!Object.hasOwn(cfg.services, route.service)) {
      yield {
        code: 'missing-service',
        path: `routes.${name}.service`,
        message: `service "${route.service}" does not exist` + suggestion(route.service, Object.keys(cfg.services))
      }
    }
    for (const match of matchKeys(route)) {
      const other = seen.get(match)
      if (other !== undefined) {
        yield { code: 'same-match', path: `routes.${name}`, message: `matches the same calls as route "${other}"` }
        break
      }
      seen.set(match, name)
    }
  }
}

/** One key per method; a route for all methods shares keys only with another route for all methods. */
function matchKeys (route: Route): string[] {
  const headers = Object.entries(route.headers ?? {}).map(([key, value]) => [key.toLowerCase(), value]).sort()
  const rest = JSON.stringify([route.host ?? '*', route.path, headers])
  return (route.methods ?? ['*']).map((method) => `${method} ${rest}`)
}

function * checkMoves (cfg: Config): Generator<ConfigIssue> {
  const movesByService = new Map<string, string>()
  for (const [id, move] of Object.entries(cfg.moves)) {
    const service = Object.hasOwn(cfg.services, move.service) ? cfg.services[move.service] : undefined
    if (!service) {
      yield {
        code: 'missing-service',
        path: `moves.${id}.service`,
        message: `service "${move.service}" does not exist` + suggestion(move.service, Object.keys(cfg.services))
      }
      continue
    }
    for (const end of ['from', 'to'] as const) {
      if (service.versions.includes(move[end])) continue
      yield {
        code: 'missing-version',
        path: `moves.${id}.${end}`,
        message: `version "${move[end]}" is not in the versions of service "${move.service}"` +
          suggestion(move[end], service.versions)
      }
    }
    if (move.from === move.to) {
      yield { code: 'bad-value', path: `moves.${id}.to`, message: 'the old and the new version are the same' }
    }
    const other = movesByService.get(move.service)
    if (other !== undefined) {
      yield {
        code: 'overlapping-move',
        path: `moves.${id}`,
        message: `overlaps move "${other}" of service "${move.service}"; a service has one move at a time`
      }
    }
    movesByService.set(move.service, id)
  }
}
