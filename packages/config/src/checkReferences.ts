import { MAX_REPORTED_ISSUES } from './constants.js'
import type { ConfigIssue } from './errors.js'
import type { Config, Route } from './schema.js'
import { suggestion } from './suggestion.js'

/**
 * Checks a configuration across its objects: every service and version that it refers to exists, no two routes match
 * the same calls, and moves don't overlap. Runs when a change is accepted and again before a daemon applies a version.
 * Stops at `limit` issues: the "did you mean" suggestion compares a name with all others, which took 87 s for 20,000
 * wrong routes.
 */
export function checkReferences (cfg: Config, limit = MAX_REPORTED_ISSUES): ConfigIssue[] {
  const issues: ConfigIssue[] = []
  for (const check of [checkServices, checkRoutes, checkMoves]) {
    for (const issue of check(cfg)) {
      issues.push(issue)
      if (issues.length === limit) return issues
    }
  }
  return issues
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
  const routeByMatch = new Map<string, string>()
  for (const [name, route] of Object.entries(cfg.routes)) {
    if (!Object.hasOwn(cfg.services, route.service)) {
      yield {
        code: 'missing-service',
        path: `routes.${name}.service`,
        message: `service "${route.service}" does not exist` + suggestion(route.service, Object.keys(cfg.services))
      }
    }
    for (const match of matchKeys(route)) {
      const other = routeByMatch.get(match)
      if (other !== undefined) {
        yield { code: 'same-match', path: `routes.${name}`, message: `matches the same calls as route "${other}"` }
        break
      }
      routeByMatch.set(match, name)
    }
  }
}

/** Keys that are equal for routes that match the same calls: one per method, or one with `*` for all methods. */
function matchKeys (route: Route): string[] {
  const headers = Object.entries(route.headers ?? {}).map(([key, value]) => [key.toLowerCase(), value]).sort()
  const conditions = JSON.stringify([route.host ?? '*', route.path, headers])
  return (route.methods ?? ['*']).map((method) => `${method} ${conditions}`)
}

function * checkMoves (cfg: Config): Generator<ConfigIssue> {
  const moveByService = new Map<string, string>()
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
    for (const field of ['from', 'to'] as const) {
      if (service.versions.includes(move[field])) continue
      yield {
        code: 'missing-version',
        path: `moves.${id}.${field}`,
        message: `version "${move[field]}" is not in the versions of service "${move.service}"` +
          suggestion(move[field], service.versions)
      }
    }
    if (move.from === move.to) {
      yield { code: 'bad-value', path: `moves.${id}.to`, message: 'the old and the new version are the same' }
    }
    const other = moveByService.get(move.service)
    if (other !== undefined) {
      yield {
        code: 'overlapping-move',
        path: `moves.${id}`,
        message: `overlaps move "${other}" of service "${move.service}"; a service has one move at a time`
      }
    }
    moveByService.set(move.service, id)
  }
}
